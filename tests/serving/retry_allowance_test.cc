#include "fuchsiadrum/serving/retry_allowance.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class RetryAllowanceTest : public testing::Test {
 protected:
  RetryAllowance allowance{{.ratio = 0.2, .slack = 58}};
  TimePoint now{1'000'000'000};
};

// Gateways that do not communicate stay within the allowance of the fleet,
// whatever their number. When each had a fixed tenth of the slack, 59 gateways
// exceeded it.
class RetryAllowanceFleetTest : public RetryAllowanceTest,
                                public testing::WithParamInterface<int> {};

TEST_P(RetryAllowanceFleetTest, Retries_OfAllGateways_StayWithinTheBound) {
  const int gateways = GetParam();
  constexpr int kRequests = 50;
  this->allowance.SetFleetSize(static_cast<size_t>(gateways));
  for (int i = 0; i < kRequests; ++i) this->allowance.OnRequest(this->now, "s");
  int taken = 0;
  while (this->allowance.Take(this->now, "s")) ++taken;

  EXPECT_GT(taken, 0);
  EXPECT_LE(gateways * taken, 0.2 * gateways * kRequests + 58);
}

INSTANTIATE_TEST_SUITE_P(Sizes, RetryAllowanceFleetTest,
                         testing::Values(9, 59, 300));

TEST_F(RetryAllowanceTest, OldRetries_LeaveTheWindow) {
  this->allowance.SetFleetSize(9);
  while (this->allowance.Take(this->now, "s")) {
  }
  this->now = this->now + std::chrono::seconds(11);

  EXPECT_TRUE(this->allowance.Take(this->now, "s"));
}

// Guards against confirmations that leave no retry for a failure.
TEST_F(RetryAllowanceTest, Confirmations_LeaveHalfForFailures) {
  this->allowance.SetFleetSize(1);
  int confirmations = 0;
  while (this->allowance.Take(this->now, "s", RetryPurpose::kConfirmation)) {
    ++confirmations;
  }
  int failures = 0;
  while (this->allowance.Take(this->now, "s")) ++failures;

  EXPECT_GT(confirmations, 0);
  EXPECT_GE(failures, confirmations);
}

}  // namespace
}  // namespace fuchsiadrum::serving
