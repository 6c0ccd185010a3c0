#include "gateway/clock.h"

#include <ctime>

namespace fuchsiadrum::gateway {
namespace {

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/// Initialised before main, so that it holds the clocks at the process's start.
const budget::VmClocks kClocksAtStart = ReadVmClocks();

}  // namespace

budget::VmClocks ReadVmClocks() {
  return {.since_boot = ReadClock(CLOCK_BOOTTIME),
          .time_of_day = ReadClock(CLOCK_REALTIME)};
}

const budget::VmClocks& ClocksAtStart() { return kClocksAtStart; }

}  // namespace fuchsiadrum::gateway
