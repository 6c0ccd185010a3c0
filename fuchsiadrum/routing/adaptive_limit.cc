#include "fuchsiadrum/routing/adaptive_limit.h"

#include <algorithm>

namespace fuchsiadrum::routing {

bool AdaptiveLimit::Decrease(TimePoint now, double present, double factor,
                             const AdaptiveLimitOptions& options) {
  if (this->IsSet() && this->decreased_at.us != 0 &&
      now - this->decreased_at < options.decrease_interval) {
    return false;
  }
  this->decreased_at = now;
  const double from = this->IsSet() ? this->value : present;
  this->value = std::clamp(from * factor, options.least, options.most);
  return true;
}

void AdaptiveLimit::Increase(double step, const AdaptiveLimitOptions& options) {
  this->value = std::min(this->value + step, options.most);
}

}  // namespace fuchsiadrum::routing
