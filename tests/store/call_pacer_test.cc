#include "fuchsiadrum/store/call_pacer.h"

#include <gtest/gtest.h>

#include <vector>

namespace fuchsiadrum::store {
namespace {

class CallPacerTest : public testing::Test {
 protected:
  static constexpr size_t kFleet = 195;
  TimePoint now{1'000'000'000};

  /// Returns the number of calls that a fleet makes in each second if every
  /// gateway wants one call each 10 ms, all starting at the same moment.
  std::vector<int> CallsPerSecond(int seconds, bool urgent) {
    std::vector<CallPacer> fleet(kFleet,
                                 CallPacer({.fleet_calls_per_s = 3200}));
    std::vector<int> calls(static_cast<size_t>(seconds), 0);
    for (CallPacer& pacer : fleet) pacer.SetFleetSize(kFleet);
    for (int ms = 0; ms < seconds * 1000; ms += 10) {
      this->now = this->now + std::chrono::milliseconds(10);
      for (CallPacer& pacer : fleet) {
        calls[static_cast<size_t>(ms / 1000)] +=
            pacer.Take(this->now, urgent) ? 1 : 0;
      }
    }
    return calls;
  }
};

// Guards against a burst of calls after an outage of the store: all gateways
// filled their pools at once, and 66,000 calls in a day were rejected because
// of the store's rate limit.
TEST_F(CallPacerTest, FleetThatReconnects_StaysBelowTheRateOfTheStore) {
  for (const bool urgent : {false, true}) {
    const std::vector<int> calls = this->CallsPerSecond(5, urgent);
    for (const int count : calls) EXPECT_LE(count, 3200 * 13 / 10);
    EXPECT_LE(calls[2], 3200 / 2);
    EXPECT_GE(calls[2], 3200 / 4);
  }
}

TEST_F(CallPacerTest, UrgentCall_UsesTheReservedCalls) {
  CallPacer pacer({.fleet_calls_per_s = 1000, .assumed_fleet_size = 10});
  int others = 0;
  while (pacer.Take(this->now, false)) ++others;
  EXPECT_GT(others, 0);
  EXPECT_TRUE(pacer.Take(this->now, true));
}

TEST_F(CallPacerTest, RateLimitedCall_LowersTheRateForAWhile) {
  CallPacer pacer({.fleet_calls_per_s = 1000, .assumed_fleet_size = 10});
  const auto count = [&](int ms) {
    int calls = 0;
    for (int i = 0; i < ms; ++i) {
      this->now = this->now + std::chrono::milliseconds(1);
      calls += pacer.Take(this->now, true) ? 1 : 0;
    }
    return calls;
  };
  count(3000);
  const int usual = count(1000);
  pacer.OnRateLimited(this->now);
  pacer.OnRateLimited(this->now);
  EXPECT_LT(count(1000) * 10, usual * 7);
  count(6000);
  EXPECT_GT(count(1000) * 10, usual * 9);
}

// Even a very large fleet with a very low rate makes progress.
TEST_F(CallPacerTest, VeryLargeFleet_StillMakesCalls) {
  CallPacer pacer({.fleet_calls_per_s = 100});
  pacer.SetFleetSize(10000);
  int calls = 0;
  for (int i = 0; i < 1000; ++i) {
    this->now = this->now + std::chrono::seconds(1);
    calls += pacer.Take(this->now, false) ? 1 : 0;
  }
  EXPECT_GE(calls, 3);
}

}  // namespace
}  // namespace fuchsiadrum::store
