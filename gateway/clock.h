#pragma once

#include "daemon/clock.h"

namespace fuchsiadrum::gateway {

using daemon::Now;

/// Milliseconds, for log lines.
inline double ToMs(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace fuchsiadrum::gateway
