#include "soak/upstream_fault.h"

#include <array>

namespace fuchsiadrum::soak {
namespace {

struct FaultTraits {
  std::string_view name;
  /// Frequency in a thousand requests.
  uint64_t weight;
};

constexpr std::array<FaultTraits, kUpstreamFaultCount> kFaults = {
    FaultTraits{"none", 400},
    FaultTraits{"slow", 150},
    FaultTraits{"unframed", 80},
    FaultTraits{"true-refusal", 100},
    FaultTraits{"early-true-refusal", 20},
    FaultTraits{"earlier-refusal", 40},
    FaultTraits{"unnamed-refusal", 40},
    FaultTraits{"extra-refusal", 30},
    FaultTraits{"signed-failure", 25},
    FaultTraits{"unsigned-failure", 25},
    FaultTraits{"odd-interim", 30},
    FaultTraits{"hiding-interim", 15},
    FaultTraits{"cut-head", 20},
    FaultTraits{"reset-before-body", 15},
    FaultTraits{"reset-in-body", 15},
    FaultTraits{"reset-after-body", 10},
    FaultTraits{"reset-after-run", 15},
    FaultTraits{"cut-answer", 20},
    FaultTraits{"cut-unframed", 40},
    FaultTraits{"no-events", 10},
    FaultTraits{"refusal-as-events", 10},
    FaultTraits{"early-answer", 20},
    FaultTraits{"early-unframed", 20},
    FaultTraits{"early-reset", 30},
    FaultTraits{"malformed", 30},
    FaultTraits{"silence", 10},
    FaultTraits{"silence-after-head", 10},
    FaultTraits{"end", 0}};

}  // namespace

std::string_view UpstreamFaultName(UpstreamFault fault) {
  return kFaults[static_cast<size_t>(fault)].name;
}

bool IsSound(UpstreamFault fault) {
  return fault == UpstreamFault::kNone || fault == UpstreamFault::kSlow ||
         fault == UpstreamFault::kUnframed ||
         fault == UpstreamFault::kEarlyUnframed ||
         fault == UpstreamFault::kTrueRefusal;
}

bool IsProvedRefusal(UpstreamFault fault) {
  return fault == UpstreamFault::kTrueRefusal ||
         fault == UpstreamFault::kEarlyTrueRefusal;
}

UpstreamFault DrawUpstreamFault(Rng& rng) {
  uint64_t total = 0;
  for (const FaultTraits& fault : kFaults) total += fault.weight;
  uint64_t drawn = rng.Below(total);
  for (size_t i = 0; i < kFaults.size(); ++i) {
    if (drawn < kFaults[i].weight) return static_cast<UpstreamFault>(i);
    drawn -= kFaults[i].weight;
  }
  return UpstreamFault::kNone;
}

}  // namespace fuchsiadrum::soak
