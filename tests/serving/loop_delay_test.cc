#include "fuchsiadrum/serving/loop_delay.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class LoopDelayTest : public testing::Test {
 protected:
  LoopDelay delay{LoopDelayOptions()};
  TimePoint now{1'000'000'000};

  void Tick(int count, Duration passed) {
    for (int i = 0; i < count; ++i) {
      this->now = this->now + passed;
      this->delay.OnTick(this->now);
    }
  }
};

TEST_F(LoopDelayTest, PunctualLoop_IsNeverBusy) {
  this->Tick(1000, std::chrono::milliseconds(27));
  EXPECT_FALSE(this->delay.IsBusy());
}

// With a CPU quota of a tenth of a core the process is suspended for most of
// each 100 ms, which is not an overload.
TEST_F(LoopDelayTest, ProcessorQuota_IsNoOverload) {
  for (int i = 0; i < 200; ++i) {
    this->Tick(1, std::chrono::milliseconds(95));
    this->Tick(1, std::chrono::milliseconds(25));
  }
  EXPECT_FALSE(this->delay.IsBusy());
}

// Guards against an undetected overload: a hundred requests per second of one
// organisation reach a VM with 0.09 cores and wait a second before they are
// read.
TEST_F(LoopDelayTest, FloodOfRequests_MakesItBusyAndThenFull) {
  this->Tick(6, std::chrono::milliseconds(250));
  EXPECT_TRUE(this->delay.IsBusy());
  this->Tick(10, std::chrono::milliseconds(500));
  EXPECT_TRUE(this->delay.IsFull());

  this->Tick(100, std::chrono::milliseconds(25));
  EXPECT_FALSE(this->delay.IsBusy());
  EXPECT_FALSE(this->delay.IsFull());
}

TEST_F(LoopDelayTest, Freeze_IsForgottenWithinASecond) {
  this->Tick(10, std::chrono::milliseconds(25));
  this->Tick(1, std::chrono::seconds(8));
  this->Tick(40, std::chrono::milliseconds(25));
  EXPECT_FALSE(this->delay.IsBusy());
}

}  // namespace
}  // namespace fuchsiadrum::serving
