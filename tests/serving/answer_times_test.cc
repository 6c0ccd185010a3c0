#include "fuchsiadrum/serving/answer_times.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;

class AnswerTimesTest : public testing::Test {
 protected:
  void Add(const std::string& route, int ms, size_t count = 1) {
    for (size_t i = 0; i < count; ++i) {
      this->times.Add(route, this->now, {.total = milliseconds(ms)});
    }
  }
  void AddStream(int first_ms, int interval_ms, size_t count = 1) {
    for (size_t i = 0; i < count; ++i) {
      this->times.Add("ask", this->now,
                      {.first_event = milliseconds(first_ms),
                       .event_interval = milliseconds(interval_ms)});
    }
  }

  TimePoint now{1'000'000'000};
  AnswerTimes times;
};

TEST_F(AnswerTimesTest, FewAnswers_TellNothing) {
  this->Add("ask", 50, AnswerTimes::kMinKnown - 1);
  EXPECT_EQ(this->times.Longest("ask"), std::nullopt);
  this->Add("ask", 50);
  EXPECT_EQ(this->times.Longest("ask"), milliseconds(50));
  EXPECT_EQ(this->times.Longest("other"), std::nullopt);
}

// One slow answer must not mark its route as slow for good.
TEST_F(AnswerTimesTest, LongestAnswer_IsForgottenAfterMoreRecentOnes) {
  this->Add("ask", 50, AnswerTimes::kMinKnown);
  this->Add("ask", 9000);
  this->Add("ask", 50, AnswerTimes::kKept - 1);
  EXPECT_EQ(this->times.Longest("ask"), milliseconds(9000));
  this->Add("ask", 50);
  EXPECT_EQ(this->times.Longest("ask"), milliseconds(50));
}

// LOST: the short answers of a busy route hid that others take long.
TEST_F(AnswerTimesTest, LongestInPeriod_IsNotDisplacedByMoreRecentOnes) {
  this->Add("ask", 9000);
  this->Add("ask", 50, 100 * AnswerTimes::kKept);
  EXPECT_EQ(this->times.LongestInPeriod("ask", this->now), milliseconds(9000));
  this->now = this->now + AnswerTimes::kPeriod;
  this->Add("ask", 50, AnswerTimes::kMinKnown);
  EXPECT_EQ(this->times.LongestInPeriod("ask", this->now), milliseconds(9000));
  this->now = this->now + AnswerTimes::kPeriod;
  EXPECT_EQ(this->times.LongestInPeriod("ask", this->now), milliseconds(50));
  this->now = this->now + AnswerTimes::kPeriod;
  EXPECT_EQ(this->times.LongestInPeriod("ask", this->now), std::nullopt);
}

TEST_F(AnswerTimesTest, LongPauseBetweenAnswers_ForgetsBothPeriods) {
  this->Add("ask", 9000, AnswerTimes::kMinKnown);
  this->now = this->now + 2 * AnswerTimes::kPeriod;
  this->Add("ask", 50, AnswerTimes::kMinKnown);
  EXPECT_EQ(this->times.LongestInPeriod("ask", this->now), milliseconds(50));
}

// The length of a stream is not known from others, but their pace is.
TEST_F(AnswerTimesTest, LongestOfEvents_TakesTheSlowestPace) {
  this->AddStream(100, 30, AnswerTimes::kMinKnown - 1);
  EXPECT_EQ(this->times.LongestOfEvents("ask", this->now, 10), std::nullopt);
  this->AddStream(200, 20);
  EXPECT_EQ(this->times.LongestOfEvents("ask", this->now, 10),
            milliseconds(200 + 9 * 30));
  EXPECT_EQ(this->times.LongestOfEvents("ask", this->now, 1),
            milliseconds(200));
  EXPECT_GE(this->times.LongestOfEvents("ask", this->now, UINT64_MAX),
            std::chrono::hours(1));
}

// Streams of one event tell nothing about the time between events.
TEST_F(AnswerTimesTest, LongestOfEvents_WithoutIntervals_IsUnknown) {
  for (size_t i = 0; i < AnswerTimes::kMinKnown; ++i) {
    this->times.Add("ask", this->now, {.first_event = milliseconds(100)});
  }
  EXPECT_EQ(this->times.LongestOfEvents("ask", this->now, 2), std::nullopt);
  EXPECT_EQ(this->times.LongestOfEvents("ask", this->now, 1),
            milliseconds(100));
}

TEST_F(AnswerTimesTest, RemovedRoute_IsForgotten) {
  this->Add("ask", 50, AnswerTimes::kMinKnown);
  this->Add("book", 70, AnswerTimes::kMinKnown);
  ServingConfig config;
  config.routes.push_back({.name = "book"});
  this->times.KeepRoutesOf(config);
  EXPECT_EQ(this->times.Longest("ask"), std::nullopt);
  EXPECT_EQ(this->times.Longest("book"), milliseconds(70));
}

}  // namespace
}  // namespace fuchsiadrum::serving
