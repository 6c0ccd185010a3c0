#pragma once

#include <cstddef>

#include "fuchsiadrum/budget/grant_holder_options.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// What is known about one pool when its size is decided. Rates are in tokens
/// per second.
struct PoolSituation {
  /// Demand that is expected at this gateway, its long-term demand, and the
  /// demand of the whole fleet.
  double expected_rate = 0;
  double long_term_rate = 0;
  double fleet_rate = 0;
  /// Demand of the last second at this gateway.
  double burst_rate = 0;
  /// Tokens of the largest recent request at this gateway, and of a typical
  /// one.
  double largest_request = 0;
  double typical_request = 0;
  /// Number of gateways; 0: not known.
  size_t fleet_size = 0;
  /// True if every gateway may hold a pool of the organisation, even without
  /// requests of it.
  bool is_spread = false;
  Tokens limit;
  /// Time since when any demand is known; negative if none is.
  Duration demand_known_for = Duration(-1);
  /// Tokens that are ungranted or unused in this pool.
  Tokens free;
};

/// Decides how many unused tokens a pool should hold.
class PoolSizer {
 public:
  explicit PoolSizer(const GrantHolderOptions& holder_options)
      : options(holder_options) {}

  Tokens Target(const PoolSituation& pool) const;

 private:
  /// Returns true if the budget is spread over the fleet or the traffic at this
  /// gateway is not sparse. Such a pool keeps its tokens through pauses between
  /// requests.
  bool IsSteady(const PoolSituation& pool) const;
  /// Tokens of the budget that this gateway holds while no demand is known.
  double InitialShare(const PoolSituation& pool) const;
  /// Tokens that the demand within the horizon calls for at a gateway with
  /// steady traffic, and at one with sparse traffic.
  double SteadyDemand(const PoolSituation& pool) const;
  double SparseDemand(const PoolSituation& pool) const;
  /// Part of the free tokens that falls to this pool by its demand.
  double PoolFraction(const PoolSituation& pool) const;

  GrantHolderOptions options;
};

}  // namespace fuchsiadrum::budget
