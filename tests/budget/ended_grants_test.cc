#include "fuchsiadrum/budget/ended_grants.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;

class EndedGrantsTest : public testing::Test {
 protected:
  static constexpr char kChoir[] = "choir";
  static constexpr char kEnded[] = "vm-1/7";
  static constexpr Duration kSilence = milliseconds(3600);

  EndedGrantsTest() {
    this->grants.Add({.organisation = kChoir,
                      .holder = kEnded,
                      .heartbeat_ceiling = Tokens(1500),
                      .silence = kSilence});
  }
  static RecordedGrant Granted(int64_t granted, int64_t ceiling) {
    return {.granted = Tokens(granted), .ceiling = Tokens(ceiling)};
  }
  static EndedGrants::Find Always(std::optional<RecordedGrant> stored) {
    return [stored](const auto&, const auto&) { return stored; };
  }

  EndedGrants grants{ReleaseOptions()};
};

// Guards against a fraction that each successor takes of what the one before
// had left.
TEST_F(EndedGrantsTest, SettledGrant_SettledAgain_StaysAsItIs) {
  const ReleaseOptions release;
  const RecordedGrant once = SettledGrant(release, Granted(3149169, 1500000),
                                          Tokens(1558227), kSilence);
  EXPECT_LT(once.granted, Tokens(3149169));
  EXPECT_GE(once.granted,
            ReleasedTotal(release, Tokens(1558227), Tokens(3149169), kSilence));
  for (const auto silence : {milliseconds(0), milliseconds(3600),
                             milliseconds(4800), milliseconds(60000)}) {
    const RecordedGrant again =
        SettledGrant(release, once, Tokens(1558227), silence);
    EXPECT_EQ(again.granted, once.granted);
    EXPECT_EQ(again.ceiling, once.granted);
  }
}

TEST_F(EndedGrantsTest, Plan_OnKnownGrants_ReturnsTheUnused) {
  EXPECT_TRUE(this->grants.HasUnsettled());
  EXPECT_TRUE(this->grants.Plan().empty());
  this->grants.OnRead(10, Always(Granted(5000, 1000)));
  const auto planned = this->grants.Plan();
  ASSERT_EQ(planned.size(), 1U);
  EXPECT_EQ(planned[0].before.granted, Tokens(5000));
  EXPECT_EQ(planned[0].after.granted, Tokens(2901));
  this->grants.OnWritten(10, 12, planned);
  EXPECT_FALSE(this->grants.HasUnsettled());
  EXPECT_TRUE(this->grants.IsKnownAt(12));
}

// Guards against a second return of what an earlier successor has returned by a
// write that is carried out after this one has read the grant.
TEST_F(EndedGrantsTest, EarlierSettlementThatComesLate_ChangesNothing) {
  this->grants.OnRead(10, Always(Granted(5000, 1000)));
  this->grants.OnReadTail(10, 12, Always(Granted(2700, 2700)));
  EXPECT_TRUE(this->grants.Plan().empty());
  EXPECT_FALSE(this->grants.HasUnsettled());
}

// Guards against a settlement that is planned on a grant read at another end.
TEST_F(EndedGrantsTest, TailWithAGap_LeavesTheGrantsUnknown) {
  this->grants.OnRead(10, Always(Granted(5000, 1000)));
  this->grants.OnReadTail(14, 16, Always(std::nullopt));
  EXPECT_FALSE(this->grants.IsKnownAt(16));
  EXPECT_TRUE(this->grants.HasUnsettled());
}

// Guards against tokens that stay counted once a restored store has lost their
// return, and against a total below what the holder may have used.
TEST_F(EndedGrantsTest, RestoredStore_GetsTheSameTotalAgain) {
  this->grants.OnRead(10, Always(Granted(5000, 1000)));
  this->grants.OnWritten(10, 12, this->grants.Plan());
  for (const int64_t stored : {5000, 2000}) {
    this->grants.OnNewEra();
    EXPECT_TRUE(this->grants.HasUnsettled());
    this->grants.OnRead(10, Always(Granted(stored, 1000)));
    const auto planned = this->grants.Plan();
    ASSERT_EQ(planned.size(), 1U);
    EXPECT_EQ(planned[0].after.granted, Tokens(2901));
    this->grants.OnWritten(10, 12, planned);
    EXPECT_FALSE(this->grants.HasUnsettled());
  }
}

// Guards against a settlement by a record that may lack later grants.
TEST_F(EndedGrantsTest, RestoreBeforeTheFirstRead_KeepsAllCounted) {
  this->grants.OnNewEra();
  EXPECT_FALSE(this->grants.HasUnsettled());
}

}  // namespace
}  // namespace fuchsiadrum::budget
