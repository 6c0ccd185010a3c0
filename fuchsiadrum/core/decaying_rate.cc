#include "fuchsiadrum/core/decaying_rate.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum {
namespace {

/// Minimum time over which a rate is computed. The first events may occur close
/// together by chance, which would give far too high a rate.
constexpr double kMinSeconds = 1.0;

}  // namespace

void DecayingRate::Add(TimePoint now, double amount) {
  if (!this->started) {
    this->started = true;
    this->updated_at = now;
  }
  this->Advance(now);
  this->weighted_amount += amount;
}

void DecayingRate::Advance(TimePoint now) {
  if (!this->started || now <= this->updated_at) return;
  const double time_constant = ToSeconds(this->constant);
  const double decay =
      std::exp(-ToSeconds(now - this->updated_at) / time_constant);
  this->weighted_amount *= decay;
  this->weighted_seconds =
      this->weighted_seconds * decay + time_constant * (1 - decay);
  this->updated_at = now;
}

double DecayingRate::PerSecond() const {
  return this->weighted_amount / std::max(kMinSeconds, this->weighted_seconds);
}

}  // namespace fuchsiadrum
