#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <tuple>

#include "tests/serving/limit_fleet.h"

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void ExpectNoBreach(const LimitFleet& fleet, const std::string& note) {
  const auto breach = fleet.Rule().WorstBreach();
  EXPECT_FALSE(breach) << note << ": " << breach->requests
                       << " requests in the 4 s until "
                       << ToSeconds(breach->at - TimePoint{1'000'000'000})
                       << " s, allowed " << breach->allowed;
}

/// Fleets of this many VMs, and a limit in requests per second.
class UpstreamLimitsSizeTest
    : public testing::TestWithParam<std::tuple<size_t, double>> {};

// LIMIT: with a limit of each VM, or an equal part for each, a fleet exceeds
// the limit by its number of VMs, or leaves most of it unused.
TEST_P(UpstreamLimitsSizeTest, CalmFleet_KeepsTheLimitAndUsesIt) {
  const auto [vms, limit] = GetParam();
  LimitFleet fleet({.vms = vms});
  fleet.Run(seconds(5));
  fleet.Name(limit);
  fleet.Run(seconds(10));
  const TimePoint settled = fleet.Time();
  fleet.Run(seconds(30));

  ExpectNoBreach(fleet, std::to_string(vms) + " VMs");
  const double used =
      static_cast<double>(fleet.Rule().Arrivals(settled, fleet.Time()));
  EXPECT_GE(used, 0.75 * limit * 30 - 1);
  EXPECT_LE(used, limit * 30 + 5);
}

INSTANTIATE_TEST_SUITE_P(Sizes, UpstreamLimitsSizeTest,
                         testing::Combine(testing::Values(1, 7, 82, 940),
                                          testing::Values(0.3, 1.4, 9.5)));

class UpstreamLimitsFleetTest : public testing::Test {
 protected:
  /// Number of seeds of the random runs.
  static int Seeds() {
    const char* text = std::getenv("FUCHSIADRUM_LIMIT_SEEDS");
    return text == nullptr ? 12 : std::atoi(text);
  }

  /// Runs a fleet through faults drawn from the seed.
  static void RunWithFaults(LimitFleet& fleet, Rng& rng) {
    const auto random = [&rng](int64_t low_ms, int64_t high_ms) {
      return Duration(milliseconds(rng.Between(low_ms, high_ms)));
    };
    for (int i = 0; i < 25; ++i) {
      fleet.Run(random(200, 4000));
      const size_t vm = rng.Below(fleet.Size());
      switch (rng.Below(7)) {
        case 0:
          fleet.Kill(vm, rng.Chance(0.5));
          break;
        case 1:
          for (size_t k = 0; k < fleet.Size(); ++k) fleet.Kill(k, true);
          break;
        case 2:
          fleet.CutFromStore(vm, random(500, 40000));
          break;
        case 3:
          fleet.StopStore(random(500, 30000));
          break;
        case 4:
          fleet.Suspend(vm, random(500, 30000));
          break;
        case 5:
          fleet.Name(static_cast<double>(rng.Between(1, 120)) / 10);
          break;
        default:
          fleet.Name(std::nullopt);
          fleet.Run(random(100, 3000));
          fleet.Name(static_cast<double>(rng.Between(1, 60)) / 10);
      }
    }
    fleet.Run(seconds(5));
  }
};

TEST_F(UpstreamLimitsFleetTest, RandomFaults_KeepTheLimit) {
  for (int seed = 1; seed <= Seeds(); ++seed) {
    for (const size_t vms : {7, 60}) {
      Rng rng(static_cast<uint64_t>(seed));
      LimitFleet fleet({.vms = vms, .seed = rng.Next()});
      fleet.Run(seconds(3));
      fleet.Name(static_cast<double>(rng.Between(1, 60)) / 10);
      RunWithFaults(fleet, rng);
      ExpectNoBreach(fleet, "seed " + std::to_string(seed) + ", " +
                                std::to_string(vms) + " VMs");
    }
  }
}

// The share of a holder that has ended or is cut off is used again by others.
TEST_F(UpstreamLimitsFleetTest, LostHolders_AreReplaced) {
  constexpr double kLimit = 2.0;
  LimitFleet fleet({.vms = 9});
  fleet.Run(seconds(3));
  fleet.Name(kLimit);
  fleet.Run(seconds(10));
  for (size_t i = 0; i < 4; ++i) fleet.Kill(i, false);
  for (size_t i = 4; i < 8; ++i) fleet.CutFromStore(i, seconds(300));
  fleet.Run(seconds(25));
  const TimePoint replaced = fleet.Time();
  fleet.Run(seconds(30));

  ExpectNoBreach(fleet, "lost holders");
  EXPECT_GE(fleet.Rule().Arrivals(replaced, fleet.Time()), 0.75 * kLimit * 30);
}

// A holder that is cut off can't read that others have taken over its share, so
// its lease must end before.
TEST_F(UpstreamLimitsFleetTest, CutHolder_StopsBeforeOthersTakeOver) {
  LimitFleet fleet({.vms = 7});
  fleet.Run(seconds(3));
  fleet.Name(9.0);
  fleet.Run(seconds(10));
  for (int i = 0; i < 3; ++i) {
    fleet.CutFromStore(fleet.LargestHolder(), seconds(120));
    fleet.Run(seconds(35));
  }
  ExpectNoBreach(fleet, "cut holders");
}

TEST_F(UpstreamLimitsFleetTest, StoreOutage_SharesAreUsedUntilTheLeasesEnd) {
  constexpr double kLimit = 2.0;
  LimitFleet fleet({.vms = 9});
  fleet.Run(seconds(3));
  fleet.Name(kLimit);
  fleet.Run(seconds(10));
  const TimePoint outage = fleet.Time();
  fleet.StopStore(seconds(60));
  fleet.Run(seconds(10));
  EXPECT_GE(fleet.Rule().Arrivals(outage, fleet.Time()), 0.75 * kLimit * 10);
  fleet.Run(seconds(8));
  const TimePoint ended = fleet.Time();
  fleet.Run(seconds(40));
  EXPECT_EQ(fleet.Rule().Arrivals(ended, fleet.Time()), 0U);

  fleet.Run(seconds(5));
  const TimePoint back = fleet.Time();
  fleet.Run(seconds(10));
  EXPECT_GE(fleet.Rule().Arrivals(back, fleet.Time()), 0.75 * kLimit * 10);
  ExpectNoBreach(fleet, "outage");
}

TEST_F(UpstreamLimitsFleetTest, WithdrawnLimit_NoLongerBinds) {
  LimitFleet fleet({.vms = 9});
  fleet.Run(seconds(3));
  fleet.Name(1.4);
  fleet.Run(seconds(10));
  fleet.Name(std::nullopt);
  fleet.Run(seconds(4));
  const TimePoint later = fleet.Time();
  fleet.Run(seconds(10));

  EXPECT_GE(fleet.Rule().Arrivals(later, fleet.Time()), 50U);
}

// The fleet's writes must not grow with its size.
TEST_F(UpstreamLimitsFleetTest, Writes_DoNotGrowWithTheFleet) {
  for (const size_t vms : {7, 940}) {
    LimitFleet fleet({.vms = vms});
    fleet.Run(seconds(3));
    fleet.Name(1.4);
    fleet.Run(seconds(10));
    const uint64_t before = fleet.Writes();
    fleet.Run(seconds(60));
    EXPECT_LE(fleet.Writes() - before, 60U) << vms << " VMs";
  }
}

}  // namespace
}  // namespace fuchsiadrum::serving
