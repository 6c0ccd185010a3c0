#include "fuchsiadrum/budget/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

/// Shortest time over which a rate is taken: the first requests come close
/// together by chance.
constexpr double kLeastSeconds = 1.0;

}  // namespace

void DemandMeter::Add(TimePoint now, Tokens amount) {
  if (!this->started) {
    this->started = true;
    this->at = now;
  }
  this->Advance(now);
  const auto size = static_cast<double>(amount.count);
  this->amounts += size;
  this->largest = std::max(this->largest, size);
}

void DemandMeter::Advance(TimePoint now) {
  if (!this->started || now <= this->at) return;
  const double passed = ToSeconds(now - this->at);
  const double memory = ToSeconds(this->rate_memory);
  const double kept = std::exp(-passed / memory);
  this->amounts *= kept;
  this->seconds = this->seconds * kept + memory * (1 - kept);
  this->largest *= std::exp(-passed / ToSeconds(this->largest_memory));
  this->at = now;
}

double DemandMeter::Rate() const {
  return this->amounts / std::max(kLeastSeconds, this->seconds);
}

}  // namespace fuchsiadrum::budget
