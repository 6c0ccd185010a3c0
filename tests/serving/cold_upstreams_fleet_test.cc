#include <gtest/gtest.h>

#include "tests/serving/cold_fleet.h"

namespace fuchsiadrum::serving {
namespace {

using std::chrono::seconds;

class ColdUpstreamsFleetTest : public testing::Test {
 protected:
  /// One random trouble of the VMs and the upstreams.
  static void Disturb(ColdFleet& fleet, Rng& rng) {
    const size_t vm = rng.Below(fleet.Vms());
    const size_t upstream = rng.Below(fleet.Upstreams());
    switch (rng.Below(8)) {
      case 0:
        fleet.Crash(upstream, fleet.Random(200, 4000));
        break;
      case 1:
        fleet.Cool(upstream);
        break;
      case 2:
        // A rack of upstreams.
        for (size_t i = 0; i < fleet.Upstreams(); ++i) {
          fleet.Crash(i, fleet.Random(500, 1500));
        }
        break;
      case 3:
        for (size_t i = 0; i < fleet.Vms(); i += 3) {
          fleet.Suspend(i, fleet.Random(100, 12000));
        }
        break;
      case 4:
        for (size_t i = vm; i < fleet.Vms(); i += 2) {
          fleet.Cut(i, fleet.Random(500, 9000));
        }
        break;
      case 5:
        for (size_t i = vm; i < fleet.Vms(); i += 4) fleet.Restart(i);
        break;
      case 6:
        fleet.CutAll(seconds(9));
        break;
      default:
        if (fleet.Vms() < 1300) fleet.Grow(1 + fleet.Vms() / 10);
    }
  }
  /// Returns the fleet after `time` of random troubles.
  static ColdFleet Trouble(size_t vms, uint64_t seed, Duration time) {
    ColdFleet fleet({.vms = vms, .seed = seed});
    Rng rng = Rng(seed).Fork("troubles");
    fleet.Run(seconds(6));
    for (Duration passed{}; passed < time; passed += seconds(2)) {
      Disturb(fleet, rng);
      fleet.Run(seconds(2));
    }
    return fleet;
  }
};

// FAILBACK: in some second a cold upstream gets more than it takes: VMs know
// different fleets, have just started, were suspended or are cut off, or
// requests that were sent apart arrive together.
TEST_F(ColdUpstreamsFleetTest, RandomTroubles_NoSecondAboveTheBound) {
  for (const size_t vms : {7U, 9U, 12U, 58U, 82U, 195U}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      const ColdFleet fleet = Trouble(vms, seed, seconds(50));
      EXPECT_LE(fleet.Worst(), ColdFleet::Bound())
          << vms << " VMs, seed " << seed;
    }
  }
}

TEST_F(ColdUpstreamsFleetTest, LargeFleet_NoSecondAboveTheBound) {
  const ColdFleet fleet = Trouble(940, 1, seconds(30));
  EXPECT_LE(fleet.Worst(), ColdFleet::Bound());
}

// FAILBACK: the bound is kept because cold upstreams get nothing at all.
TEST_F(ColdUpstreamsFleetTest, ColdUpstream_GetsItsGuaranteedRequests) {
  for (const size_t vms : {7U, 82U, 940U}) {
    ColdFleet fleet({.vms = vms, .upstreams = 1});
    fleet.Run(seconds(8));
    const size_t before = fleet.ColdArrivals();
    fleet.Crash(0, seconds(1));
    fleet.Run(seconds(6));
    // At half of the bound, 3 s are 23 requests.
    EXPECT_GE(fleet.ColdArrivals() - before, 12U) << vms;
    EXPECT_LE(fleet.Worst(), ColdFleet::Bound()) << vms;
  }
}

}  // namespace
}  // namespace fuchsiadrum::serving
