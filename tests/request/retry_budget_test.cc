#include "fuchsiadrum/request/retry_budget.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::request {
namespace {

class RetryBudgetTest : public ::testing::Test {
 protected:
  RetryBudgetTest() : budget({}, Rng(1)) {
    this->question = {.idempotent = true,
                      .deadline = {10'000'000},
                      .work_class = pb::LETTER,
                      .failed_upstream = "u1",
                      .next_upstream = "u2"};
  }
  void Earn(int attempts, const std::string& upstream = "u2") {
    for (int i = 0; i < attempts; ++i) {
      this->budget.OnFirstAttempt(pb::LETTER, upstream);
    }
  }
  RetryVerdict Verdict() {
    return this->budget.Decide({0}, this->question).verdict;
  }

  RetryBudget budget;
  RetryQuestion question;
};

// Guards against retries that overload the upstreams that still work.
TEST_F(RetryBudgetTest, Decide_ManyFailures_AllowsTenPercent) {
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    this->Earn(1);
    if (this->Verdict() == RetryVerdict::kRetry) ++retries;
  }
  EXPECT_EQ(retries, 100);
}

// Guards against a quiet hour that saves up a burst of retries.
TEST_F(RetryBudgetTest, Decide_AfterManyAttempts_BurstIsBounded) {
  this->Earn(100'000);
  int retries = 0;
  while (this->Verdict() == RetryVerdict::kRetry) ++retries;
  EXPECT_EQ(retries, 10);
}

// Guards against one class or upstream that uses the budget of another.
TEST_F(RetryBudgetTest, Decide_OtherClassOrUpstream_HasOwnBudget) {
  this->Earn(10, "u3");
  this->budget.OnFirstAttempt(pb::SUGGESTION, "u2");
  EXPECT_EQ(this->Verdict(), RetryVerdict::kBudget);
}

// Guards against a second run of a call that must run once, a second start of
// a stream that the caller sees, and a retry that nobody waits for.
TEST_F(RetryBudgetTest, Decide_NotAllowed_NamesTheReason) {
  this->Earn(1000);
  RetryQuestion good = this->question;
  this->question.idempotent = false;
  EXPECT_EQ(this->Verdict(), RetryVerdict::kNotIdempotent);
  this->question = good;
  this->question.delivered = true;
  EXPECT_EQ(this->Verdict(), RetryVerdict::kDelivered);
  this->question = good;
  this->question.deadline = {5'000};
  EXPECT_EQ(this->Verdict(), RetryVerdict::kDeadline);
  this->question = good;
  this->question.next_upstream = "u1";
  EXPECT_EQ(this->Verdict(), RetryVerdict::kNoOtherUpstream);
  this->question = good;
  this->question.retries = 3;
  EXPECT_EQ(this->Verdict(), RetryVerdict::kTooManyAttempts);
}

// Guards against resumed streams that escape the budget.
TEST_F(RetryBudgetTest, Decide_Resume_TakesFromBudget) {
  this->question.delivered = true;
  this->question.can_resume = true;
  this->question.next_upstream = "u1";
  EXPECT_EQ(this->Verdict(), RetryVerdict::kBudget);
  this->Earn(10, "u1");
  EXPECT_EQ(this->Verdict(), RetryVerdict::kRetry);
  EXPECT_EQ(this->Verdict(), RetryVerdict::kBudget);
}

// Guards against retries in lockstep.
TEST_F(RetryBudgetTest, Decide_Backoff_IsJitteredAndDoubles) {
  this->Earn(1000);
  const Duration first = this->budget.Decide({0}, this->question).backoff;
  const Duration other = this->budget.Decide({0}, this->question).backoff;
  this->question.retries = 2;
  const Duration third = this->budget.Decide({0}, this->question).backoff;
  EXPECT_NE(first, other);
  EXPECT_GE(first, std::chrono::milliseconds(10));
  EXPECT_LE(first, std::chrono::milliseconds(20));
  EXPECT_GE(third, std::chrono::milliseconds(40));
}

}  // namespace
}  // namespace fuchsiadrum::request
