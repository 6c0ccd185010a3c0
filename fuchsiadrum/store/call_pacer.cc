#include "fuchsiadrum/store/call_pacer.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::store {

CallPacer::CallPacer(const CallPacerOptions& opts)
    : options(opts), fleet_size(opts.assumed_fleet_size) {}

double CallPacer::Rate() const {
  return this->rate_fraction * this->options.share *
         this->options.fleet_calls_per_s /
         static_cast<double>(this->fleet_size);
}

void CallPacer::Advance(TimePoint now) {
  // The bucket holds at least one call, however large the fleet is.
  const double max_calls =
      std::max(1.0, this->Rate() * ToSeconds(this->options.burst));
  if (!this->started) {
    this->started = true;
    this->available_calls = max_calls;
  } else {
    const double passed = ToSeconds(now - this->updated_at);
    this->available_calls =
        std::min(max_calls, this->available_calls + passed * this->Rate());
    this->rate_fraction = std::min(
        1.0, this->rate_fraction + passed / ToSeconds(this->options.recovery));
  }
  this->updated_at = now;
}

bool CallPacer::Take(TimePoint now, bool urgent) {
  this->Advance(now);
  const double reserved = urgent
                              ? 0
                              : this->options.urgent_fraction * this->Rate() *
                                    ToSeconds(this->options.burst);
  // The threshold covers the call itself and never exceeds what the bucket can
  // hold, so that no call waits forever.
  if (this->available_calls < std::max(1.0, reserved)) return false;
  this->available_calls -= 1;
  return true;
}

void CallPacer::OnRateLimited(TimePoint now) {
  this->Advance(now);
  this->rate_fraction =
      std::max(this->options.min_rate_fraction, this->rate_fraction / 2);
}

}  // namespace fuchsiadrum::store
