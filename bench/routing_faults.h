#pragma once

#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// What goes wrong in a run.
enum class FaultKind { kDies, kSlow, kLeaves, kZoneCut, kErrors };

/// Who knows first that an upstream leaves.
enum class LeaveTrigger { kVmList, kCatalogue, kOwnAnswer };

/// One fault.
struct Fault {
  FaultKind kind = FaultKind::kDies;
  TimePoint from;
  TimePoint until;
  /// Upstream, or zone of a zone cut.
  size_t target = 0;
  LeaveTrigger trigger = LeaveTrigger::kVmList;
};

/// Faults of one run: in `mixed` one of each kind and a second leaving
/// upstream, at random times that may overlap; else none. kErrors makes three
/// quarters of the runners break every request while their polls succeed, as a
/// bad release does; without it, nothing would press against the ejection
/// floor.
std::vector<Fault> MakeFaults(const std::string& scenario, size_t runners,
                              size_t zones, Duration length, Rng rng);

}  // namespace fuchsiadrum::bench
