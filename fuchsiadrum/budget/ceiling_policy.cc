#include "fuchsiadrum/budget/ceiling_policy.h"

#include <algorithm>
#include <cstdint>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

double CeilingPolicy::MinHeadroom(const CeilingSituation& pool) const {
  const double next_request =
      this->options.min_ceiling_requests * pool.typical_request;
  if (!pool.is_spread) return next_request;

  double fraction = 1.0 / static_cast<double>(pool.fleet_size);
  if (pool.fleet_rate > 0) {
    fraction = std::max(fraction, pool.own_rate / pool.fleet_rate);
  }
  const double bound = this->options.max_min_headroom_fraction * fraction *
                       static_cast<double>(pool.unspent.count);
  return std::min(std::max(next_request, pool.largest_request), bound);
}

Tokens CeilingPolicy::Headroom(const CeilingSituation& pool) const {
  const double unspent_fraction =
      pool.limit.count > 0 ? static_cast<double>(pool.unspent.count) /
                                 static_cast<double>(pool.limit.count)
                           : 0;
  const double factor =
      std::clamp(unspent_fraction / this->options.full_headroom_fraction,
                 this->options.min_headroom_fraction, 1.0);
  const double by_demand = std::max(
      pool.expected_rate * ToSeconds(this->options.ceiling_horizon),
      pool.burst_rate * ToSeconds(this->options.burst_ceiling_horizon));
  double headroom = factor * by_demand;
  if (pool.is_spread) {
    headroom = std::max(headroom, this->MinHeadroom(pool));
  } else {
    headroom = std::max(headroom, factor * this->MinHeadroom(pool));
  }
  headroom = std::max(headroom, this->options.min_headroom_of_pool *
                                    static_cast<double>(pool.unused.count));
  return std::max(pool.waiting, Tokens(static_cast<int64_t>(headroom)));
}

}  // namespace fuchsiadrum::budget
