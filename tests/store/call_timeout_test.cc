#include "fuchsiadrum/store/call_timeout.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::store {
namespace {

using std::chrono::milliseconds;

class CallTimeoutTest : public testing::Test {
 protected:
  CallTimeout timeout;
};

// Guards against calls that give up on a full link: answers of 450 ms never
// arrived within a fixed 400 ms, and no grant was written for 3.5 s.
TEST_F(CallTimeoutTest, Value_OnALinkThatFillsUp_ExceedsTheRoundTrip) {
  this->timeout.OnTimeout();
  EXPECT_GE(this->timeout.Value(), milliseconds(800));
  this->timeout.OnAnswer(milliseconds(380));
  EXPECT_GE(this->timeout.Value(), milliseconds(1000));
}

// Guards against calls that wait for long after an outage.
TEST_F(CallTimeoutTest, Value_AfterAnOutage_IsBoundedAndFallsAgain) {
  for (int i = 0; i < 20; ++i) this->timeout.OnTimeout();
  EXPECT_EQ(this->timeout.Value(), milliseconds(800));
  this->timeout.OnAnswer(milliseconds(5));
  EXPECT_EQ(this->timeout.Value(), milliseconds(400));
}

}  // namespace
}  // namespace fuchsiadrum::store
