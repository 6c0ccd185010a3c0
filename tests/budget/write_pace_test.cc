#include "fuchsiadrum/budget/write_pace.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

class WritePaceTest : public testing::Test {
 protected:
  const WritePace pace{8};
};

// Guards against contention that grows with the fleet: at 113 gateways that
// each wrote every 2.4 s, slow gateways lost nearly every race.
TEST_F(WritePaceTest, AllGateways_AtAnySkew_StayBelowTwiceTheRate) {
  for (const size_t vms : {size_t{9}, size_t{113}, size_t{940}}) {
    for (const double heavy : {0.0, 0.3, 0.9}) {
      double writes_per_s = 0;
      for (size_t i = 0; i < vms; ++i) {
        const double fraction =
            i == 0 ? heavy : (1 - heavy) / static_cast<double>(vms - 1);
        writes_per_s += 1.0 / ToSeconds(this->pace.Interval(vms, fraction));
      }
      EXPECT_LE(writes_per_s, 16.01) << vms << " gateways, " << heavy;
    }
  }
}

// Guards against a gateway with most of the callers that is as slow as others.
TEST_F(WritePaceTest, Interval_AtAHeavyGateway_IsShort) {
  EXPECT_LT(this->pace.Interval(113, 0.3), std::chrono::milliseconds(500));
  EXPECT_GT(this->pace.Interval(113, 0.001), std::chrono::seconds(10));
}

// Small fleets keep their refills, which are due every 2.4 s.
TEST_F(WritePaceTest, Interval_InASmallFleet_IsBelowTheTimeBetweenRefills) {
  EXPECT_LT(this->pace.Interval(9, 0), std::chrono::milliseconds(1500));
  EXPECT_EQ(this->pace.Interval(0, 0), Duration::zero());
}

}  // namespace
}  // namespace fuchsiadrum::budget
