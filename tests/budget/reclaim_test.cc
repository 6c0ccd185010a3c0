#include "fuchsiadrum/budget/reclaim.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;

class ReclaimTest : public testing::Test {
 protected:
  static constexpr Duration kCutOff = std::chrono::seconds(2);

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
    return PeersConfirm(span, signs);
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

TEST_F(ReclaimTest, TooFewPeers_DoNotConfirm) {
  EXPECT_FALSE(Confirmed(milliseconds(900), milliseconds(900), 2, 0));
}

}  // namespace
}  // namespace fuchsiadrum::budget
