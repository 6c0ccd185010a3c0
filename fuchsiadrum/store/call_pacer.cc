#include "fuchsiadrum/store/call_pacer.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::store {

CallPacer::CallPacer(const CallPacerOptions& opts)
    : options(opts), fleet_size(opts.assumed_fleet) {}

double CallPacer::Rate() const {
  return this->part * this->options.share * this->options.fleet_calls_per_s /
         static_cast<double>(this->fleet_size);
}

void CallPacer::Advance(TimePoint now) {
  // At least one call fits in, however large the fleet is.
  const double most =
      std::max(1.0, this->Rate() * ToSeconds(this->options.burst));
  if (!this->started) {
    this->started = true;
    this->calls = most;
  } else {
    const double passed = ToSeconds(now - this->at);
    this->calls = std::min(most, this->calls + passed * this->Rate());
    this->part =
        std::min(1.0, this->part + passed / ToSeconds(this->options.recovery));
  }
  this->at = now;
}

bool CallPacer::Take(TimePoint now, bool urgent) {
  this->Advance(now);
  const double kept = urgent ? 0
                             : this->options.urgent_part * this->Rate() *
                                   ToSeconds(this->options.burst);
  // A single call never waits for more than the burst can hold.
  if (this->calls < std::max(1.0, kept)) return false;
  this->calls -= 1;
  return true;
}

void CallPacer::OnTurnedAway(TimePoint now) {
  this->Advance(now);
  this->part = std::max(this->options.least_part, this->part / 2);
}

}  // namespace fuchsiadrum::store
