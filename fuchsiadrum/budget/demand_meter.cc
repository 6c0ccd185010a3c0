#include "fuchsiadrum/budget/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

void DemandMeter::Add(TimePoint now, Tokens amount) {
  if (!this->started) {
    this->started = true;
    this->updated_at = now;
  }
  this->Advance(now);
  const auto size = static_cast<double>(amount.count);
  this->rate.Add(now, size);
  this->largest = std::max(this->largest, size);
}

void DemandMeter::Advance(TimePoint now) {
  this->rate.Advance(now);
  if (!this->started || now <= this->updated_at) return;
  this->largest *= std::exp(-ToSeconds(now - this->updated_at) /
                            ToSeconds(this->largest_request_time_constant));
  this->updated_at = now;
}

}  // namespace fuchsiadrum::budget
