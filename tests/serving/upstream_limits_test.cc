#include "fuchsiadrum/serving/upstream_limits.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamLimitsTest : public testing::Test {
 protected:
  /// Names a limit and gives this VM a share of it.
  void NameAndHold(double limit, double share) {
    for (int i = 0; i < 20; ++i) this->limits.OnRequest(this->now, "draft", 0);
    this->limits.OnNamed(this->now, this->upstream, "draft", limit, this->now);
    this->ReadShares(limit, {{"vm-1/1", share}});
    this->Renew();
  }
  void ReadShares(double limit, std::map<std::string, double> shares) {
    SharedLimit record;
    record.upstream = this->upstream;
    record.service = "draft";
    record.requests_per_s = limit;
    record.shares = std::move(shares);
    this->limits.OnRecord(this->now, this->now, record);
  }
  void Renew() {
    this->limits.OnRequest(this->now, "draft", 0);
    const LimitUpdate update = this->limits.PlanUpdate(this->now, this->now);
    this->limits.OnRenewal(this->now, this->now, "vm-1/1", update.renewal);
  }
  /// Number of permits that can be taken in this time.
  int TakeFor(Duration time) {
    int taken = 0;
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      this->now = this->now + milliseconds(10);
      this->limits.OnRequest(this->now, "draft", 0);
      while (this->limits.TakePermit(this->now, this->upstream, 0)) ++taken;
    }
    return taken;
  }

  const UpstreamIncarnation upstream = {.id = "u1", .started_unix_ms = 7};
  UpstreamLimits limits{{.holder = "vm-1/1"}};
  TimePoint now{1'000'000'000};
};

TEST_F(UpstreamLimitsTest, NamedLimit_AllowsNothingWithoutAShare) {
  EXPECT_TRUE(this->limits.HasPermit(this->now, this->upstream));
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.4, this->now);

  EXPECT_FALSE(this->limits.HasPermit(this->now, this->upstream));
  EXPECT_EQ(this->TakeFor(seconds(10)), 0);
}

TEST_F(UpstreamLimitsTest, Share_AllowsItsRate) {
  this->NameAndHold(2.0, 2.0);
  EXPECT_NEAR(this->TakeFor(seconds(10)), 20, 1);
}

TEST_F(UpstreamLimitsTest, LowerLimit_BindsBeforeTheSharesAreWritten) {
  this->NameAndHold(8.0, 8.0);
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.0, this->now);

  EXPECT_NEAR(this->TakeFor(seconds(10)), 10, 2);
}

// An answer that was sent before the limit was lowered must not raise it again.
TEST_F(UpstreamLimitsTest, OlderAnswer_DoesNotRaiseOrWithdrawTheLimit) {
  const TimePoint before = this->now;
  this->now = this->now + seconds(1);
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.0, before);

  EXPECT_FALSE(
      this->limits.OnNamed(this->now, this->upstream, "draft", 5.0, before));
  EXPECT_FALSE(this->limits.OnUnnamed(this->now, this->upstream, before));
  EXPECT_EQ(this->limits.LimitOf(this->upstream), 1.0);
}

TEST_F(UpstreamLimitsTest, LaterAnswerWithoutLimit_WithdrawsIt) {
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.0, this->now);
  const TimePoint sent = this->now + milliseconds(1);

  EXPECT_TRUE(this->limits.OnUnnamed(sent, this->upstream, sent));
  EXPECT_TRUE(this->limits.HasPermit(sent, this->upstream));
}

TEST_F(UpstreamLimitsTest, RestartedUpstream_HasNoLimit) {
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.0, this->now);
  const UpstreamIncarnation restarted = {.id = "u1", .started_unix_ms = 8};

  EXPECT_TRUE(this->limits.HasPermit(this->now, restarted));
  EXPECT_FALSE(this->limits.HasPermit(this->now, this->upstream));
}

// A limit that another VM has read binds a VM that was never told.
TEST_F(UpstreamLimitsTest, RecordOfAnotherVm_BindsThisVm) {
  this->ReadShares(1.4, {{"vm-2/1", 1.4}});
  EXPECT_FALSE(this->limits.HasPermit(this->now, this->upstream));
}

// A deletion that was written before the upstream named its limit again must
// not withdraw it.
TEST_F(UpstreamLimitsTest, DeletedRecord_KeepsALimitThatWasHeardSince) {
  this->ReadShares(1.4, {{"vm-2/1", 1.4}});
  this->limits.OnNamed(this->now, this->upstream, "draft", 1.4, this->now);
  this->limits.OnRecordDeleted(this->now, "u1");
  EXPECT_EQ(this->limits.LimitOf(this->upstream), 1.4);

  this->ReadShares(1.4, {{"vm-2/1", 1.4}});
  this->limits.OnRecordDeleted(this->now, "u1");
  EXPECT_FALSE(this->limits.LimitOf(this->upstream));
}

// A VM that was suspended must not use a share that others have taken over.
TEST_F(UpstreamLimitsTest, Suspension_EndsTheLease) {
  this->NameAndHold(2.0, 2.0);
  this->now = this->now + seconds(2);
  ASSERT_TRUE(this->limits.HasPermit(this->now, this->upstream));
  const TimePoint boot_now = this->now + seconds(30);

  EXPECT_TRUE(this->limits.CheckLease(this->now, boot_now));
  EXPECT_FALSE(this->limits.HasPermit(this->now, this->upstream));
  EXPECT_FALSE(this->limits.IsShareValid(this->upstream));
}

TEST_F(UpstreamLimitsTest, FreedShare_IsNotUsedFromThePlanOn) {
  this->NameAndHold(2.0, 2.0);
  this->limits.Close(this->now);
  const LimitUpdate update = this->limits.PlanUpdate(this->now, this->now);

  ASSERT_EQ(update.changed.size(), 1U);
  EXPECT_TRUE(update.changed[0].shares.empty());
  EXPECT_EQ(this->TakeFor(seconds(5)), 0);
}

TEST_F(UpstreamLimitsTest, ZeroLimit_StillLetsProbesThrough) {
  this->limits.OnNamed(this->now, this->upstream, "draft", 0, this->now);
  this->ReadShares(0, {{"vm-1/1", 0.05}});
  this->Renew();

  this->now = this->now + milliseconds(15900);
  EXPECT_FALSE(this->limits.HasPermit(this->now, this->upstream));
  this->Renew();
  EXPECT_NEAR(this->TakeFor(milliseconds(15000)), 1, 0);
}

// When all upstreams of a service are limited, the most urgent requests get the
// permits although less urgent ones arrive more often.
TEST_F(UpstreamLimitsTest, ScarcePermits_GoToTheMostUrgentRequests) {
  this->NameAndHold(5.0, 5.0);
  std::map<int, int> served;
  // The demand is known after some seconds.
  constexpr int kWarmUp = 1500;
  for (int step = 0; step < kWarmUp + 2000; ++step) {
    this->now = this->now + milliseconds(10);
    if (step % 500 == 0) this->Renew();
    // 4 urgent and 20 other requests a second.
    for (const auto& [priority, every] : {std::pair(0, 25), std::pair(5, 5)}) {
      if (step % every != 0) continue;
      this->limits.OnRequest(this->now, "draft", priority);
      if (!this->limits.MayTakeScarce(this->now, this->upstream, priority)) {
        continue;
      }
      if (this->limits.TakePermit(this->now, this->upstream, priority)) {
        served[priority] += step >= kWarmUp ? 1 : 0;
      }
    }
  }
  EXPECT_GE(served[0], 70);
  EXPECT_GE(served[5], 10);
  EXPECT_LE(served[5], 30);
}

TEST_F(UpstreamLimitsTest, RetryTime_IsWhenAPermitIsExpected) {
  this->limits.OnNamed(this->now, this->upstream, "draft", 2.0, this->now);
  // Another VM holds the shares.
  const auto of_fleet = this->limits.NextForPriority(this->now, "draft", 0);
  ASSERT_TRUE(of_fleet);
  EXPECT_EQ(*of_fleet - this->now, milliseconds(500));

  this->NameAndHold(2.0, 2.0);
  this->TakeFor(seconds(2));
  const auto own = this->limits.NextForPriority(this->now, "draft", 0);
  ASSERT_TRUE(own);
  EXPECT_LE(*own - this->now, milliseconds(501));
  EXPECT_GT(*own - this->now, milliseconds(0));
}

}  // namespace
}  // namespace fuchsiadrum::serving
