#include "fuchsiadrum/serving/client_queue.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class ClientQueueTest : public testing::Test {
 protected:
  struct Connection final : ClientQueue::Client {};

  static TimePoint At(int64_t ms) { return {ms * 1000}; }

  ClientQueue queue{{.max_connections = 3}};
  Connection a;
  Connection b;
  Connection c;
};

// A crowd of silent connections is what fills the limit; the one that is silent
// for longest goes first.
TEST_F(ClientQueueTest, ForConnection_OldestStalledRequest_GoesFirst) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(10));
  EXPECT_FALSE(this->queue.IsFull());
  this->queue.Add(this->c, At(20));
  EXPECT_TRUE(this->queue.IsFull());
  EXPECT_EQ(this->queue.FirstForConnection(At(600)), &this->a);
  this->queue.Remove(this->a);
  this->queue.Remove(this->a);
  EXPECT_EQ(this->queue.Size(), 2U);
  EXPECT_EQ(this->queue.FirstForConnection(At(600)), &this->b);
}

// A request that arrives at the moment must not be closed for an idle one.
TEST_F(ClientQueueTest, ForConnection_IdleOne_GoesBeforeFreshRequest) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(0));
  this->queue.SetPhase(this->b, ClientPhase::kIdle, At(100));
  EXPECT_EQ(this->queue.FirstForConnection(At(310)), &this->b);
  EXPECT_EQ(this->queue.FirstForConnection(At(510)), &this->a);
  this->queue.SetPhase(this->b, ClientPhase::kServed, At(310));
  EXPECT_EQ(this->queue.FirstForConnection(At(310)), &this->a);
}

// A request that is being served is never closed for another.
TEST_F(ClientQueueTest, ForConnection_OnlyServedOnes_GivesNone) {
  this->queue.Add(this->a, At(0));
  this->queue.SetPhase(this->a, ClientPhase::kServed, At(1));
  EXPECT_EQ(this->queue.FirstForConnection(At(100000)), nullptr);
  this->queue.SetPhase(this->a, ClientPhase::kIdle, At(100000));
  EXPECT_EQ(this->queue.FirstForConnection(At(100100)), nullptr);
  this->queue.SetPhase(this->a, ClientPhase::kUnread, At(100200));
  EXPECT_EQ(this->queue.FirstForConnection(At(103100)), nullptr);
  EXPECT_EQ(this->queue.FirstForConnection(At(103200)), &this->a);
}

// A client that sends a byte now and then would otherwise never be the oldest.
TEST_F(ClientQueueTest, Bytes_BelowOneStep_AreNoProgress) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(1));
  for (int i = 0; i < 100; ++i) this->queue.OnBytes(this->a, 10, At(2 + i));
  EXPECT_EQ(this->queue.FirstForConnection(At(600)), &this->a);
  for (int i = 0; i < 3; ++i) this->queue.OnBytes(this->a, 10, At(590));
  EXPECT_EQ(this->queue.FirstForConnection(At(600)), &this->b);
}

// A connection whose bytes have arrived but were not read yet is alive.
TEST_F(ClientQueueTest, TouchedOne_GoesToTheEnd) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(1));
  this->queue.Touch(this->a, At(600));
  EXPECT_EQ(this->queue.FirstForConnection(At(600)), &this->b);
}

// A request that cannot get memory must not end itself, nor a request that is
// arriving, nor an idle connection, which holds next to nothing.
TEST_F(ClientQueueTest, ForMemory_OnlyStalledOnes_AreGiven) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(0));
  this->queue.Add(this->c, At(0));
  this->queue.SetPhase(this->c, ClientPhase::kIdle, At(0));
  EXPECT_EQ(this->queue.FirstForMemory(this->b, At(100)), nullptr);
  EXPECT_EQ(this->queue.FirstForMemory(this->b, At(500)), &this->a);
  EXPECT_EQ(this->queue.FirstForMemory(this->a, At(500)), nullptr);
}

// Unread answers hold memory for long, but they are ready: they go last.
TEST_F(ClientQueueTest, ForMemory_UnreadAnswer_GoesAfterStalledRequest) {
  this->queue.Add(this->a, At(0));
  this->queue.Add(this->b, At(0));
  this->queue.SetPhase(this->a, ClientPhase::kUnread, At(0));
  EXPECT_EQ(this->queue.FirstForMemory(this->c, At(5000)), &this->b);
  this->queue.Remove(this->b);
  EXPECT_EQ(this->queue.FirstForMemory(this->c, At(2900)), nullptr);
  EXPECT_EQ(this->queue.FirstForMemory(this->c, At(5000)), &this->a);
}

}  // namespace
}  // namespace fuchsiadrum::serving
