#include "fuchsiadrum/serving/link_load.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

/// A link of 10 Mbit/s.
constexpr double kBytesPerSecond = 1'250'000;
constexpr Duration kTick = std::chrono::milliseconds(25);

class LinkLoadTest : public testing::Test {
 protected:
  /// Sends and receives at the fraction `use` of the link's rate for `time`.
  void Load(double use, Duration time) {
    const auto bytes = static_cast<size_t>(
        use * kBytesPerSecond * std::chrono::duration<double>(kTick).count());
    for (Duration passed{}; passed < time; passed += kTick) {
      this->now = this->now + kTick;
      this->link.OnReceived(bytes);
      this->link.OnSent(bytes);
      this->link.OnTick(this->now);
    }
  }

  LinkLoad link{{.bytes_per_s = kBytesPerSecond, .overhead_bytes = 0}};
  TimePoint now{1'000'000'000};
};

TEST_F(LinkLoadTest, Utilization_BelowTheThreshold_IsNeitherBusyNorFull) {
  this->Load(0.4, std::chrono::seconds(20));

  EXPECT_FALSE(this->link.IsBusy());
  EXPECT_FALSE(this->link.IsFull());
}

// All callers of the largest organisation reach one VM and offer 1.2 times the
// capacity of its link. The VM must ask for no new callers before queueing
// takes as long as a request may, and its state must not oscillate.
TEST_F(LinkLoadTest, Load_AboveTheCapacity_IsBusyAndFullWithinTwoSeconds) {
  this->Load(0.2, std::chrono::seconds(5));
  this->Load(1.2, std::chrono::seconds(2));

  EXPECT_TRUE(this->link.IsBusy());
  EXPECT_TRUE(this->link.IsFull());
  EXPECT_GT(this->link.QueueTime(), std::chrono::milliseconds(100));
}

TEST_F(LinkLoadTest, Busy_AfterTheLoadHasGone_LastsForTheMinimumTime) {
  this->Load(1.2, std::chrono::seconds(2));
  this->Load(0.1, std::chrono::seconds(4));
  EXPECT_TRUE(this->link.IsBusy());
  EXPECT_FALSE(this->link.IsFull());

  this->Load(0.1, std::chrono::seconds(5));
  EXPECT_FALSE(this->link.IsBusy());
}

TEST_F(LinkLoadTest, Burst_OfOneLargeAnswer_IsNotBusy) {
  this->Load(0.2, std::chrono::seconds(5));
  this->Load(3.0, std::chrono::milliseconds(100));
  this->Load(0.2, std::chrono::milliseconds(500));

  EXPECT_FALSE(this->link.IsBusy());
}

TEST_F(LinkLoadTest, UnknownRate_IsNeverBusy) {
  LinkLoad unknown{{}};
  for (int i = 0; i < 100; ++i) {
    this->now = this->now + kTick;
    unknown.OnSent(1'000'000'000);
    unknown.OnTick(this->now);
  }

  EXPECT_FALSE(unknown.IsBusy());
  EXPECT_FALSE(unknown.IsFull());
}

}  // namespace
}  // namespace fuchsiadrum::serving
