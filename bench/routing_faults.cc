#include "bench/routing_faults.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int64_t kSecond = 1'000'000;

/// Start of the first fault: the routers have learned the speeds by then.
constexpr int64_t kFirstFault = 15 * kSecond;

}  // namespace

std::vector<Fault> MakeFaults(const std::string& scenario, size_t runners,
                              size_t zones, Duration length, Rng rng) {
  if (scenario != "mixed") return {};
  std::vector<Fault> faults;
  const auto add = [&](FaultKind kind, int64_t low_s, int64_t high_s,
                       size_t targets) {
    const TimePoint from{rng.Between(kFirstFault, length.count() / 2)};
    const Duration lasts(rng.Between(low_s * kSecond, high_s * kSecond));
    faults.push_back({.kind = kind,
                      .from = from,
                      .until = from + lasts,
                      .target = rng.Below(targets),
                      .trigger = static_cast<LeaveTrigger>(rng.Below(3))});
  };

  add(FaultKind::kDies, 8, 20, runners);
  add(FaultKind::kSlow, 8, 20, runners);
  add(FaultKind::kZoneCut, 5, 15, zones);
  add(FaultKind::kErrors, 2, 4, runners);
  add(FaultKind::kLeaves, 45, 45, runners);
  add(FaultKind::kLeaves, 45, 45, runners);
  return faults;
}

}  // namespace fuchsiadrum::bench
