#pragma once

#include <cstddef>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Paces the calls of a fleet to one account that no request waits for. Writes
/// are conditional on the account that was read, so that the writes of many
/// gateways make each other fail: those of slow gateways, which have the most
/// callers, more often than others.
class WritePace {
 public:
  /// `fleet_calls_per_s`: calls that all gateways together make to one account.
  explicit WritePace(double fleet_calls_per_s)
      : calls_per_s(fleet_calls_per_s) {}

  /// Minimum interval between two such calls of a gateway with this fraction of
  /// the fleet's demand. All gateways together make at most twice the calls of
  /// the constructor.
  Duration Interval(size_t fleet_size, double demand_fraction) const;

 private:
  double calls_per_s;
};

}  // namespace fuchsiadrum::budget
