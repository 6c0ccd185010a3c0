#include "fuchsiadrum/serving/link_load.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

void LinkLoad::OnReceived(size_t bytes) {
  if (bytes == 0) return;
  this->received_bytes += this->WireBytes(bytes);
  const size_t acknowledgements = (this->Packets(bytes) + 1) / 2;
  this->queued_bytes +=
      static_cast<double>(acknowledgements * this->options.overhead_bytes);
}

void LinkLoad::OnSent(TimePoint now, size_t bytes) {
  if (bytes == 0) return;
  this->Drain(now);
  this->queued_bytes += this->WireBytes(bytes);
  const size_t acknowledgements = (this->Packets(bytes) + 1) / 2;
  this->received_bytes +=
      static_cast<double>(acknowledgements * this->options.overhead_bytes);
}

void LinkLoad::OnTick(TimePoint now) {
  this->Drain(now);
  const double passed =
      this->ticked_at.us == 0 ? 0 : ToSeconds(now - this->ticked_at);
  this->ticked_at = now;
  if (passed <= 0 || this->options.bytes_per_s <= 0) return;

  const double max_bytes = this->options.bytes_per_s * passed;
  const double weight =
      1 - std::exp(-passed / ToSeconds(this->options.time_constant));
  this->sent_utilization +=
      weight *
      (std::min(1.0, this->sent_bytes / max_bytes) - this->sent_utilization);
  this->received_utilization +=
      weight * (std::min(1.0, this->received_bytes / max_bytes) -
                this->received_utilization);
  this->received_bytes = 0;
  this->sent_bytes = 0;
}

double LinkLoad::Utilization() const {
  return std::max(this->received_utilization, this->sent_utilization);
}

Duration LinkLoad::QueueTime(TimePoint now, size_t more_bytes) const {
  if (this->options.bytes_per_s <= 0) return Duration::zero();
  double waiting = std::max(0.0, this->queued_bytes - this->Sendable(now));
  if (more_bytes > 0) waiting += this->WireBytes(more_bytes);
  return FromSeconds(waiting / this->options.bytes_per_s);
}

size_t LinkLoad::Packets(size_t bytes) const {
  return (bytes + this->options.packet_bytes - 1) / this->options.packet_bytes;
}

double LinkLoad::WireBytes(size_t bytes) const {
  return static_cast<double>(bytes + this->Packets(bytes) *
                                         this->options.overhead_bytes);
}

double LinkLoad::Sendable(TimePoint now) const {
  if (this->drained_at.us == 0 || now <= this->drained_at) return 0;
  return this->options.bytes_per_s * ToSeconds(now - this->drained_at);
}

void LinkLoad::Drain(TimePoint now) {
  const double drained = std::min(this->queued_bytes, this->Sendable(now));
  this->queued_bytes -= drained;
  this->sent_bytes += drained;
  this->drained_at = std::max(this->drained_at, now);
}

}  // namespace fuchsiadrum::serving
