#include "fuchsiadrum/serving/rotation_control.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

bool RotationControl::OnTick(TimePoint now, const RotationLoad& load) {
  const bool was_away = this->is_away;
  const double current = std::max(load.link, load.processor);
  if (current <= 1) {
    this->overloaded_since = {};
  } else if (this->overloaded_since.us == 0) {
    this->overloaded_since = now;
    this->max_overload =
        this->options.leave_after +
        FromSeconds(this->rng.Unit() * ToSeconds(this->options.leave_spread));
  }

  if (this->accrued_at.us != 0) {
    this->allowance = std::min(
        this->options.max_allowance,
        this->allowance + FromSeconds(this->options.away_fraction *
                                      ToSeconds(now - this->accrued_at)));
  }
  this->accrued_at = now;

  if (this->is_away) {
    this->is_away = now - this->away_since < this->options.away_time;
  } else if (this->overloaded_since.us != 0 &&
             now - this->overloaded_since >= this->max_overload &&
             this->allowance >= this->options.away_time) {
    this->allowance -= this->options.away_time;
    this->is_away = true;
    this->away_since = now;
    this->highest_load = 0;
  }

  this->highest_load = std::max(this->highest_load, current);
  this->excess = 0;
  if (this->is_away && now - this->away_since >= this->options.announce_after) {
    this->excess =
        std::max(0.0, 1 - this->options.target_load / this->highest_load);
  }
  return this->is_away != was_away;
}

bool RotationControl::AnnouncesClose(double share, double concentration) {
  if (this->excess <= 0 || concentration <= 0) return false;
  return this->rng.Chance(std::min(1.0, this->excess * share / concentration));
}

}  // namespace fuchsiadrum::serving
