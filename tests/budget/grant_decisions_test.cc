#include <gtest/gtest.h>

#include "fuchsiadrum/budget/grant_holder.h"
#include "tests/budget/grant_fleet.h"

namespace fuchsiadrum::budget {
namespace {

class GrantDecisionsTest : public testing::Test {
 protected:
  TimePoint now{1'000'000'000};

  void Pass(Duration time) { this->now = this->now + time; }
};

// Guards against one write for each waiting request: with 20 of them, each
// write covered only the largest.
TEST_F(GrantDecisionsTest, WaitingRequests_AreCoveredByOneWrite) {
  GrantFleet fleet(1);
  fleet.SetLimit(Tokens(1'000'000));
  GrantFleet::Gateway& gateway = *fleet.gateways[0];
  for (int i = 0; i < 20; ++i) {
    gateway.holder->Reserve(this->now, kOrganisation, Tokens(9000));
    gateway.holder->AddWaiting(kOrganisation, Tokens(9000));
  }
  fleet.Write(gateway, this->now);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(gateway.holder->Reserve(this->now, kOrganisation, Tokens(9000)),
              ReserveOutcome::kReserved);
    gateway.holder->RemoveWaiting(kOrganisation, Tokens(9000));
  }
}

// Guards against a large request that keeps the last tokens from small ones.
TEST_F(GrantDecisionsTest, LastTokens_TooFewForALargeRequest_ServeSmallOnes) {
  GrantFleet fleet(2);
  fleet.SetLimit(Tokens(10'000));
  GrantFleet::Gateway& other = *fleet.gateways[0];
  other.holder->Reserve(this->now, kOrganisation, Tokens(7000));
  fleet.Write(other, this->now);
  GrantFleet::Gateway& gateway = *fleet.gateways[1];
  gateway.holder->AddWaiting(kOrganisation, Tokens(9000));
  gateway.holder->AddWaiting(kOrganisation, Tokens(1000));
  fleet.Write(gateway, this->now);
  EXPECT_EQ(gateway.holder->Reserve(this->now, kOrganisation, Tokens(1000)),
            ReserveOutcome::kReserved);
}

// Guards against tokens that lie in zones without callers: the callers of an
// organisation move between the gateways of one zone.
TEST_F(GrantDecisionsTest, DemandOfAZone_FillsThePoolsOfItsGateways) {
  constexpr size_t kGateways = 40;
  GrantFleet fleet(static_cast<int>(kGateways));
  fleet.SetLimit(Tokens(10'000'000));
  for (size_t i = 0; i < kGateways; ++i) {
    fleet.gateways[i]->holder->SetFleetSize(kGateways);
    fleet.gateways[i]->holder->SetZone(i % 4 == 0 ? "a" : "b",
                                       i % 4 == 0 ? 10 : 30);
  }
  for (int i = 0; i < 300; ++i) {
    this->Pass(std::chrono::milliseconds(100));
    fleet.SpendOrFetch(*fleet.gateways[0], this->now, Tokens(5000));
    for (const auto& gateway : fleet.gateways) {
      fleet.WriteIfDue(*gateway, this->now);
      if (i % 5 == 0) fleet.WriteHeartbeat(*gateway, this->now);
    }
  }
  const Tokens same_zone = fleet.gateways[4]->recorded.granted;
  const Tokens other_zone = fleet.gateways[5]->recorded.granted;
  EXPECT_GT(same_zone.count, 2 * other_zone.count);
  EXPECT_GE(same_zone, Tokens(50'000));
}

// A call returns what a holder does not need, and only that.
TEST_F(GrantDecisionsTest, Call_ToAnIdleHolder_ReturnsItsTokens) {
  GrantFleet fleet(2);
  fleet.SetLimit(Tokens(100'000));
  GrantFleet::Gateway& idle = *fleet.gateways[0];
  idle.holder->OnRequest(this->now, kOrganisation, Tokens(5000));
  idle.holder->AddWaiting(kOrganisation, Tokens(95'000));
  fleet.Write(idle, this->now);
  idle.holder->RemoveWaiting(kOrganisation, Tokens(95'000));
  ASSERT_EQ(idle.holder->Reserve(this->now, kOrganisation, Tokens(5000)),
            ReserveOutcome::kReserved);
  ASSERT_GE(fleet.account.granted, Tokens(95'000));
  this->Pass(std::chrono::milliseconds(200));

  GrantFleet::Gateway& short_of = *fleet.gateways[1];
  short_of.holder->OnRequest(this->now, kOrganisation, Tokens(20'000));
  short_of.holder->AddWaiting(kOrganisation, Tokens(20'000));
  fleet.Write(short_of, this->now);
  const Tokens called = short_of.holder->PlanCall(this->now, kOrganisation);
  EXPECT_GE(called, Tokens(20'000));
  EXPECT_EQ(short_of.holder->PlanCall(this->now, kOrganisation), Tokens(0));

  idle.holder->OnCall(this->now, kOrganisation, called, 0.0);
  EXPECT_TRUE(idle.holder->IsDue(this->now, kOrganisation));
  fleet.Write(idle, this->now);
  EXPECT_LE(fleet.account.granted, Tokens(80'000));
  EXPECT_GE(idle.recorded.granted, Tokens(5000));
}

}  // namespace
}  // namespace fuchsiadrum::budget
