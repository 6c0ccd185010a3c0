#pragma once

#include <cstddef>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options for measuring the load of a VM's network link.
struct LinkLoadOptions {
  /// Capacity of the link in each direction, in bytes per second. 0 means
  /// unknown: the link then never counts as loaded.
  double bytes_per_s = 0;
  /// Bytes of data in a full packet, and bytes of the headers of each packet:
  /// Ethernet, IPv4, TCP with timestamps.
  size_t packet_bytes = 1448;
  size_t overhead_bytes = 66;
  /// Time constant of the moving average of utilization. It covers several
  /// answers and is shorter than the reaction time of the balancer.
  Duration time_constant = std::chrono::milliseconds(700);
};

/// Estimates the utilization of a VM's network link from the bytes of requests
/// and answers. The balancer distributes callers by a hash, so the callers of
/// one organisation can exceed the link of one VM while all other VMs are idle.
/// An overloaded link delays every answer until callers time out, so that less
/// and less of what it carries is still useful.
class LinkLoad {
 public:
  explicit LinkLoad(const LinkLoadOptions& opts) : options(opts) {}

  /// Bytes were read from a connection. Every second packet is acknowledged in
  /// the other direction.
  void OnReceived(size_t bytes);
  /// Bytes were handed to the kernel to be sent.
  void OnSent(TimePoint now, size_t bytes);
  /// Updates the utilization; to be called every few milliseconds.
  void OnTick(TimePoint now);

  /// Capacity in bytes per second; 0: not known.
  double BytesPerSecond() const { return this->options.bytes_per_s; }
  /// Fraction of the link's capacity in use, in each direction and in the
  /// busier one.
  double ReceivedUtilization() const { return this->received_utilization; }
  double SentUtilization() const { return this->sent_utilization; }
  double Utilization() const;
  /// Time that the link needs to send the bytes that wait for it, and
  /// `more_bytes` of data; zero if the capacity is not known.
  Duration QueueTime(TimePoint now, size_t more_bytes = 0) const;

 private:
  size_t Packets(size_t bytes) const;
  /// Bytes on the link of `bytes` of data.
  double WireBytes(size_t bytes) const;
  /// Bytes that the link can have sent since the last update.
  double Sendable(TimePoint now) const;
  void Drain(TimePoint now);

  LinkLoadOptions options;
  /// Bytes that were received and sent since the last tick.
  double received_bytes = 0;
  double sent_bytes = 0;
  /// Bytes that wait to be sent at `drained_at`.
  double queued_bytes = 0;
  TimePoint drained_at;
  TimePoint ticked_at;
  double received_utilization = 0;
  double sent_utilization = 0;
};

}  // namespace fuchsiadrum::serving
