#include <gtest/gtest.h>

#include "bench/fleet/fleet_run.h"
#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench {
namespace {

/// Whole nodes over fakes, with the faults that once broke an invariant.
class FleetTest : public ::testing::Test {
 protected:
  void SetUp() override { SetAssertHandler(ThrowOnAssert); }

  static void ExpectHeld(const FleetRunOptions& options) {
    const FleetRunResult result = RunFleet(options);
    EXPECT_TRUE(result.step_reached);
    for (const std::string& violation : result.violations) {
      ADD_FAILURE() << "seed " << options.seed << ": " << violation;
    }
    EXPECT_GT(result.calls.complete, 0);
  }
};

// Guards against a paused daemon that says "not-run" of a key whose caller has
// been served by another daemon meanwhile.
TEST_F(FleetTest, Pause_CallersRetryElsewhere_NotRunStaysTrue) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ExpectHeld({.seed = seed, .step = "admit", .faults = {Fault::kPause}});
  }
}

// Guards against a stopping daemon that says "not-run" of a key that runs
// through another daemon.
TEST_F(FleetTest, PlannedStop_SameKeyElsewhere_NotRunStaysTrue) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ExpectHeld({.seed = seed,
                .step = "last-token",
                .faults = {Fault::kRetryElsewhere, Fault::kPlannedStop}});
  }
}

// Guards against a shard that serves nothing after home and witness died.
TEST_F(FleetTest, TwoDaemonsKilled_FleetIssuedKeys_StillRun) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ExpectHeld({.seed = seed,
                .step = "append:ShardTakeOver",
                .faults = {Fault::kKill}});
  }
}

// Guards against tokens that are neither spent, available nor granted after a
// zone was cut off.
TEST_F(FleetTest, ZoneCut_Healed_AccountsForEveryToken) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ExpectHeld({.seed = seed,
                .preset = "darilni-zreb",
                .zone_delay = Duration(500),
                .step = "peer:CeilingRaise",
                .faults = {Fault::kZoneCut}});
  }
}

// Guards against results that depend on anything but the seed.
TEST_F(FleetTest, Run_SameSeed_SameTrace) {
  const FleetRunOptions options{
      .seed = 7, .step = "dispatch", .faults = {Fault::kKill}};
  EXPECT_EQ(RunFleet(options).trace, RunFleet(options).trace);
}

}  // namespace
}  // namespace fuchsiadrum::bench
