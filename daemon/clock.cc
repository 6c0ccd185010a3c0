#include "daemon/clock.h"

#include <chrono>

namespace fuchsiadrum::daemon {
namespace {

struct Start {
  std::chrono::steady_clock::time_point steady =
      std::chrono::steady_clock::now();
  int64_t unix_us = std::chrono::duration_cast<Duration>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
};

const Start& ProcessStart() {
  static const Start kStart;
  return kStart;
}

}  // namespace

TimePoint Now() {
  const Start& start = ProcessStart();
  const auto passed = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - start.steady);
  return {start.unix_us + passed.count()};
}

uint64_t StartIncarnation() {
  return static_cast<uint64_t>(ProcessStart().unix_us);
}

}  // namespace fuchsiadrum::daemon
