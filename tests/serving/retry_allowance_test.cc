#include "fuchsiadrum/serving/retry_allowance.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class RetryAllowanceTest : public testing::Test {
 protected:
  RetryAllowance allowance{{.ratio = 0.2, .slack = 58}};
  TimePoint now{1'000'000'000};
};

// Nine gateways without talk stay within what the fleet may send.
TEST_F(RetryAllowanceTest, Repeats_OfNineGateways_StayWithinTheFleetsBound) {
  constexpr int kGateways = 9;
  constexpr int kRequests = 50;
  for (int i = 0; i < kRequests; ++i) this->allowance.OnRequest(this->now, "s");
  int taken = 0;
  while (this->allowance.Take(this->now, "s")) ++taken;

  EXPECT_GT(taken, 0);
  EXPECT_LE(kGateways * taken, 0.2 * kGateways * kRequests + 58);
}

TEST_F(RetryAllowanceTest, OldRepeats_LeaveTheWindow) {
  while (this->allowance.Take(this->now, "s")) {
  }
  this->now = this->now + std::chrono::seconds(11);

  EXPECT_TRUE(this->allowance.Take(this->now, "s"));
}

}  // namespace
}  // namespace fuchsiadrum::serving
