#pragma once

#include <cstddef>

#include "fuchsiadrum/budget/grant_holder_options.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// What is known about one pool when its ceiling is decided. Rates are in
/// tokens per second.
struct CeilingSituation {
  /// Demand that is expected at this gateway, the measured one, and that of the
  /// whole fleet.
  double expected_rate = 0;
  double own_rate = 0;
  double fleet_rate = 0;
  /// Demand of the last second at this gateway.
  double burst_rate = 0;
  /// Tokens of the largest recent request at this gateway, and of a typical
  /// one.
  double largest_request = 0;
  double typical_request = 0;
  size_t fleet_size = 0;
  /// True if every gateway may hold a pool of the organisation, even without
  /// requests of it.
  bool is_spread = false;
  Tokens limit;
  /// Tokens of the budget that are not recorded as spent.
  Tokens unspent;
  /// Tokens of the grant that are not in use.
  Tokens unused;
  /// Tokens that waiting requests need.
  Tokens waiting;
};

/// Decides how many tokens lie between those in use and the ceiling: enough for
/// the requests until the next heartbeat, few enough that crashes strand
/// little.
class CeilingPolicy {
 public:
  explicit CeilingPolicy(const GrantHolderOptions& holder_options)
      : options(holder_options) {}

  Tokens Headroom(const CeilingSituation& pool) const;

 private:
  /// Minimum headroom, for the next request.
  double MinHeadroom(const CeilingSituation& pool) const;

  GrantHolderOptions options;
};

}  // namespace fuchsiadrum::budget
