#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options for measuring the delay of the event loop.
struct LoopDelayOptions {
  /// Interval of the timer that calls OnTick.
  Duration tick = std::chrono::milliseconds(25);
  /// Time constant of the moving average of the delay.
  Duration time_constant = std::chrono::milliseconds(500);
  /// Mean delay above which callers should go to other VMs, and above which the
  /// VM refuses all requests. A process with a CPU quota is suspended for up to
  /// 90 ms of each 100 ms without being overloaded.
  Duration busy_above = std::chrono::milliseconds(150);
  Duration full_above = std::chrono::milliseconds(300);
  /// Fraction of `busy_above` below which the VM is not busy any more.
  double calm_fraction = 0.4;
  /// Maximum delay that a single tick contributes: after a freeze of the
  /// process only one tick is late.
  Duration max_delay_per_tick = std::chrono::milliseconds(600);
};

/// Detects from late timer ticks of the event loop that the CPU does not keep
/// up with the requests. All callers of one organisation may reach one small VM
/// while the other VMs are idle.
class LoopDelay {
 public:
  explicit LoopDelay(const LoopDelayOptions& opts) : options(opts) {}

  /// Updates the mean; to be called at each tick. Returns true if IsBusy has
  /// changed.
  bool OnTick(TimePoint now);
  bool IsBusy() const { return this->busy; }
  bool IsFull() const { return this->mean > this->options.full_above; }
  /// The mean delay as a multiple of `busy_above` and of `full_above`.
  double BusyLoad() const;
  double FullLoad() const;
  Duration Mean() const { return this->mean; }

 private:
  LoopDelayOptions options;
  TimePoint last;
  Duration mean = Duration::zero();
  bool busy = false;
};

}  // namespace fuchsiadrum::serving
