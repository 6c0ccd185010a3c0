#include "fuchsiadrum/serving/rotation_control.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

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

// Guards against callers that are moved although the VM has room for them.
TEST_F(RotationControlTest, Load_BelowTheThreshold_ChangesNothing) {
  EXPECT_EQ(
      this->Run({.link = 0.99, .processor = 0.99}, std::chrono::minutes(2)), 0);
  EXPECT_EQ(this->rotation.Excess(), 0);
  EXPECT_EQ(this->Announced(1, 1), 0);
}

// Guards against readiness that is lost in a burst.
TEST_F(RotationControlTest, Overload_ThatIsInterrupted_StaysInRotation) {
  for (int i = 0; i < 60; ++i) {
    EXPECT_EQ(this->Run({.processor = 2}, std::chrono::milliseconds(175)), 0);
    this->Run({.processor = 0.5}, kTick);
  }
}

// A VM that is not ready for less than two checks stays in rotation, and one
// that is not ready for more than an eighth of the time counts as faulty.
TEST_F(RotationControlTest, Overload_ThatLasts_IsAwayForTwoChecksAndATenth) {
  Duration before{};
  while (!this->rotation.IsAway()) {
    this->Run({.link = 1.2}, kTick);
    before += kTick;
  }
  EXPECT_LE(before, std::chrono::milliseconds(700));
  Duration away{};
  while (this->rotation.IsAway()) {
    this->Run({.link = 1.2}, kTick);
    away += kTick;
  }
  EXPECT_GE(away, std::chrono::milliseconds(2400));
  EXPECT_LT(this->Run({.link = 1.2}, std::chrono::minutes(10)), 0.1);
}

// The worst load: it stops for as long as makes the VM leave as often as
// possible.
TEST_F(RotationControlTest, AnyMinute_HasLessThanAnEighthAway) {
  std::vector<bool> away;
  for (int i = 0; i < 400; ++i) {
    const RotationLoad load = {.link = i % 52 == 51 ? 0.1 : 1.3};
    for (int tick = 0; tick < 40; ++tick) {
      this->Run(load, kTick);
      away.push_back(this->rotation.IsAway());
    }
  }
  constexpr size_t kMinute = 2400;
  for (size_t begin = 0; begin + kMinute <= away.size(); begin += 40) {
    const auto first = away.begin() + static_cast<std::ptrdiff_t>(begin);
    EXPECT_LE(std::count(first, first + kMinute, true), 300) << begin;
  }
}

// Guards against all callers that are asked to leave together and exceed the
// link of the next VM, and against connections that end while the balancer may
// still send the caller back.
TEST_F(RotationControlTest, Away_AnnouncesTheCloseToTheExcess) {
  while (!this->rotation.IsAway()) this->Run({.link = 1.2}, kTick);
  EXPECT_EQ(this->Announced(1, 1), 0);

  this->Run({.link = 1.2}, std::chrono::seconds(1));
  EXPECT_NEAR(this->rotation.Excess(), 1 - 0.5 / 1.2, 0.001);
  EXPECT_NEAR(this->Announced(1, 1), 1 - 0.5 / 1.2, 0.03);
  // The load has gone; the others may stay.
  this->Run({.link = 0.2}, std::chrono::seconds(2));
  EXPECT_EQ(this->Announced(1, 1), 0);
}

// One organisation causes half of the load, ten others a twentieth each. The
// sum over all answers must be the excess, most of it of the first one.
TEST_F(RotationControlTest, HotOrganisation_MovesFirst) {
  while (!this->rotation.IsAway()) this->Run({.link = 1.01}, kTick);
  this->Run({.link = 1.01}, std::chrono::seconds(1));

  const double concentration = 0.5 * 0.5 + 10 * 0.05 * 0.05;
  const double hot = this->Announced(0.5, concentration);
  const double other = this->Announced(0.05, concentration);
  EXPECT_GT(hot, 5 * other);
  EXPECT_NEAR(0.5 * hot + 0.5 * other, this->rotation.Excess(), 0.05);
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
  EXPECT_GE(last - first, std::chrono::milliseconds(200));
}

}  // namespace
}  // namespace fuchsiadrum::serving
