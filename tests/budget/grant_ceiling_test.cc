#include <gtest/gtest.h>

#include "tests/budget/grant_fleet.h"

namespace fuchsiadrum::budget {
namespace {

class GrantCeilingTest : public testing::Test {
 protected:
  static constexpr int kVms = 60;

  /// Passes 5 s with heartbeats and the writes that are due, without requests.
  void PassFiveSeconds() {
    for (int i = 0; i < 50; ++i) {
      this->now.us += 100'000;
      for (const auto& gateway : this->fleet.gateways) {
        this->fleet.WriteIfDue(*gateway, this->now);
        if (i % 5 == 0) this->fleet.WriteHeartbeat(*gateway, this->now);
      }
    }
  }

  TimePoint now{1'000'000};
  GrantFleet fleet{kVms};
};

// Guards against ceilings that leave less than a request: one request in 5 s at
// one VM of a large fleet is less than its size in the time between
// heartbeats, so that each had to wait for a heartbeat with a higher ceiling.
TEST_F(GrantCeilingTest, SparseRequests_InALargeFleet_NeedNoHeartbeat) {
  const Tokens request(9'000);
  this->fleet.SetLimit(Tokens(30'000'000));
  for (const auto& gateway : this->fleet.gateways) {
    gateway->holder->SetFleetSize(kVms);
  }
  GrantFleet::Gateway& busy = *this->fleet.gateways[0];
  this->PassFiveSeconds();
  this->fleet.SpendOrFetch(busy, this->now, request);

  for (int i = 0; i < 4; ++i) {
    this->PassFiveSeconds();
    EXPECT_TRUE(this->fleet.Spend(busy, this->now, request)) << i;
  }
}

}  // namespace
}  // namespace fuchsiadrum::budget
