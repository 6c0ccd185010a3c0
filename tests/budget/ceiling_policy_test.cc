#include "fuchsiadrum/budget/ceiling_policy.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::budget {
namespace {

class CeilingPolicyTest : public testing::Test {
 protected:
  /// A pool of a large budget at one of 113 gateways, with a long prompt every
  /// ten seconds.
  static CeilingSituation LargeBudget() {
    return {.expected_rate = 925,
            .own_rate = 925,
            .fleet_rate = 100'000,
            .largest_request = 9250,
            .typical_request = 5200,
            .fleet_size = 113,
            .is_spread = true,
            .limit = Tokens(10'500'000),
            .unspent = Tokens(10'500'000)};
  }

  const CeilingPolicy policy{GrantHolderOptions()};
};

// Guards against a heartbeat before nearly every request: the expected demand
// of 2.4 s was less than one request at most gateways.
TEST_F(CeilingPolicyTest, Headroom_OfASpreadBudget_CoversTheNextRequest) {
  EXPECT_GE(this->policy.Headroom(LargeBudget()), Tokens(9250));
}

// Guards against a crash of all gateways that strands a large part of a budget.
TEST_F(CeilingPolicyTest, MinHeadrooms_OfAllGateways_StayAFifthOfTheUnspent) {
  CeilingSituation pool = LargeBudget();
  pool.expected_rate = 0;
  pool.own_rate = 0;
  for (const int64_t unspent : {10'500'000, 2'000'000, 100'000}) {
    pool.unspent = Tokens(unspent);
    EXPECT_LE(113 * this->policy.Headroom(pool).count, unspent / 5) << unspent;
  }
}

// Guards against a crowd that waits for heartbeats: 140 requests per second
// reach a gateway at which the demand of the last 15 s was low.
TEST_F(CeilingPolicyTest, Headroom_InABurst_CoversASecondOfIt) {
  CeilingSituation pool = LargeBudget();
  pool.burst_rate = 700'000;
  EXPECT_GE(this->policy.Headroom(pool), Tokens(700'000));
}

// Guards against a gateway that holds 220,631 tokens and a ceiling of 0 when it
// loses the store: it refused 700 requests within the first seconds.
TEST_F(CeilingPolicyTest, Headroom_OfALargePool_IsAPartOfIt) {
  CeilingSituation pool = LargeBudget();
  pool.expected_rate = 0;
  pool.unused = Tokens(220'000);
  EXPECT_GE(this->policy.Headroom(pool), Tokens(80'000));
}

TEST_F(CeilingPolicyTest, Headroom_CoversWaitingRequests) {
  CeilingSituation pool = LargeBudget();
  pool.waiting = Tokens(500'000);
  EXPECT_EQ(this->policy.Headroom(pool), Tokens(500'000));
}

}  // namespace
}  // namespace fuchsiadrum::budget
