#include "fuchsiadrum/serving/upstream_ramp.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class UpstreamRampTest : public testing::Test {
 protected:
  static constexpr int kSlots = 16;

  void Begin(double chance = 0) { this->ramp.Begin(this->now, kSlots, chance); }
  bool MaySend() { return this->ramp.MaySend(this->now, this->state); }
  void Pass(Duration time) { this->now = this->now + time; }

  UpstreamRamp ramp{UpstreamRampOptions()};
  RampState state;
  TimePoint now{1'000'000'000};
};

// Guards against a burst at an upstream that has just started.
TEST_F(UpstreamRampTest, JustStarted_GetsAFewConcurrentRequests) {
  this->Begin();
  EXPECT_TRUE(this->MaySend());
  this->state.in_flight = 2;
  EXPECT_FALSE(this->MaySend());
}

TEST_F(UpstreamRampTest, WithoutARamp_NothingIsHeldBack) {
  this->state.in_flight = 1000;
  EXPECT_TRUE(this->MaySend());
}

// Guards against a fast upstream that stays nearly unused.
TEST_F(UpstreamRampTest, GoodAnswersOfOneVm_EndItWithinAFewRounds) {
  this->Begin();
  int answers = 0;
  while (this->ramp.IsActive()) {
    this->ramp.OnGood(this->now, this->state);
    ASSERT_LT(++answers, 2 * kSlots);
  }
  EXPECT_GE(answers, 4);
}

TEST_F(UpstreamRampTest, LateAndRefusedAnswers_ShrinkIt) {
  this->Begin();
  for (int i = 0; i < 6; ++i) this->ramp.OnGood(this->now, this->state);
  const double grown = this->ramp.Limit();
  this->Pass(std::chrono::seconds(1));
  this->ramp.OnLate(this->now);
  const double late = this->ramp.Limit();
  EXPECT_LT(late, grown);
  this->Pass(std::chrono::seconds(1));
  this->ramp.OnRefused(this->now);
  EXPECT_LT(this->ramp.Limit(), late * 0.6);
}

// One burst of late answers is one piece of news.
TEST_F(UpstreamRampTest, ABurstOfLateAnswers_ShrinksItOnce) {
  this->Begin();
  for (int i = 0; i < 6; ++i) this->ramp.OnGood(this->now, this->state);
  this->ramp.OnLate(this->now);
  const double limit = this->ramp.Limit();
  for (int i = 0; i < 9; ++i) this->ramp.OnLate(this->now);
  EXPECT_EQ(this->ramp.Limit(), limit);
}

TEST_F(UpstreamRampTest, NothingButBadAnswers_LeaveOneRequest) {
  this->Begin();
  for (int i = 0; i < 50; ++i) {
    this->Pass(std::chrono::milliseconds(500));
    this->ramp.OnRefused(this->now);
  }
  EXPECT_EQ(this->ramp.Limit(), 1);
  EXPECT_TRUE(this->ramp.IsActive());
  EXPECT_TRUE(this->MaySend());
}

// Guards against a hundred VMs that each send a first request at once.
TEST_F(UpstreamRampTest, HundredVms_SendTogetherAboutWhatTheFleetMay) {
  int sent = 0;
  constexpr int kVms = 100;
  this->state.vms = kVms;
  for (int vm = 0; vm < kVms; ++vm) {
    this->Begin(static_cast<double>(vm) / kVms);
    if (this->MaySend()) ++sent;
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 3);
}

// Guards against an upstream that most VMs of a large fleet never try.
TEST_F(UpstreamRampTest, HundredVmsWithoutNews_TryItWithinSeconds) {
  this->state.vms = 100;
  this->Begin(0.99);
  EXPECT_FALSE(this->MaySend());
  Duration waited = Duration::zero();
  while (!this->MaySend()) {
    this->Pass(std::chrono::milliseconds(100));
    waited += std::chrono::milliseconds(100);
    ASSERT_LT(waited, std::chrono::seconds(15));
  }
}

// The requests of other VMs count by the load report.
TEST_F(UpstreamRampTest, ReportedRequestsAboveTheLimit_HoldItBack) {
  this->Begin();
  this->state.reported = 10;
  EXPECT_FALSE(this->MaySend());
  // An answer in time under this load shows that the upstream bears it.
  this->ramp.OnGood(this->now, this->state);
  this->state.reported = 9;
  EXPECT_TRUE(this->MaySend());
}

}  // namespace
}  // namespace fuchsiadrum::serving
