#pragma once

#include <cstddef>
#include <cstdint>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of the judgement of a VM's network link.
struct LinkLoadOptions {
  /// Rate of the link in each direction, bytes per second; 0: not known, and
  /// the link never counts as busy.
  double bytes_per_s = 0;
  /// Headers and acknowledgements that one write or read costs besides: about
  /// one packet each way.
  size_t overhead_bytes = 80;
  /// Time constant of the measured use: several answers, less than the balancer
  /// takes to react.
  Duration memory = std::chrono::milliseconds(700);
  /// Part of the link in use above which the VM asks for no new callers. The
  /// balancer takes two seconds to act on it, while the load may double.
  double busy_above = 0.55;
  /// Part below which it asks for them again, and the least time before: the
  /// balancer sends a whole organisation's callers back at once.
  double idle_below = 0.3;
  Duration least_pause = std::chrono::seconds(8);
  /// Part of the link in use, and time of what waits to be sent, above which
  /// the link is full.
  double full_above = 0.85;
  Duration longest_queue = std::chrono::milliseconds(120);
};

/// Judges by the bytes of requests and answers how much of a VM's link is in
/// use. The balancer spreads callers by a hash, so that one organisation's
/// callers can exceed one VM's link while all others are idle. A link that is
/// offered more than it carries delays everything until callers give up, and
/// carries less and less that is of use.
class LinkLoad {
 public:
  explicit LinkLoad(const LinkLoadOptions& opts) : options(opts) {}

  void OnReceived(size_t bytes) {
    this->received += bytes + this->options.overhead_bytes;
  }
  void OnSent(size_t bytes) {
    this->sent += bytes + this->options.overhead_bytes;
  }
  /// Call every few milliseconds; true if IsBusy has changed.
  bool OnTick(TimePoint now);

  /// New callers should go to other VMs.
  bool IsBusy() const { return this->busy; }
  /// Requests should be refused: they would wait longer here than elsewhere.
  bool IsFull() const;
  /// Part of the link in use, of the direction that is used more.
  double Use() const;
  /// Time until what was sent has left.
  Duration Queue() const;

 private:
  LinkLoadOptions options;
  /// Bytes since the last tick.
  uint64_t received = 0;
  uint64_t sent = 0;
  double received_use = 0;
  double sent_use = 0;
  double queued_bytes = 0;
  TimePoint ticked_at;
  TimePoint busy_since;
  bool busy = false;
};

}  // namespace fuchsiadrum::serving
