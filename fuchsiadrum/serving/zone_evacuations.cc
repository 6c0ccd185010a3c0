#include "fuchsiadrum/serving/zone_evacuations.h"

#include <algorithm>

namespace fuchsiadrum::serving {

bool ZoneEvacuations::Begin(TimePoint now, const std::string& zone) {
  return this->begun_at.try_emplace(zone, now).second;
}

bool ZoneEvacuations::Lift(const std::string& zone) {
  return this->begun_at.erase(zone) > 0;
}

Duration ZoneEvacuations::RetryAfter(TimePoint now,
                                     std::string_view zone) const {
  const auto found = this->begun_at.find(zone);
  if (found == this->begun_at.end()) return Duration::zero();
  return std::clamp(now - found->second, this->options.min_retry,
                    this->options.max_retry);
}

}  // namespace fuchsiadrum::serving
