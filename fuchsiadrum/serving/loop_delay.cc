#include "fuchsiadrum/serving/loop_delay.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

bool LoopDelay::OnTick(TimePoint now) {
  if (this->last.us == 0) {
    this->last = now;
    return false;
  }
  const Duration passed = now - this->last;
  this->last = now;
  const Duration late =
      std::clamp(passed - this->options.tick, Duration::zero(),
                 this->options.max_delay_per_tick);
  const double weight =
      1 -
      std::exp(-ToSeconds(std::min(passed, this->options.max_delay_per_tick)) /
               ToSeconds(this->options.time_constant));
  this->mean += std::chrono::duration_cast<Duration>(
      weight *
      std::chrono::duration<double, Duration::period>(late - this->mean));

  const Duration calm_below = std::chrono::duration_cast<Duration>(
      this->options.busy_above * this->options.calm_fraction);
  const bool was_busy = this->busy;
  if (this->mean > this->options.busy_above) this->busy = true;
  if (this->mean < calm_below) this->busy = false;
  return this->busy != was_busy;
}

double LoopDelay::BusyLoad() const {
  return ToSeconds(this->mean) / ToSeconds(this->options.busy_above);
}

double LoopDelay::FullLoad() const {
  return ToSeconds(this->mean) / ToSeconds(this->options.full_above);
}

}  // namespace fuchsiadrum::serving
