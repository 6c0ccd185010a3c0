#include "fuchsiadrum/budget/reclaim.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;

class ReclaimTest : public testing::Test {
 protected:
  static constexpr Duration kReleaseDelay = std::chrono::seconds(2);
  static constexpr Duration kHeartbeatInterval = milliseconds(500);

  static ReclaimDecision After(Duration by_boot, Duration by_time_of_day) {
    const VmClocks last = {.since_boot = std::chrono::hours(1),
                           .time_of_day = std::chrono::hours(1000)};
    return MayReclaim(last,
                      {.since_boot = last.since_boot + by_boot,
                       .time_of_day = last.time_of_day + by_time_of_day},
                      kReleaseDelay);
  }

  /// Returns whether the heartbeats of a fleet confirm the span of a VM that
  /// was down for `downtime` and whose own clock measured `own_duration`. There
  /// are `peers` other VMs, which wrote 250 ms before and after the span. The
  /// time of day of `stepped_peers` of them was set back as much as the VM's
  /// own.
  static bool Confirmed(Duration downtime, Duration own_duration, int peers,
                        int stepped_peers) {
    return Silence(downtime, own_duration, peers, stepped_peers).has_value();
  }

  /// Returns the bound of the silence by the heartbeats of that fleet; nullopt
  /// if they do not confirm the span.
  static std::optional<Duration> Silence(Duration downtime,
                                         Duration own_duration, int peers,
                                         int stepped_peers) {
    std::vector<FleetHeartbeat> heartbeats;
    heartbeats.reserve(2 * static_cast<size_t>(peers));
    uint64_t offset = 0;
    const Duration day = std::chrono::hours(1000);
    for (int i = 0; i < peers; ++i) {
      heartbeats.push_back({.vm = "p" + std::to_string(i),
                            .offset = offset++,
                            .time_of_day = day - milliseconds(250)});
    }
    ReclaimSpan span = {.vm = "own"};
    span.last = {.vm = "own", .offset = offset++, .time_of_day = day};
    span.first = {
        .vm = "own", .offset = offset++, .time_of_day = day + own_duration};
    for (int i = 0; i < peers; ++i) {
      const Duration step =
          i < stepped_peers ? downtime - own_duration : Duration::zero();
      heartbeats.push_back(
          {.vm = "p" + std::to_string(i),
           .offset = offset++,
           .time_of_day = day + downtime + milliseconds(250) - step});
    }
    if (!PeersConfirm(span, heartbeats, kHeartbeatInterval)) {
      return std::nullopt;
    }
    return SilenceByPeers(span, heartbeats);
  }
};

TEST_F(ReclaimTest, QuickRestart_OnBothClocks_MayReclaim) {
  EXPECT_EQ(After(milliseconds(900), milliseconds(905)), ReclaimDecision::kYes);
}

// The former process may have released tokens above its ceilings.
TEST_F(ReclaimTest, LateRestart_MayNotReclaim) {
  EXPECT_EQ(After(milliseconds(2100), milliseconds(2100)),
            ReclaimDecision::kNo);
  EXPECT_EQ(After(milliseconds(1950), milliseconds(1950)),
            ReclaimDecision::kNo);
}

TEST_F(ReclaimTest, Reboot_AsksPeers) {
  EXPECT_EQ(After(-std::chrono::minutes(50), milliseconds(900)),
            ReclaimDecision::kAskPeers);
  EXPECT_EQ(After(-std::chrono::minutes(50), milliseconds(1700)),
            ReclaimDecision::kNo);
}

TEST_F(ReclaimTest, TimeOfDayBeforeTheLastWrite_MayNotReclaim) {
  EXPECT_EQ(After(milliseconds(900), -milliseconds(1500)),
            ReclaimDecision::kNo);
}

TEST_F(ReclaimTest, Peers_ThatMeasuredTheSameSpan_Confirm) {
  EXPECT_TRUE(Confirmed(milliseconds(900), milliseconds(900), 8, 0));
}

// The VM was down for 3.3 s, and its time of day stepped back by 2.4 s
// meanwhile.
TEST_F(ReclaimTest, Peers_ThatMeasuredALongerSpan_DoNotConfirm) {
  EXPECT_FALSE(Confirmed(milliseconds(3300), milliseconds(900), 8, 0));
  EXPECT_FALSE(Confirmed(milliseconds(3300), milliseconds(900), 8, 3));
}

// Guards against grants that stay stranded after a power cut: all VMs lost
// power for 1.7 s or longer, and none of the grants of the dead processes was
// reclaimed. That was 32 % of the budgets.
TEST_F(ReclaimTest, PowerCutOfTwoSeconds_StrandsASmallPart) {
  const ReleaseOptions release;
  const Duration limit = release.release_delay + release.release_duration;
  const VmClocks last = {.since_boot = std::chrono::hours(1),
                         .time_of_day = std::chrono::hours(1000)};
  const VmClocks start = {.since_boot = std::chrono::minutes(2),
                          .time_of_day = last.time_of_day + milliseconds(1800)};

  EXPECT_EQ(MayReclaim(last, start, limit), ReclaimDecision::kAskPeers);
  const std::optional<Duration> silence =
      Silence(milliseconds(1800), milliseconds(1800), 8, 0);
  ASSERT_TRUE(silence);
  EXPECT_LT(ReleasedFraction(release, *silence), 0.1);
}

// The tokens that a successor counts as used must cover those that the former
// process could use at any time without an answered write.
TEST_F(ReclaimTest, ReleasedFraction_GrowsWithTheSilence) {
  const ReleaseOptions release;
  EXPECT_EQ(ReleasedFraction(release, release.release_delay), 0);
  double before = 0;
  for (int ms = 2100; ms <= 6000; ms += 100) {
    const double part = ReleasedFraction(release, milliseconds(ms));
    EXPECT_GT(part, before);
    before = part;
  }
  EXPECT_EQ(ReleasedFraction(release, std::chrono::seconds(6)), 1);
  EXPECT_EQ(ReleasedFraction(release, std::chrono::seconds(60)), 1);
}

// Three of eight other VMs had their clocks set back while the VM was down.
TEST_F(ReclaimTest, SilenceByPeers_WithSteppedClocks_CoversTheSpan) {
  const std::optional<Duration> silence =
      Silence(milliseconds(2200), milliseconds(1700), 8, 3);
  ASSERT_TRUE(silence);
  EXPECT_GE(*silence, milliseconds(2200));
}

// Guards against a silence that is counted from when the store carried out the
// last heartbeat, 1.5 s late: tokens in use were returned to the account.
TEST_F(ReclaimTest, SilenceByPeers_AfterALateHeartbeat_CoversTheSpan) {
  const std::optional<Duration> silence =
      Silence(milliseconds(1500), milliseconds(3000), 8, 0);
  ASSERT_TRUE(silence);
  EXPECT_GE(*silence, milliseconds(3000));
}

TEST_F(ReclaimTest, SilenceByBootClock_OfAQuickRestart_CoversTheSpan) {
  const VmClocks last = {.since_boot = std::chrono::hours(1),
                         .time_of_day = std::chrono::hours(1000)};
  const VmClocks start = {.since_boot = last.since_boot + milliseconds(900),
                          .time_of_day = last.time_of_day + milliseconds(900)};
  EXPECT_GE(SilenceByBootClock(last, start), milliseconds(900));
}

TEST_F(ReclaimTest, TooFewPeers_DoNotConfirm) {
  EXPECT_FALSE(Confirmed(milliseconds(900), milliseconds(900), 2, 0));
}

}  // namespace
}  // namespace fuchsiadrum::budget
