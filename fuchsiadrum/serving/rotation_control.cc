#include "fuchsiadrum/serving/rotation_control.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

bool RotationControl::OnTick(TimePoint now, const RotationLoad& load) {
  const bool was_shedding = this->is_shedding;
  const bool was_away = this->is_away;
  const double highest = std::max(load.link, load.processor);

  if (highest > 1) this->is_shedding = true;
  if (highest < this->options.calm_below) this->is_shedding = false;
  this->excess = this->is_shedding
                     ? std::max(0.0, 1 - this->options.calm_below / highest)
                     : 0;

  if (highest <= this->options.leave_above) {
    this->overloaded_since = {};
  } else if (this->overloaded_since.us == 0) {
    this->overloaded_since = now;
    this->max_overload =
        this->options.leave_after +
        FromSeconds(this->rng.Unit() * ToSeconds(this->options.leave_spread));
  }
  const bool may_leave = this->away_since.us == 0 ||
                         now - this->away_since >= this->options.away_interval;
  if (this->is_away) {
    this->is_away = now - this->away_since < this->options.away_time;
  } else if (may_leave && this->overloaded_since.us != 0 &&
             now - this->overloaded_since >= this->max_overload) {
    this->is_away = true;
    this->away_since = now;
  }
  return this->is_shedding != was_shedding || this->is_away != was_away;
}

bool RotationControl::AnnouncesClose(double share, double concentration) {
  if (this->excess <= 0 || concentration <= 0) return false;
  return this->rng.Chance(std::min(1.0, this->excess * share / concentration));
}

}  // namespace fuchsiadrum::serving
