#include "fuchsiadrum/serving/zone_evacuations.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class ZoneEvacuationsTest : public testing::Test {
 protected:
  ZoneEvacuations evacuations{ZoneEvacuationsOptions()};
  TimePoint now{1'000'000'000};
};

// EVAC: a repeated record is taken for a second evacuation, which lasts when
// the first one is lifted.
TEST_F(ZoneEvacuationsTest, RepeatedRecord_IsOneEvacuation) {
  EXPECT_TRUE(this->evacuations.Begin(this->now, "a"));
  EXPECT_FALSE(this->evacuations.Begin(this->now, "a"));
  EXPECT_EQ(this->evacuations.Size(), 1U);
  EXPECT_TRUE(this->evacuations.IsEvacuated("a"));
  EXPECT_FALSE(this->evacuations.IsEvacuated("b"));

  EXPECT_TRUE(this->evacuations.Lift("a"));
  EXPECT_FALSE(this->evacuations.Lift("a"));
  EXPECT_FALSE(this->evacuations.IsEvacuated("a"));
}

// Callers come back too often during a long evacuation, or too late after a
// short one.
TEST_F(ZoneEvacuationsTest, RetryAfter_GrowsWithTheAgeOfTheEvacuation) {
  const ZoneEvacuationsOptions options;
  EXPECT_EQ(this->evacuations.RetryAfter(this->now, "a"), Duration::zero());
  this->evacuations.Begin(this->now, "a");
  EXPECT_EQ(this->evacuations.RetryAfter(this->now, "a"), options.min_retry);

  this->now = this->now + std::chrono::seconds(4);
  this->evacuations.Begin(this->now, "a");
  EXPECT_EQ(this->evacuations.RetryAfter(this->now, "a"),
            std::chrono::seconds(4));
  this->now = this->now + std::chrono::hours(4);
  EXPECT_EQ(this->evacuations.RetryAfter(this->now, "a"), options.max_retry);
}

}  // namespace
}  // namespace fuchsiadrum::serving
