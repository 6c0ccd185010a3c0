#pragma once

#include <chrono>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum {

inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

inline double ToMilliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

/// Rounded towards zero to whole microseconds.
inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

inline Duration FromMilliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace fuchsiadrum
