#include "fuchsiadrum/budget/return_policy.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {
namespace {

class ReturnPolicyTest : public testing::Test {
 protected:
  /// A gateway with unused tokens and little demand, of an account that is all
  /// granted.
  static ReturnSituation IdleHolder() {
    return {.unused = Tokens(60'000),
            .expected_rate = 100,
            .largest_request = 0,
            .typical_request = 5200,
            .held_elsewhere = Tokens(5'000'000),
            .fleet_size = 113};
  }

  const ReturnPolicy policy{GrantHolderOptions()};
};

// Guards against tokens that stay at gateways without callers while others are
// refused: 45 % of a budget was never spent.
TEST_F(ReturnPolicyTest, Kept_WithLittleDemand_IsFiveSecondsOfIt) {
  EXPECT_EQ(this->policy.Kept(IdleHolder()), Tokens(500));
}

// A gateway must not give away what its own callers wait for.
TEST_F(ReturnPolicyTest, Kept_CoversWaitingRequestsAndTheNextOne) {
  ReturnSituation pool = IdleHolder();
  pool.need = Tokens(30'000);
  EXPECT_EQ(this->policy.Kept(pool), Tokens(30'000));
  pool.need = Tokens(0);
  pool.expected_rate = 1000;
  pool.largest_request = 9250;
  EXPECT_EQ(this->policy.Kept(pool), Tokens(14'250));
}

// Guards against a hundred conditional appends at once, which make each other
// fail: a call for 20,000 tokens is answered by a few gateways.
TEST_F(ReturnPolicyTest, Answers_ToASmallCall_ComeFromAFewGateways) {
  Rng rng(3);
  int answers = 0;
  for (int i = 0; i < 11300; ++i) {
    answers += this->policy.Answers(IdleHolder(), Tokens(20'000), rng.Unit());
  }
  EXPECT_GT(answers, 300);
  EXPECT_LT(answers, 500);
}

TEST_F(ReturnPolicyTest, Answers_WithoutASurplus_AreNone) {
  ReturnSituation pool = IdleHolder();
  pool.unused = Tokens(5000);
  EXPECT_FALSE(this->policy.Answers(pool, Tokens(1'000'000), 0));
}

// Guards against calls that nobody can answer.
TEST_F(ReturnPolicyTest, Shortage_OfAUsedUpBudget_IsNotCalled) {
  ReturnSituation pool = IdleHolder();
  pool.unused = Tokens(0);
  pool.need = Tokens(9250);
  EXPECT_GE(this->policy.Shortage(pool), Tokens(9250));
  pool.held_elsewhere = Tokens(3000);
  EXPECT_EQ(this->policy.Shortage(pool), Tokens(0));
}

// Guards against a call only when the pool is empty already: the answers take
// longer than a request waits.
TEST_F(ReturnPolicyTest, Shortage_OfTheNextSeconds_IsCalledAhead) {
  ReturnSituation pool = IdleHolder();
  pool.unused = Tokens(10'000);
  pool.expected_rate = 20'000;
  EXPECT_GT(this->policy.Shortage(pool), Tokens(0));
  pool.ungranted = Tokens(1'000'000);
  EXPECT_EQ(this->policy.Shortage(pool), Tokens(0));
}

}  // namespace
}  // namespace fuchsiadrum::budget
