#include "fuchsiadrum/serving/permit_bucket.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

void PermitBucket::SetRate(TimePoint now, double permits_per_s) {
  this->level = this->LevelAt(now);
  this->updated_at = now;
  this->rate = permits_per_s;
  this->level = std::min(this->level, this->Capacity());
}

bool PermitBucket::IsFull(TimePoint now) const {
  return this->rate > 0 && this->LevelAt(now) >= this->Capacity();
}

bool PermitBucket::Take(TimePoint now) {
  if (!this->Has(now)) return false;
  this->level = this->LevelAt(now) - 1;
  this->updated_at = now;
  return true;
}

void PermitBucket::Return(TimePoint now) {
  this->level = std::min(this->LevelAt(now) + 1, this->Capacity());
  this->updated_at = now;
}

std::optional<TimePoint> PermitBucket::NextPermit(TimePoint now) const {
  if (this->rate <= 0) return std::nullopt;
  const double missing = std::max(0.0, 1 - this->LevelAt(now));
  return now + FromSeconds(missing / this->rate);
}

double PermitBucket::Capacity() const {
  if (this->rate <= 0) return 0;
  return std::max(1.0, this->rate * ToSeconds(this->options.burst));
}

double PermitBucket::LevelAt(TimePoint now) const {
  const Duration elapsed = std::max(Duration::zero(), now - this->updated_at);
  return std::min(this->level + this->rate * ToSeconds(elapsed),
                  this->Capacity());
}

}  // namespace fuchsiadrum::serving
