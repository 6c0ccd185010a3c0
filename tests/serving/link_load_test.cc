#include "fuchsiadrum/serving/link_load.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {
namespace {

/// A link of 10 Mbit/s.
constexpr double kBytesPerSecond = 1'250'000;
constexpr Duration kTick = std::chrono::milliseconds(25);
/// A long prompt with its head.
constexpr size_t kPromptBytes = 9200;

class LinkLoadTest : public testing::Test {
 protected:
  /// Sends and receives at the fraction `use` of the link's rate for `time`.
  void Load(double use, Duration time) {
    const auto bytes = static_cast<size_t>(
        use * kBytesPerSecond * std::chrono::duration<double>(kTick).count());
    for (Duration passed{}; passed < time; passed += kTick) {
      this->now = this->now + kTick;
      this->link.OnReceived(bytes);
      this->link.OnSent(this->now, bytes);
      this->link.OnTick(this->now);
    }
  }
  double QueueMs() { return ToMilliseconds(this->link.QueueTime(this->now)); }

  LinkLoad link{{.bytes_per_s = kBytesPerSecond, .overhead_bytes = 0}};
  TimePoint now{1'000'000'000};
};

// Guards against an estimate that refuses requests of a link with room.
TEST_F(LinkLoadTest, Load_BelowTheCapacity_IsMeasuredWithoutQueue) {
  this->Load(0.4, std::chrono::seconds(20));

  EXPECT_NEAR(this->link.Utilization(), 0.4, 0.02);
  EXPECT_LT(this->QueueMs(), 15);
}

// All callers of the largest organisation reach one VM and offer 1.2 times the
// capacity of its link. The queue must be seen before it takes as long as a
// request may.
TEST_F(LinkLoadTest, Load_AboveTheCapacity_IsFullWithAQueueWithinTwoSeconds) {
  this->Load(0.2, std::chrono::seconds(5));
  this->Load(1.2, std::chrono::seconds(2));

  EXPECT_GT(this->link.Utilization(), 0.9);
  EXPECT_GT(this->QueueMs(), 100);
}

// Guards against a queue that is remembered after the link has sent it: bytes
// leave at the rate of the link also between ticks.
TEST_F(LinkLoadTest, Queue_DrainsAtTheRateOfTheLink) {
  this->link.OnTick(this->now);
  for (int i = 0; i < 20; ++i) this->link.OnSent(this->now, kPromptBytes);
  EXPECT_NEAR(this->QueueMs(), 147.2, 1);

  this->now = this->now + std::chrono::milliseconds(100);
  EXPECT_NEAR(this->QueueMs(), 47.2, 1);
  this->now = this->now + std::chrono::seconds(9);
  EXPECT_EQ(this->QueueMs(), 0);
}

// Guards against an idle time that counts for bytes which arrive after it: a
// process with a CPU quota ticks up to 90 ms late.
TEST_F(LinkLoadTest, Bytes_AfterAnIdleTimeWithoutTick_WaitInFull) {
  this->link.OnTick(this->now);
  this->now = this->now + std::chrono::milliseconds(90);
  for (int i = 0; i < 4; ++i) this->link.OnSent(this->now, kPromptBytes);

  EXPECT_NEAR(this->QueueMs(), 29.4, 1);
}

// Guards against directions that are added up: what is received does not wait
// for what is sent.
TEST_F(LinkLoadTest, Directions_AreMeasuredApart) {
  for (int i = 0; i < 200; ++i) {
    this->now = this->now + kTick;
    this->link.OnReceived(kPromptBytes * 3);
    this->link.OnTick(this->now);
  }

  EXPECT_GT(this->link.ReceivedUtilization(), 0.8);
  EXPECT_EQ(this->link.SentUtilization(), 0);
  EXPECT_EQ(this->QueueMs(), 0);
}

// Guards against packets that are not counted: a long prompt has seven of them,
// and a stream's event of 60 bytes doubles its size.
TEST_F(LinkLoadTest, Headers_CountForEachPacket) {
  LinkLoad counted{{.bytes_per_s = kBytesPerSecond}};
  counted.OnSent(this->now, kPromptBytes);
  EXPECT_NEAR(ToMilliseconds(counted.QueueTime(this->now)),
              (9200 + 7 * 66) / 1250.0, 0.01);
  EXPECT_NEAR(ToMilliseconds(counted.QueueTime(this->now, 60)),
              (9200 + 7 * 66 + 60 + 66) / 1250.0, 0.01);
}

TEST_F(LinkLoadTest, UnknownRate_HasNoLoad) {
  LinkLoad unknown{{}};
  for (int i = 0; i < 100; ++i) {
    this->now = this->now + kTick;
    unknown.OnSent(this->now, 1'000'000'000);
    unknown.OnReceived(1'000'000'000);
    unknown.OnTick(this->now);
  }

  EXPECT_EQ(unknown.Utilization(), 0);
  EXPECT_EQ(unknown.QueueTime(this->now, 1'000'000), Duration::zero());
}

}  // namespace
}  // namespace fuchsiadrum::serving
