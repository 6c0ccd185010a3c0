#include "fuchsiadrum/serving/link_load.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {
bool LinkLoad::OnTick(TimePoint now) {
  const double passed =
      this->ticked_at.us == 0 ? 0 : ToSeconds(now - this->ticked_at);
  this->ticked_at = now;
  if (passed <= 0 || this->options.bytes_per_s <= 0) return false;

  // What exceeds the rate waits and leaves later.
  const double most = this->options.bytes_per_s * passed;
  const double waiting = this->queued_bytes + static_cast<double>(this->sent);
  const double left = std::min(most, waiting);
  this->queued_bytes = waiting - left;
  const double weight = 1 - std::exp(-passed / ToSeconds(this->options.memory));
  this->sent_use += weight * (left / most - this->sent_use);
  this->received_use +=
      weight * (std::min(1.0, static_cast<double>(this->received) / most) -
                this->received_use);
  this->received = 0;
  this->sent = 0;

  const bool was_busy = this->busy;
  if (!this->busy && this->Use() > this->options.busy_above) {
    this->busy = true;
    this->busy_since = now;
  } else if (this->busy && this->Use() < this->options.idle_below &&
             now - this->busy_since >= this->options.least_pause) {
    this->busy = false;
  }
  return this->busy != was_busy;
}

bool LinkLoad::IsFull() const {
  return this->Use() > this->options.full_above ||
         this->Queue() > this->options.longest_queue;
}

double LinkLoad::Use() const {
  return std::max(this->received_use, this->sent_use);
}

Duration LinkLoad::Queue() const {
  if (this->options.bytes_per_s <= 0) return Duration::zero();
  return FromSeconds(this->queued_bytes / this->options.bytes_per_s);
}

}  // namespace fuchsiadrum::serving
