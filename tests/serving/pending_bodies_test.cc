#include "fuchsiadrum/serving/pending_bodies.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class PendingBodiesTest : public testing::Test {
 protected:
  PendingBodies pending{PendingBodiesOptions()};
  TimePoint now{1'000'000'000};
};

// A burst of heads is read before the first of the bodies is sent on.
TEST_F(PendingBodiesTest, Bytes_CountUntilTheRequestIsForwarded) {
  const uint64_t first = this->pending.Add(this->now, 9000);
  this->pending.Add(this->now, 600);
  EXPECT_EQ(this->pending.Bytes(this->now), 9600U);

  this->pending.Remove(first);
  this->pending.Remove(first);
  this->pending.Remove(0);
  EXPECT_EQ(this->pending.Bytes(this->now), 600U);
}

// Guards against clients that announce bodies of 4 MB and do not send them: the
// VM would refuse all others until the read of the bodies times out.
TEST_F(PendingBodiesTest, BodiesThatDoNotArrive_CountForAShortTime) {
  const uint64_t stalled = this->pending.Add(this->now, 4'000'000);
  EXPECT_LE(this->pending.Bytes(this->now), 65536U);

  this->now = this->now + std::chrono::milliseconds(301);
  EXPECT_EQ(this->pending.Bytes(this->now), 0U);
  this->pending.Remove(stalled);
  EXPECT_EQ(this->pending.Bytes(this->now), 0U);
}

}  // namespace
}  // namespace fuchsiadrum::serving
