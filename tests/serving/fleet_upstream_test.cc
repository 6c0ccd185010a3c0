#include "fuchsiadrum/serving/fleet_upstream.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class FleetUpstreamTest : public testing::Test {
 protected:
  void Report(std::optional<int> work_percent) {
    this->upstream.OnReport(
        this->now, {.running = 1, .slots = 8, .work_percent = work_percent});
  }

  FleetUpstream upstream{UpstreamEntry{.id = "u", .slots = 8},
                         UpstreamOptions()};
  TimePoint now{1'000'000'000};
};

// Guards against a choice by a figure that changes many times a second, after
// it has changed.
TEST_F(FleetUpstreamTest, WorkFactor_FadesWithTheAgeOfTheReport) {
  EXPECT_EQ(this->upstream.WorkFactor(this->now), 1);
  this->Report(300);
  EXPECT_DOUBLE_EQ(this->upstream.WorkFactor(this->now), 3);
  EXPECT_DOUBLE_EQ(
      this->upstream.WorkFactor(this->now + std::chrono::milliseconds(150)), 2);
  EXPECT_EQ(
      this->upstream.WorkFactor(this->now + std::chrono::milliseconds(300)), 1);
}

TEST_F(FleetUpstreamTest, WorkFactor_WithAReportOfThreeFigures_IsOne) {
  this->Report(300);
  this->Report(std::nullopt);
  EXPECT_EQ(this->upstream.WorkFactor(this->now), 1);
  EXPECT_EQ(this->upstream.ReportedRequests(this->now), 1);
}

// Guards against an upstream that attracts all requests by its report.
TEST_F(FleetUpstreamTest, WorkFactor_OfAnAbsurdReport_IsBounded) {
  this->Report(1);
  EXPECT_GE(this->upstream.WorkFactor(this->now), 0.25);
  this->Report(10000);
  EXPECT_LE(this->upstream.WorkFactor(this->now), 10);
}

// Guards against a log that repeats a line for each answer.
TEST_F(FleetUpstreamTest, UnusableReport_IsNewOnce) {
  EXPECT_TRUE(this->upstream.OnUnusableReport());
  EXPECT_FALSE(this->upstream.OnUnusableReport());
}

}  // namespace
}  // namespace fuchsiadrum::serving
