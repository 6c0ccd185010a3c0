#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "bench/fleet/callers.h"
#include "bench/fleet/fleet.h"

namespace fuchsiadrum::bench {

/// Rows of the fault matrix.
enum class Fault {
  kZoneCut,
  kZoneCutOneWay,
  kPlatformCut,
  kKill,
  kPause,
  kLogDown,
  kLogSlow,
  kAppendAnswerLost,
  kVmListWrong,
  kConnectionSilent,
  kUpstreamDies,
  kUpstreamSlow,
  kUpstreamRejects,
  kUpstreamLeaves,
  kAnswerDoubled,
  kClockForward,
  kClockBack,
  kRetryElsewhere,
  kOperatorRace,
  kPlannedStop,
};

inline constexpr size_t kFaultCount = 20;

/// Name of a fault, for tables and options.
std::string_view FaultName(Fault fault);

/// Brings faults about and heals them again.
class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, Callers& callers, Rng rng)
      : fleet(fleet), callers(callers), rng(rng) {}

  /// Hits a daemon, its zone, or what it depends on.
  void Inject(Fault fault, size_t daemon);
  /// Undoes the fault; killed daemons start again with empty memory.
  void Heal(Fault fault, size_t daemon);

 private:
  FakeUpstream& HitUpstreamNear(size_t daemon);

  Fleet& fleet;
  Callers& callers;
  Rng rng;
  /// Upstreams that a fault hit and that are not healed yet.
  std::set<FakeUpstream*> hit;
};

}  // namespace fuchsiadrum::bench
