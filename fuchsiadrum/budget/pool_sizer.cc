#include "fuchsiadrum/budget/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

bool PoolSizer::IsSteady(const PoolSituation& pool) const {
  return pool.is_spread ||
         pool.expected_rate * ToSeconds(this->options.horizon) >=
             this->options.min_steady_requests * pool.typical_request;
}

double PoolSizer::InitialShare(const PoolSituation& pool) const {
  if (!pool.is_spread) return 0;
  // The share shrinks linearly to 0 while the demand becomes known.
  double unknown_fraction = 1;
  if (pool.demand_known_for >= Duration::zero()) {
    unknown_fraction -= ToSeconds(pool.demand_known_for) /
                        ToSeconds(this->options.initial_duration);
  }
  return std::max(0.0, unknown_fraction) * this->options.initial_fraction *
         static_cast<double>(pool.limit.count) /
         static_cast<double>(pool.fleet_size);
}

double PoolSizer::SteadyDemand(const PoolSituation& pool) const {
  const double expected = pool.expected_rate * ToSeconds(this->options.horizon);
  const double deviation = std::sqrt(expected * pool.typical_request);
  return std::max({expected + this->options.demand_deviations * deviation,
                   pool.burst_rate * ToSeconds(this->options.burst_horizon),
                   this->options.min_largest_requests * pool.largest_request,
                   this->InitialShare(pool)});
}

double PoolSizer::SparseDemand(const PoolSituation& pool) const {
  const double horizon = ToSeconds(this->options.horizon);
  const double long_term = pool.long_term_rate * horizon;
  const double recent = pool.expected_rate * horizon;
  // Without regular demand at this gateway a single request says nothing about
  // the next one.
  if (long_term < this->options.min_long_term_requests * pool.typical_request) {
    return recent;
  }
  return std::max(recent,
                  long_term + std::sqrt(long_term * pool.typical_request));
}

double PoolSizer::PoolFraction(const PoolSituation& pool) const {
  double fraction = pool.is_spread ? 1.0 / static_cast<double>(pool.fleet_size)
                                   : this->options.min_pool_fraction;
  if (pool.fleet_rate > 0) {
    fraction = std::max(fraction, pool.expected_rate / pool.fleet_rate);
  }
  // The fleet's demand does not contain a burst that has just begun.
  const double with_burst = pool.fleet_rate + pool.burst_rate;
  if (with_burst > 0) {
    fraction = std::max(fraction, pool.burst_rate / with_burst);
  }
  return fraction;
}

Tokens PoolSizer::Target(const PoolSituation& pool) const {
  const bool is_steady = this->IsSteady(pool);
  // With sparse traffic the next request may reach any gateway. Tokens held
  // here would be missing at the gateway that it reaches.
  const double by_demand =
      is_steady ? this->SteadyDemand(pool) : this->SparseDemand(pool);
  const double pooled_fraction = is_steady
                                     ? this->options.max_pooled_fraction
                                     : this->options.max_sparse_pooled_fraction;
  const double by_free =
      static_cast<double>(std::max<int64_t>(0, pool.free.count)) *
      pooled_fraction * this->PoolFraction(pool);
  const double target = std::min(by_demand, by_free);
  const double min_requests = is_steady ? this->options.min_pool_requests : 1.0;
  if (target < min_requests * pool.typical_request) return Tokens(0);
  return Tokens(static_cast<int64_t>(target));
}

}  // namespace fuchsiadrum::budget
