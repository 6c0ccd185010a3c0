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
  static constexpr Duration kCutOff = std::chrono::seconds(2);
  static constexpr Duration kSignInterval = milliseconds(500);

  static ReclaimVerdict After(Duration by_boot, Duration by_day) {
    const VmClocks last = {.since_boot = std::chrono::hours(1),
                           .time_of_day = std::chrono::hours(1000)};
    return MayReclaim(last,
                      {.since_boot = last.since_boot + by_boot,
                       .time_of_day = last.time_of_day + by_day},
                      kCutOff);
  }

  /// Signs of a fleet in which this VM was away for `away`; every VM writes
  /// each half second. `stepped`: VMs whose time of day moved back meanwhile.
  static bool Confirmed(Duration away, Duration own_span, int peers,
                        int stepped) {
    return Silence(away, own_span, peers, stepped).has_value();
  }

  /// What the signs of that fleet say of the silence; nullopt: not confirmed.
  static std::optional<Duration> Silence(Duration away, Duration own_span,
                                         int peers, int stepped) {
    std::vector<FleetSign> signs;
    signs.reserve(2 * static_cast<size_t>(peers));
    uint64_t offset = 0;
    const Duration day = std::chrono::hours(1000);
    for (int i = 0; i < peers; ++i) {
      signs.push_back({.vm = "p" + std::to_string(i),
                       .offset = offset++,
                       .time_of_day = day - milliseconds(250)});
    }
    ReclaimSpan span = {.vm = "own"};
    span.last = {.vm = "own", .offset = offset++, .time_of_day = day};
    span.first = {
        .vm = "own", .offset = offset++, .time_of_day = day + own_span};
    for (int i = 0; i < peers; ++i) {
      const Duration step = i < stepped ? away - own_span : Duration::zero();
      signs.push_back({.vm = "p" + std::to_string(i),
                       .offset = offset++,
                       .time_of_day = day + away + milliseconds(250) - step});
    }
    if (!PeersConfirm(span, signs, kSignInterval)) return std::nullopt;
    return SilenceByPeers(span, signs);
  }
};

TEST_F(ReclaimTest, QuickRestart_OnBothClocks_MayReclaim) {
  EXPECT_EQ(After(milliseconds(900), milliseconds(905)), ReclaimVerdict::kYes);
}

// The former process may have gone beyond its ceilings.
TEST_F(ReclaimTest, LateRestart_MayNot) {
  EXPECT_EQ(After(milliseconds(2100), milliseconds(2100)), ReclaimVerdict::kNo);
  EXPECT_EQ(After(milliseconds(1950), milliseconds(1950)), ReclaimVerdict::kNo);
}

TEST_F(ReclaimTest, Boot_AsksPeers) {
  EXPECT_EQ(After(-std::chrono::minutes(50), milliseconds(900)),
            ReclaimVerdict::kAskPeers);
  EXPECT_EQ(After(-std::chrono::minutes(50), milliseconds(1700)),
            ReclaimVerdict::kNo);
}

TEST_F(ReclaimTest, TimeOfDayBeforeTheLastWrite_MayNot) {
  EXPECT_EQ(After(milliseconds(900), -milliseconds(1500)), ReclaimVerdict::kNo);
}

TEST_F(ReclaimTest, Peers_ThatMeasuredTheSameSpan_Confirm) {
  EXPECT_TRUE(Confirmed(milliseconds(900), milliseconds(900), 8, 0));
}

// The VM's time of day stepped back by 2.4 s while it was away for 3.3 s.
TEST_F(ReclaimTest, Peers_ThatMeasuredALongerSpan_DoNotConfirm) {
  EXPECT_FALSE(Confirmed(milliseconds(3300), milliseconds(900), 8, 0));
  EXPECT_FALSE(Confirmed(milliseconds(3300), milliseconds(900), 8, 3));
}

// zreb-fleet, hunted day c6a4-3 (RECOVER): all VMs were without power for 1.7 s
// and more, and no grant of a dead process came back: 32 % of the budgets.
TEST_F(ReclaimTest, PowerCutOfTwoSeconds_StrandsASmallPart) {
  const ReleaseOptions release;
  const Duration limit = release.cut_off_after + release.release_time;
  const VmClocks last = {.since_boot = std::chrono::hours(1),
                         .time_of_day = std::chrono::hours(1000)};
  const VmClocks start = {.since_boot = std::chrono::minutes(2),
                          .time_of_day = last.time_of_day + milliseconds(1800)};

  EXPECT_EQ(MayReclaim(last, start, limit), ReclaimVerdict::kAskPeers);
  const std::optional<Duration> silence =
      Silence(milliseconds(1800), milliseconds(1800), 8, 0);
  ASSERT_TRUE(silence);
  EXPECT_LT(ReleasedPart(release, *silence), 0.1);
}

// What a successor takes as used covers what the former process could use at
// any time of its silence.
TEST_F(ReclaimTest, ReleasedPart_GrowsWithTheSilence) {
  const ReleaseOptions release;
  EXPECT_EQ(ReleasedPart(release, release.cut_off_after), 0);
  double before = 0;
  for (int ms = 2100; ms <= 6000; ms += 100) {
    const double part = ReleasedPart(release, milliseconds(ms));
    EXPECT_GT(part, before);
    before = part;
  }
  EXPECT_EQ(ReleasedPart(release, std::chrono::seconds(6)), 1);
  EXPECT_EQ(ReleasedPart(release, std::chrono::seconds(60)), 1);
}

// A third of the fleet's clocks was set back while the VM was away.
TEST_F(ReclaimTest, SilenceByPeers_WithSteppedClocks_CoversTheSpan) {
  const std::optional<Duration> silence =
      Silence(milliseconds(2200), milliseconds(1700), 8, 3);
  ASSERT_TRUE(silence);
  EXPECT_GE(*silence, milliseconds(2200));
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
