#include "fuchsiadrum/serving/rotation_control.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fuchsiadrum::serving {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(25);

class RotationControlTest : public testing::Test {
 protected:
  /// Runs under this load; returns the part of the time without readiness.
  double Run(const RotationLoad& load, Duration time) {
    int away = 0;
    int ticks = 0;
    for (Duration passed{}; passed < time; passed += kTick) {
      this->now = this->now + kTick;
      this->rotation.OnTick(this->now, load);
      ++ticks;
      if (this->rotation.IsAway()) ++away;
    }
    return static_cast<double>(away) / ticks;
  }
  /// The part of 10,000 answers that announces the close.
  double Announced(double share, double concentration) {
    int announced = 0;
    for (int i = 0; i < 10000; ++i) {
      if (this->rotation.AnnouncesClose(share, concentration)) ++announced;
    }
    return announced / 10000.0;
  }

  RotationControl rotation{RotationOptions(), 7};
  TimePoint now{1'000'000'000};
};

// Guards against new connections of callers for which the VM has room.
TEST_F(RotationControlTest, Load_BelowTheThreshold_ChangesNothing) {
  EXPECT_EQ(
      this->Run({.link = 0.99, .processor = 0.99}, std::chrono::minutes(2)), 0);
  EXPECT_FALSE(this->rotation.IsShedding());
  EXPECT_EQ(this->Announced(1, 1), 0);
}

// Guards against all callers of an organisation that leave at once and exceed
// the link of the next VM.
TEST_F(RotationControlTest, Load_AboveTheThreshold_MovesOnlyTheExcess) {
  EXPECT_EQ(this->Run({.link = 1.2}, std::chrono::seconds(20)), 0);

  EXPECT_NEAR(this->rotation.Excess(), 1 - 0.85 / 1.2, 0.001);
  EXPECT_NEAR(this->Announced(1, 1), 1 - 0.85 / 1.2, 0.03);
}

// One organisation causes 0.8 of the load, ten others 0.02 each. The sum over
// all answers must be the excess, nearly all of it of the first one.
TEST_F(RotationControlTest, HotOrganisation_MovesFirst) {
  this->Run({.link = 1.2}, std::chrono::seconds(2));

  const double concentration = 0.8 * 0.8 + 10 * 0.02 * 0.02;
  const double hot = this->Announced(0.8, concentration);
  const double other = this->Announced(0.02, concentration);
  EXPECT_LT(other, 0.02);
  EXPECT_NEAR(0.8 * hot + 0.2 * other, this->rotation.Excess(), 0.03);
}

// Guards against a state that changes with each answer around the threshold.
TEST_F(RotationControlTest, Shedding_EndsOnlyBelowALowerLoad) {
  this->Run({.link = 1.05}, kTick);
  this->Run({.link = 0.9}, std::chrono::seconds(1));
  EXPECT_TRUE(this->rotation.IsShedding());

  this->Run({.link = 0.8}, kTick);
  EXPECT_FALSE(this->rotation.IsShedding());
  this->Run({.link = 0.95}, std::chrono::seconds(1));
  EXPECT_FALSE(this->rotation.IsShedding());
}

// A VM that is not ready for less than two checks stays in rotation, and one
// that is not ready for more than an eighth of the time counts as faulty.
TEST_F(RotationControlTest, Overload_ThatLasts_IsAwayForTwoChecksAndATenth) {
  EXPECT_EQ(this->Run({.link = 1.4}, std::chrono::milliseconds(900)), 0);
  Duration away{};
  while (!this->rotation.IsAway()) this->Run({.link = 1.4}, kTick);
  while (this->rotation.IsAway()) {
    this->Run({.link = 1.4}, kTick);
    away += kTick;
  }
  EXPECT_GE(away, std::chrono::milliseconds(2400));

  const double part = this->Run({.link = 1.4}, std::chrono::minutes(10));
  EXPECT_GT(part, 0.08);
  EXPECT_LT(part, 0.125);
}

// Guards against readiness that is lost in a burst of a second.
TEST_F(RotationControlTest, Overload_ThatIsInterrupted_StaysInRotation) {
  for (int i = 0; i < 60; ++i) {
    EXPECT_EQ(this->Run({.processor = 2}, std::chrono::milliseconds(900)), 0);
    this->Run({.processor = 0.5}, kTick);
  }
}

// Guards against neighbours with the same load that leave together.
TEST_F(RotationControlTest, Neighbours_LeaveAtDifferentTimes) {
  Duration first = std::chrono::seconds(9);
  Duration last{};
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    RotationControl neighbour{RotationOptions(), seed};
    Duration passed{};
    while (!neighbour.IsAway()) {
      passed += kTick;
      neighbour.OnTick(this->now + passed, {.link = 1.4});
    }
    first = std::min(first, passed);
    last = std::max(last, passed);
  }
  EXPECT_GT(last - first, std::chrono::milliseconds(400));
}

}  // namespace
}  // namespace fuchsiadrum::serving
