#include "fuchsiadrum/budget/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

/// Minimum time over which a rate is computed. The first requests may arrive
/// close together by chance, which would give far too high a rate.
constexpr double kMinSeconds = 1.0;

}  // namespace

void DemandMeter::Add(TimePoint now, Tokens amount) {
  if (!this->started) {
    this->started = true;
    this->updated_at = now;
  }
  this->Advance(now);
  const auto size = static_cast<double>(amount.count);
  this->weighted_amount += size;
  this->largest = std::max(this->largest, size);
}

void DemandMeter::Advance(TimePoint now) {
  if (!this->started || now <= this->updated_at) return;
  const double elapsed = ToSeconds(now - this->updated_at);
  const double time_constant = ToSeconds(this->rate_time_constant);
  const double decay = std::exp(-elapsed / time_constant);
  this->weighted_amount *= decay;
  this->weighted_seconds =
      this->weighted_seconds * decay + time_constant * (1 - decay);
  this->largest *=
      std::exp(-elapsed / ToSeconds(this->largest_request_time_constant));
  this->updated_at = now;
}

double DemandMeter::Rate() const {
  return this->weighted_amount / std::max(kMinSeconds, this->weighted_seconds);
}

}  // namespace fuchsiadrum::budget
