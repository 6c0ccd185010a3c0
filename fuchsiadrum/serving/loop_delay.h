#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of the delay.
struct LoopDelayOptions {
  /// Interval at which the loop is asked to run.
  Duration tick = std::chrono::milliseconds(25);
  /// Time constant of the mean delay.
  Duration memory = std::chrono::milliseconds(500);
  /// Mean delay above which the VM takes no new callers, and above which it
  /// refuses all requests. A processor whose share is a quota stands still for
  /// up to 90 ms of each 100 ms without being overloaded.
  Duration busy_above = std::chrono::milliseconds(150);
  Duration full_above = std::chrono::milliseconds(300);
  /// Part of `busy_above` below which it takes new callers again.
  double calm_part = 0.4;
  /// Longest delay that one tick counts for: after a freeze the loop is late
  /// once.
  Duration most_counted = std::chrono::milliseconds(600);
};

/// Judges by the lateness of the event loop whether the processor keeps up with
/// the requests. One organisation's callers may all reach one small VM, while
/// the others are idle.
class LoopDelay {
 public:
  explicit LoopDelay(const LoopDelayOptions& opts) : options(opts) {}

  /// Call at each tick; true if the VM became busy or calm.
  bool OnTick(TimePoint now);
  bool IsBusy() const { return this->busy; }
  bool IsFull() const { return this->mean > this->options.full_above; }
  Duration Mean() const { return this->mean; }

 private:
  LoopDelayOptions options;
  TimePoint last;
  Duration mean = Duration::zero();
  bool busy = false;
};

}  // namespace fuchsiadrum::serving
