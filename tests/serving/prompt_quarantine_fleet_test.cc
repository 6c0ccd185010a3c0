#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

#include "tests/serving/crash_fleet.h"

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Random fleets; each seed is one course of events.
class PromptQuarantineFleetTest : public testing::Test {
 protected:
  /// Bounds of the operators' rules.
  static constexpr Duration kContact = seconds(3);
  static constexpr int kMaxLateSends = 3;
  static constexpr uint64_t kSeeds = 4;
};

// BUDGET: bad requests come at any gateway, and the fleet goes on sending them.
TEST_F(PromptQuarantineFleetTest, BadPart_IsSentRarelyAfterTheFifthCrash) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashFleet fleet({.bad_fraction = 0.01 * static_cast<double>(1 + seed % 5),
                      .bad_parts = 1 + static_cast<int>(seed % 2),
                      .seed = seed});
    fleet.Run(seconds(90));
    EXPECT_LE(fleet.MostLateSends(kContact), kMaxLateSends) << "seed " << seed;
    EXPECT_LE(fleet.SoundHeldBack(), fleet.Sound() / 50) << "seed " << seed;
    std::printf("  seed %2llu: %d crashes, %d late, %d of %d sound held back\n",
                static_cast<unsigned long long>(seed), fleet.BadCrashes(),
                fleet.MostLateSends(kContact), fleet.SoundHeldBack(),
                fleet.Sound());
  }
}

// The same while gateways restart and are cut from the store, and upstreams
// also crash without a bad part.
TEST_F(PromptQuarantineFleetTest, BadPart_AmongRestartsCutsAndCrashes) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashFleet fleet({.bad_fraction = 0.03,
                      .own_crash_interval = seconds(3),
                      .rack_crash_interval = seconds(25),
                      .seed = 100 + seed});
    Rng rng(seed);
    for (int i = 0; i < 30; ++i) {
      fleet.Run(milliseconds(3000));
      if (rng.Chance(0.4)) fleet.Restart(rng.Below(9));
      if (rng.Chance(0.3)) {
        fleet.CutFromStore(rng.Below(9), milliseconds(rng.Between(500, 8000)));
      }
    }
    EXPECT_LE(fleet.MostLateSends(kContact), kMaxLateSends) << "seed " << seed;
    EXPECT_LE(fleet.SoundHeldBack(), fleet.Sound() / 20) << "seed " << seed;
  }
}

// The opposite error: crashes without a bad part hold nothing back.
TEST_F(PromptQuarantineFleetTest, CrashesWithoutBadPart_HoldNothingBack) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashFleet fleet({.bad_fraction = 0,
                      .own_crash_interval = milliseconds(700),
                      .rack_crash_interval = seconds(15),
                      .seed = 200 + seed});
    fleet.Run(seconds(90));
    EXPECT_GT(fleet.Crashes(), 60);
    EXPECT_LE(fleet.SoundHeldBack(), fleet.Sound() / 100) << "seed " << seed;
    std::printf("  seed %llu: %d crashes, %d of %d held back\n",
                static_cast<unsigned long long>(seed), fleet.Crashes(),
                fleet.SoundHeldBack(), fleet.Sound());
  }
}

// A few gateways and a large fleet; its records and writes stay few.
TEST_F(PromptQuarantineFleetTest, Sizes_FromFewGatewaysToMany) {
  for (const size_t gateways : {size_t{7}, size_t{82}, size_t{300}}) {
    CrashFleet fleet({.gateways = gateways,
                      .upstreams = 2 * gateways,
                      .requests_per_s = 14.0 * static_cast<double>(gateways),
                      .bad_fraction = 0.3 / static_cast<double>(gateways),
                      .own_crash_interval = seconds(5),
                      .seed = gateways});
    fleet.Run(seconds(40));
    EXPECT_LE(fleet.MostLateSends(kContact), kMaxLateSends) << gateways;
    EXPECT_LE(fleet.SoundHeldBack(), fleet.Sound() / 50) << gateways;
    std::printf(
        "  %zu gateways: %d crashes by the part, %d others, %zu records, %llu "
        "writes, %zu live\n",
        gateways, fleet.BadCrashes(), fleet.Crashes() - fleet.BadCrashes(),
        fleet.Records(), static_cast<unsigned long long>(fleet.Writes()),
        fleet.LiveRecords());
  }
}

}  // namespace
}  // namespace fuchsiadrum::serving
