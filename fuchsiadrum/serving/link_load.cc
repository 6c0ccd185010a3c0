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

  // Bytes above the capacity of the link stay queued for later ticks.
  const double max_bytes = this->options.bytes_per_s * passed;
  const double waiting = this->queued_bytes + static_cast<double>(this->sent);
  const double sent_bytes = std::min(max_bytes, waiting);
  this->queued_bytes = waiting - sent_bytes;
  const double weight =
      1 - std::exp(-passed / ToSeconds(this->options.time_constant));
  this->sent_utilization +=
      weight * (sent_bytes / max_bytes - this->sent_utilization);
  this->received_utilization +=
      weight * (std::min(1.0, static_cast<double>(this->received) / max_bytes) -
                this->received_utilization);
  this->received = 0;
  this->sent = 0;

  const bool was_busy = this->busy;
  if (!this->busy && this->Utilization() > this->options.busy_above) {
    this->busy = true;
    this->busy_since = now;
  } else if (this->busy && this->Utilization() < this->options.idle_below &&
             now - this->busy_since >= this->options.min_busy_time) {
    this->busy = false;
  }
  return this->busy != was_busy;
}

bool LinkLoad::IsFull() const {
  return this->Utilization() > this->options.full_above ||
         this->QueueTime() > this->options.max_queue_time;
}

double LinkLoad::Utilization() const {
  return std::max(this->received_utilization, this->sent_utilization);
}

Duration LinkLoad::QueueTime() const {
  if (this->options.bytes_per_s <= 0) return Duration::zero();
  return FromSeconds(this->queued_bytes / this->options.bytes_per_s);
}

}  // namespace fuchsiadrum::serving
