#include "fuchsiadrum/routing/pace_record.h"

#include <algorithm>

namespace fuchsiadrum::routing {
namespace {

/// Bounds of a learned slowness: upstreams differ by 1:4, faults by more.
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;

}  // namespace

void PaceRecord::Add(double observed_time, double expected_time, double prior,
                     const PaceRecordOptions& options) {
  this->observed = this->observed * options.memory + observed_time;
  this->expected = this->expected * options.memory + expected_time;
  this->last_expected = expected_time;
  this->slowness = this->SlownessTowards(prior, options);
}

double PaceRecord::SlownessTowards(double prior,
                                   const PaceRecordOptions& options) const {
  if (this->expected <= 0) return prior;
  const double weight = options.prior_weight * this->last_expected;
  return std::clamp(
      (this->observed + weight * prior) / (this->expected + weight),
      kMinSlowness, kMaxSlowness);
}

}  // namespace fuchsiadrum::routing
