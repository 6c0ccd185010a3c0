#include "fuchsiadrum/request/admission.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fuchsiadrum::request {
namespace {

class AdmissionTest : public ::testing::Test {
 protected:
  AdmissionTest() : admission({.max_queued = 100}) {}

  AdmissionVerdict Offer(uint64_t handle, pb::WorkClass work_class,
                         const std::string& organisation = "o",
                         int64_t tokens = 10, int64_t deadline_s = 60) {
    return this->admission.Offer(
        this->now, {.handle = handle,
                    .organisation = organisation,
                    .work_class = work_class,
                    .tokens = Tokens(tokens),
                    .deadline = {this->now.us + deadline_s * 1'000'000}});
  }
  std::vector<uint64_t> Starts(int free) {
    return this->admission.TakeStarts(this->now, free);
  }
  void Finish(uint64_t handle, int64_t used = 10) {
    this->admission.OnFinished(this->now, handle, Tokens(used));
  }

  Admission admission;
  TimePoint now;
};

// Guards against draw checks that wait or are shed when other work is three
// times the capacity.
TEST_F(AdmissionTest, Offer_DrawCheckUnderTripleLoad_StartsAtOnce) {
  this->Starts(10);
  for (uint64_t i = 0; i < 300; ++i) {
    this->Offer(i, pb::SUGGESTION, "o" + std::to_string(i % 3));
  }
  for (uint64_t i = 1000; i < 2000; ++i) {
    ASSERT_EQ(this->Offer(i, pb::DRAW_CHECK).answer, AdmissionAnswer::kStart);
  }
}

// Guards against low classes that start before high ones.
TEST_F(AdmissionTest, TakeStarts_MixedClasses_HighestFirst) {
  this->Offer(1, pb::LETTER);
  this->Offer(2, pb::QUICK_QUESTION);
  this->Offer(3, pb::BOOKING);
  EXPECT_EQ(this->Starts(3), (std::vector<uint64_t>{3, 2, 1}));
}

// Guards against a low class that starves behind a busy high one.
TEST_F(AdmissionTest, TakeStarts_OldLetter_IsLiftedByAge) {
  this->Offer(1, pb::LETTER, "o", 10, 600);
  this->now = this->now + std::chrono::seconds(65);
  this->Offer(2, pb::BOOKING);
  EXPECT_EQ(this->Starts(1), std::vector<uint64_t>{1});
}

// Guards against an organisation that takes the capacity with many requests.
TEST_F(AdmissionTest, TakeStarts_BusyOrganisation_SharesByOutstandingWork) {
  for (uint64_t i = 0; i < 50; ++i) this->Offer(i, pb::SUGGESTION, "big");
  for (uint64_t i = 50; i < 60; ++i) this->Offer(i, pb::SUGGESTION, "small");
  const std::vector<uint64_t> started = this->Starts(10);
  const auto small = std::count_if(started.begin(), started.end(),
                                   [](uint64_t h) { return h >= 50; });
  EXPECT_EQ(small, 5);
}

// Guards against fairness by number of requests: one with twice the tokens
// counts twice.
TEST_F(AdmissionTest, TakeStarts_LargeRequests_CountByTokens) {
  for (uint64_t i = 0; i < 20; ++i) this->Offer(i, pb::LETTER, "large", 20);
  for (uint64_t i = 20; i < 40; ++i) this->Offer(i, pb::LETTER, "short", 10);
  const std::vector<uint64_t> started = this->Starts(12);
  const auto large = std::count_if(started.begin(), started.end(),
                                   [](uint64_t h) { return h < 20; });
  EXPECT_EQ(large, 4);
}

// Guards against limits of an organisation that do not hold or never reopen.
TEST_F(AdmissionTest, TakeStarts_ConcurrencyLimit_HoldsUntilFinish) {
  this->admission.SetLimits("o", {.max_concurrent = 2});
  for (uint64_t i = 0; i < 4; ++i) this->Offer(i, pb::LETTER);
  EXPECT_EQ(this->Starts(10).size(), 2U);
  EXPECT_EQ(this->Starts(10).size(), 0U);
  this->Finish(0);
  EXPECT_EQ(this->Starts(10).size(), 1U);
}

// Guards against a rate limit that blocks for ever or lets everything through.
TEST_F(AdmissionTest, TakeStarts_RateLimit_RefillsWithTime) {
  this->admission.SetLimits("o", {.max_tokens_per_second = 100});
  for (uint64_t i = 0; i < 10; ++i) {
    this->Offer(i, pb::LETTER, "o", 100, 600);
  }
  EXPECT_EQ(this->Starts(10).size(), 1U);
  size_t started = 1;
  for (int tick = 0; tick < 50; ++tick) {
    this->now = this->now + std::chrono::milliseconds(100);
    started += this->Starts(10).size();
  }
  // One second of saved allowance and five seconds at the rate.
  EXPECT_EQ(started, 6U);
}

// Guards against a rate that loses the fraction of a token at each tick.
TEST_F(AdmissionTest, TakeStarts_ShortTicks_KeepTheRate) {
  this->admission.SetLimits("o", {.max_tokens_per_second = 30});
  for (uint64_t i = 0; i < 60; ++i) this->Offer(i, pb::LETTER, "o", 10, 600);
  size_t started = 0;
  for (int tick = 0; tick < 1000; ++tick) {
    this->now = this->now + std::chrono::milliseconds(10);
    started += this->Starts(60).size();
  }
  // Three of the saved second, then 30 in ten seconds, and one on credit.
  EXPECT_GE(started, 33U);
  EXPECT_LE(started, 34U);
}

// Guards against a full queue that sheds important work, and against a shed
// request that is told nothing.
TEST_F(AdmissionTest, Offer_QueueFull_ShedsLowestClassFirst) {
  for (uint64_t i = 0; i < 100; ++i) this->Offer(i, pb::LETTER);
  EXPECT_EQ(this->Offer(200, pb::LETTER).answer, AdmissionAnswer::kShed);
  EXPECT_EQ(this->Offer(201, pb::BOOKING).answer, AdmissionAnswer::kQueued);
  const std::vector<ShedItem> shed = this->admission.TakeShed(this->now);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].handle, 99U);
  EXPECT_GE(shed[0].retry_after, std::chrono::seconds(1));
  EXPECT_EQ(this->admission.Queued(), 100U);
}

// Guards against a request that is held although its deadline has passed.
TEST_F(AdmissionTest, TakeShed_DeadlinePassed_IsGivenUpAtOnce) {
  this->Offer(1, pb::LETTER, "o", 10, 2);
  EXPECT_TRUE(this->admission.TakeShed(this->now).empty());
  this->now = this->now + std::chrono::seconds(2);
  ASSERT_EQ(this->admission.TakeShed(this->now).size(), 1U);
  EXPECT_TRUE(this->Starts(1).empty());
}

// Guards against requests that are queued though they cannot start in time,
// and against a Retry-After that does not depend on the queue.
TEST_F(AdmissionTest, Offer_ExpectedWaitTooLong_IsShedWithRetryAfter) {
  for (uint64_t i = 0; i < 60; ++i) this->Offer(i, pb::LETTER, "o", 10, 600);
  // Two requests finish in a second; the rest needs half a minute.
  for (uint64_t i = 0; i < 20; ++i) {
    this->Starts(1);
    this->now = this->now + std::chrono::milliseconds(500);
    this->Finish(i);
  }
  const AdmissionVerdict verdict = this->Offer(100, pb::LETTER, "o", 10, 5);
  EXPECT_EQ(verdict.answer, AdmissionAnswer::kShed);
  EXPECT_GE(verdict.retry_after, std::chrono::seconds(15));
  EXPECT_LE(verdict.retry_after, std::chrono::seconds(40));
  EXPECT_EQ(this->Offer(101, pb::BOOKING, "o", 10, 5).answer,
            AdmissionAnswer::kQueued);
}

// Guards against a caller that has gone and still takes a place.
TEST_F(AdmissionTest, Abandon_Waiting_FreesThePlace) {
  this->Offer(1, pb::LETTER);
  EXPECT_TRUE(this->admission.Abandon(1));
  EXPECT_FALSE(this->admission.Abandon(1));
  EXPECT_TRUE(this->Starts(1).empty());
}

}  // namespace
}  // namespace fuchsiadrum::request
