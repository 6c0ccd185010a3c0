#include "fuchsiadrum/core/byte_budget.h"

#include <gtest/gtest.h>

namespace fuchsiadrum {
namespace {

class ByteBudgetTest : public testing::Test {
 protected:
  ByteBudget budget{100};
};

TEST_F(ByteBudgetTest, Holds_AreBoundedTogether) {
  ByteHold first(this->budget);
  ByteHold second(this->budget);
  EXPECT_TRUE(first.Resize(60));
  EXPECT_FALSE(second.Resize(41));
  EXPECT_TRUE(second.Resize(40));
  EXPECT_EQ(this->budget.Held(), 100U);
}

TEST_F(ByteBudgetTest, EndedHold_GivesItsBytesBack) {
  {
    ByteHold hold(this->budget);
    EXPECT_TRUE(hold.Resize(100));
  }
  EXPECT_EQ(this->budget.Held(), 0U);
}

TEST_F(ByteBudgetTest, NoLimit_AllowsAll) {
  ByteBudget unlimited(0);
  ByteHold hold(unlimited);
  EXPECT_TRUE(hold.Resize(size_t{1} << 40));
}

// Large requests may fill only a part of the budget; the rest is left to
// others.
TEST_F(ByteBudgetTest, LowerBound_LimitsOnlyWhatGrows) {
  ByteHold large(this->budget);
  ByteHold small(this->budget);
  EXPECT_FALSE(large.Resize(60, 50));
  EXPECT_TRUE(large.Resize(50, 50));
  EXPECT_TRUE(small.Resize(50));
  EXPECT_TRUE(large.Resize(40, 50));
  EXPECT_FALSE(large.Resize(41, 50));
  large.Set(70);
  EXPECT_EQ(this->budget.Held(), 120U);
}

}  // namespace
}  // namespace fuchsiadrum
