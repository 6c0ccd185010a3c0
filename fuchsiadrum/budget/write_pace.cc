#include "fuchsiadrum/budget/write_pace.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

Duration WritePace::Interval(size_t fleet_size, double demand_fraction) const {
  if (fleet_size == 0) return Duration::zero();
  const double even_fraction = 1.0 / static_cast<double>(fleet_size);
  const double fraction = std::clamp(demand_fraction, even_fraction, 1.0);
  return FromSeconds(1.0 / (this->calls_per_s * fraction));
}

}  // namespace fuchsiadrum::budget
