#pragma once

#include <cstddef>
#include <cstdint>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options for measuring the load of a VM's network link.
struct LinkLoadOptions {
  /// Capacity of the link in each direction, in bytes per second. 0 means
  /// unknown: the link then never counts as busy.
  double bytes_per_s = 0;
  /// Packet headers and acknowledgements that are added for each read or write:
  /// about one packet in each direction.
  size_t overhead_bytes = 80;
  /// Time constant of the moving average of utilization. It covers several
  /// answers and is shorter than the reaction time of the balancer.
  Duration time_constant = std::chrono::milliseconds(700);
  /// Utilization above which the VM asks the balancer for no new callers. The
  /// balancer takes two seconds to act on it, while the load may double.
  double busy_above = 0.55;
  /// Utilization below which the VM accepts new callers again, and the minimum
  /// time before that: the balancer sends all callers of an organisation back
  /// at once.
  double idle_below = 0.3;
  Duration min_busy_time = std::chrono::seconds(8);
  /// Utilization, and time needed to send the queued bytes, above which the
  /// link is full.
  double full_above = 0.85;
  Duration max_queue_time = std::chrono::milliseconds(120);
};

/// Estimates the utilization of a VM's network link from the bytes of requests
/// and answers. The balancer distributes callers by a hash, so the callers of
/// one organisation can exceed the link of one VM while all other VMs are idle.
/// An overloaded link delays every answer until callers time out, so that less
/// and less of what it carries is still useful.
class LinkLoad {
 public:
  explicit LinkLoad(const LinkLoadOptions& opts) : options(opts) {}

  void OnReceived(size_t bytes) {
    this->received += bytes + this->options.overhead_bytes;
  }
  void OnSent(size_t bytes) {
    this->sent += bytes + this->options.overhead_bytes;
  }
  /// Updates the estimate; to be called every few milliseconds. Returns true if
  /// IsBusy has changed.
  bool OnTick(TimePoint now);

  /// True if new callers should go to other VMs.
  bool IsBusy() const { return this->busy; }
  /// True if requests should be refused because they would wait longer here
  /// than at another VM.
  bool IsFull() const;
  /// Fraction of the link's capacity in use, in the busier direction.
  double Utilization() const;
  /// Time that the link needs to send the queued bytes.
  Duration QueueTime() const;

 private:
  LinkLoadOptions options;
  /// Bytes since the last tick.
  uint64_t received = 0;
  uint64_t sent = 0;
  double received_utilization = 0;
  double sent_utilization = 0;
  double queued_bytes = 0;
  TimePoint ticked_at;
  TimePoint busy_since;
  bool busy = false;
};

}  // namespace fuchsiadrum::serving
