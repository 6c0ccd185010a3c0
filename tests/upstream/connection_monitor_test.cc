#include "fuchsiadrum/upstream/connection_monitor.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::upstream {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{1'000'000};

class ConnectionMonitorTest : public ::testing::Test {
 protected:
  ConnectionMonitorTest() {
    // 1 streams and falls silent, 2 is pooled, 3 keeps delivering.
    for (ConnectionId id = 1; id <= 3; ++id) {
      this->monitor.OnOpened(kStart, id, "r1");
    }
    this->monitor.OnRequest(kStart, 1);
    this->monitor.OnBytes(kStart, 1);
    this->monitor.OnRequest(kStart, 3);
  }
  ConnectionActions TickAt(int ms) {
    this->monitor.OnBytes(kStart + milliseconds(ms), 3);
    ConnectionActions out;
    this->monitor.OnTick(kStart + milliseconds(ms), out);
    return out;
  }

  ConnectionMonitor monitor;
};

// Guards against a silent connection that is noticed later than 2 s after the
// idle bound.
TEST_F(ConnectionMonitorTest, OnTick_Silent_IsClosedWithinBound) {
  EXPECT_TRUE(this->TickAt(2900).probes.empty());
  EXPECT_EQ(this->TickAt(3000).probes.size(), 1U);
  EXPECT_TRUE(this->TickAt(4400).closes.empty());
  const ConnectionActions out = this->TickAt(4600);
  EXPECT_EQ(out.closes, std::vector<ConnectionId>{1});
  EXPECT_EQ(out.unreachable, std::vector<std::string>{"r1"});
}

// Guards against requests on pooled connections of the broken path, and against
// closing those that still deliver.
TEST_F(ConnectionMonitorTest, OnProbe_Answered_ClosesSilentAndPooled) {
  this->TickAt(3000);
  this->monitor.OnOpened(kStart + milliseconds(3100), 4, "r1");
  ConnectionActions out;
  this->monitor.OnProbe(kStart + milliseconds(3200), "r1", true, out);
  EXPECT_EQ(out.closes, (std::vector<ConnectionId>{1, 2}));
  EXPECT_TRUE(out.unreachable.empty());
}

// Guards against taking a long prompt for a silent connection.
TEST_F(ConnectionMonitorTest, OnTick_BeforeFirstByte_UsesLongerBound) {
  this->monitor.OnClosed(1);
  this->monitor.OnOpened(kStart, 5, "r1");
  this->monitor.OnRequest(kStart, 5);
  EXPECT_TRUE(this->TickAt(19000).probes.empty());
  EXPECT_EQ(this->TickAt(20000).probes.size(), 1U);
}

// Guards against a probe for each tick of one silence.
TEST_F(ConnectionMonitorTest, OnTick_ProbeRunning_SendsNoSecond) {
  EXPECT_EQ(this->TickAt(3000).probes.size(), 1U);
  EXPECT_TRUE(this->TickAt(3100).probes.empty());
}

}  // namespace
}  // namespace fuchsiadrum::upstream
