#include "fuchsiadrum/budget/grant_sizer.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::budget {
namespace {

using std::chrono::seconds;

class GrantSizerTest : public ::testing::Test {
 protected:
  /// Spends at a steady rate, 100 tokens/s.
  void Spend(int span_s) {
    for (int i = 0; i < span_s; ++i) {
      this->now = this->now + seconds(1);
      this->sizer.OnReserve(Tokens(50));
      this->sizer.OnSpend(Tokens(100));
      this->sizer.OnTick(this->now, Tokens(50));
    }
  }

  GrantSizerOptions options = GrantSizerOptions::CoralAndina();
  GrantSizer sizer{this->options};
  TimePoint now{1'000'000};
};

// Guards against a coarse step that does not last through an hour's partition
// at 1.5 times the demand.
TEST_F(GrantSizerTest, CoarseMargin_SteadyDemand_CoversThePartition) {
  this->Spend(600);
  EXPECT_GE(this->sizer.CoarseMargin(false), Tokens(100 * 3600 * 3 / 2));
  EXPECT_GT(this->sizer.CoarseMargin(true), this->sizer.CoarseMargin(false));
}

// Guards against a daemon that takes the end of a budget for itself.
TEST_F(GrantSizerTest, Want_NearTheEnd_ShrinksToAShare) {
  this->Spend(600);
  const Tokens plenty(1'000'000'000);
  EXPECT_GT(this->sizer.Want(plenty, 9), this->sizer.CoarseMargin(false));
  EXPECT_LE(this->sizer.Want(Tokens(9'000), 9), Tokens(2'200));
}

// Guards against estimates that vanish or explode when a clock jumps.
TEST_F(GrantSizerTest, OnTick_ClockJumps_KeepsTheEstimate) {
  this->Spend(600);
  const double before = this->sizer.Rate();
  this->now = this->now + seconds(3600);
  this->sizer.OnTick(this->now, Tokens(0));
  this->now = this->now - seconds(7200);
  this->sizer.OnTick(this->now, Tokens(0));
  EXPECT_NEAR(this->sizer.Rate(), before, before / 10);
}

// Guards against preset steps that are ignored when the settings fix them.
TEST_F(GrantSizerTest, FineMargin_FixedStep_IsUsed) {
  GrantSizerOptions fixed;
  fixed.fine_step = Tokens(700);
  fixed.coarse_step = Tokens(9'000);
  const GrantSizer one(fixed);
  EXPECT_EQ(one.FineMargin(), Tokens(700));
  EXPECT_EQ(one.CoarseMargin(false), Tokens(9'000));
}

}  // namespace
}  // namespace fuchsiadrum::budget
