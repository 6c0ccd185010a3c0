#include "daemon/client_gate.h"

#include <gtest/gtest.h>

#include <vector>

namespace fuchsiadrum::daemon {
namespace {

class ClientGateTest : public testing::Test {
 protected:
  struct Connection final : GatedClient {
    bool HasUnreadBytes() override { return this->has_unread; }
    void CloseForOthers() override { this->closed = true; }
    bool has_unread = false;
    bool closed = false;
  };

  static TimePoint At(int64_t ms) { return {ms * 1000}; }

  std::vector<GateAction> actions;
  ClientGate gate{{.max_connections = 2}, [this](GateAction action) {
                    this->actions.push_back(action);
                  }};
  Connection a;
  Connection b;
};

// A silent connection makes room for a new one, and is counted.
TEST_F(ClientGateTest, FullGate_ClosesTheOldest) {
  EXPECT_TRUE(this->gate.MakeRoom(At(0)));
  this->gate.Queue().Add(this->a, At(0));
  this->gate.Queue().Add(this->b, At(1));
  EXPECT_TRUE(this->gate.MakeRoom(At(2)));
  EXPECT_TRUE(this->a.closed);
  EXPECT_FALSE(this->b.closed);
  EXPECT_EQ(this->gate.Queue().Size(), 1U);
  EXPECT_EQ(this->actions,
            std::vector<GateAction>{GateAction::kClosedForConnection});
}

// A request that has arrived but was not read yet is not closed for a silent
// connection that came later.
TEST_F(ClientGateTest, ArrivedRequest_IsNotClosed) {
  this->gate.Queue().Add(this->a, At(0));
  this->gate.Queue().Add(this->b, At(1));
  this->a.has_unread = true;
  EXPECT_TRUE(this->gate.MakeRoom(At(2)));
  EXPECT_FALSE(this->a.closed);
  EXPECT_TRUE(this->b.closed);
}

// The search ends although all connections are alive.
TEST_F(ClientGateTest, AllInUse_NewOneIsRefused) {
  this->gate.Queue().Add(this->a, At(0));
  this->gate.Queue().Add(this->b, At(1));
  this->a.has_unread = true;
  this->b.has_unread = true;
  EXPECT_FALSE(this->gate.MakeRoom(At(2)));
  this->gate.Queue().SetPhase(this->a, serving::ClientPhase::kServed, At(2));
  this->gate.Queue().SetPhase(this->b, serving::ClientPhase::kServed, At(2));
  EXPECT_FALSE(this->gate.MakeRoom(At(100000)));
  EXPECT_FALSE(this->a.closed || this->b.closed);
  EXPECT_EQ(this->actions.back(), GateAction::kRefusedConnection);
}

// Memory comes from stalled requests only, and never from the one that asks.
TEST_F(ClientGateTest, Memory_IsFreedByStalledRequests) {
  this->gate.Queue().Add(this->a, At(0));
  this->gate.Queue().Add(this->b, At(0));
  EXPECT_FALSE(this->gate.FreeMemory(this->b, At(100)));
  EXPECT_TRUE(this->gate.FreeMemory(this->b, At(600)));
  EXPECT_TRUE(this->a.closed);
  EXPECT_FALSE(this->gate.FreeMemory(this->b, At(600)));
  EXPECT_FALSE(this->b.closed);
}

// Without a free descriptor, accepting would fail until a client leaves.
TEST_F(ClientGateTest, AcceptFailure_ClosesTheOldest) {
  this->gate.OnAcceptFailure(At(0));
  this->gate.Queue().Add(this->a, At(0));
  this->gate.OnAcceptFailure(At(1));
  EXPECT_TRUE(this->a.closed);
  EXPECT_EQ(this->actions.front(), GateAction::kNotAccepted);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
