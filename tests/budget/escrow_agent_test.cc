#include "fuchsiadrum/budget/escrow_agent.h"

#include <gtest/gtest.h>

#include "tests/budget/test_fleet.h"

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EscrowAgentTest : public ::testing::Test {
 protected:
  TestFleet fleet;
  TestDaemon& holder = this->fleet[0];
};

// Guards against a reservation that is not billed, or not from the budget.
TEST_F(EscrowAgentTest, Settle_AfterGrant_IsBilled) {
  fleet.TopUp(10'000);
  const ReserveResult result = fleet.ReserveAndWait(holder, 500);
  ASSERT_EQ(result.status, ReserveStatus::kReserved);
  EXPECT_EQ(result.amount, Tokens(500));

  holder.agent->Settle(fleet.now, result.id, Tokens(300));
  holder.agent->Confirm(fleet.now, result.id, true);
  fleet.Run(seconds(20));
  EXPECT_EQ(fleet.AccountAt(fleet[3]).billed, Tokens(300));
  EXPECT_TRUE(fleet[3].ledger.Verify());
}

// Guards against a new daemon that refuses because it holds nothing yet.
TEST_F(EscrowAgentTest, Reserve_WithoutTopUp_IsRefused) {
  const ReserveResult result = fleet.Reserve(holder, 10);
  EXPECT_EQ(result.status, ReserveStatus::kRefused);
  EXPECT_EQ(result.reason, RefusalReason::kNoBudget);
}

// Guards against spend above what both witnesses acknowledged.
TEST_F(EscrowAgentTest, Reserve_AboveCeiling_Waits) {
  fleet.TopUp(1'000'000);
  fleet.Spend(holder, 100);
  fleet.paused["z1b"] = true;
  HeldGrant& grant = *holder.FirstGrant();
  const Tokens limit = grant.Limit();
  ASSERT_LT(limit, grant.amount);

  const Tokens room = grant.Room();
  EXPECT_EQ(fleet.Reserve(holder, room.count).status, ReserveStatus::kReserved);
  EXPECT_EQ(fleet.Reserve(holder, 1).status, ReserveStatus::kWaiting);
  EXPECT_LE(grant.Used(), limit);
}

// Guards against a planned stop that leaves tokens behind.
TEST_F(EscrowAgentTest, BeginDrain_WithSpend_StrandsNothing) {
  fleet.TopUp(10'000);
  fleet.Spend(holder, 700);
  holder.agent->BeginDrain(fleet.now, holder.out);
  fleet.Run(seconds(6));

  EXPECT_TRUE(holder.agent->IsDrained());
  EXPECT_EQ(fleet.AccountAt(fleet[2]).open, Tokens(0));
  EXPECT_EQ(fleet.AccountAt(fleet[2]).available, Tokens(9'300));
}

}  // namespace
}  // namespace fuchsiadrum::budget
