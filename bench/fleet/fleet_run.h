#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/fleet/faults.h"

namespace fuchsiadrum::bench {

/// One run: a fault hits when a daemon reaches a step.
struct FleetRunOptions {
  uint64_t seed = 1;
  std::string preset = "coral-andina";
  Duration zone_delay = Duration(1500);
  /// Step that triggers the first fault; empty: at a random time.
  std::string step;
  /// One or two faults; the second follows the first at a random time.
  std::vector<Fault> faults;
};

/// What a run found.
struct FleetRunResult {
  bool step_reached = false;
  /// Each text names the broken invariant and the daemon.
  std::vector<std::string> violations;
  std::vector<std::string> failed_probes;
  CallerFindings calls;
  /// Latest events before the first violation.
  std::vector<std::string> trace;
};

/// Steps of requests, grants, edits and stops at which faults are injected.
const std::vector<std::string>& FleetSteps();

/// Runs nine nodes with callers, the faults, healing, and probes.
FleetRunResult RunFleet(const FleetRunOptions& options);

}  // namespace fuchsiadrum::bench
