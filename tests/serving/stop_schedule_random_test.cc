#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "fuchsiadrum/serving/answer_times.h"
#include "fuchsiadrum/serving/stop_schedule.h"

namespace fuchsiadrum::serving {
namespace {

constexpr char kRoute[] = "ask";
/// Rule LOST: what is sent later than this after the stop began must not be
/// cut.
constexpr Duration kExcused = std::chrono::seconds(3);

/// A number with a heavy tail between `least` and `most`: the density falls
/// with the square of the number.
double HeavyTail(double least, double most) {
  const double share = *rc::gen::inRange(1, 1000000) / 1e6;
  return std::min(least / share, most);
}

/// Streams whose events come at most this fraction slower than they ever did.
constexpr double kPaceChange = 0.5;

struct RandomStream {
  int events = 1;
  int max_events = 1;
  Duration first = Duration::zero();
  Duration interval = Duration::zero();

  Duration Total() const {
    return this->first + this->interval * (this->events - 1);
  }
};

RandomStream DrawStream(double slowness) {
  RandomStream stream;
  stream.events = static_cast<int>(HeavyTail(3, 5000));
  stream.max_events = static_cast<int>(stream.events * HeavyTail(1, 8));
  stream.first = std::chrono::milliseconds(
      static_cast<int>(*rc::gen::inRange(20, 400) * slowness));
  stream.interval = std::chrono::milliseconds(
      static_cast<int>(*rc::gen::inRange(5, 60) * slowness));
  return stream;
}

class StopScheduleRandomTest : public testing::Test {};

// LOST: a stream was sent late since the last ones had been short, and cut.
RC_GTEST_FIXTURE_PROP(StopScheduleRandomTest,
                      LateStreamThatLimitsItsEvents_IsNeverCut, ()) {
  const auto grace = std::chrono::milliseconds(*rc::gen::inRange(1500, 40000));
  StopSchedule schedule({.grace = grace});
  AnswerTimes times;
  TimePoint now{1'000'000'000};
  const int before = *rc::gen::inRange(0, 60);
  for (int i = 0; i < before; ++i) {
    const RandomStream stream = DrawStream(1);
    now = now + std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
    times.Add(
        kRoute, now,
        {.total = stream.Total(),
         .first_event = stream.first,
         .event_interval = stream.events > 1 ? std::optional(stream.interval)
                                             : std::nullopt});
  }
  schedule.Begin(now);
  const TimePoint begun = now;

  int sent_late = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint sent =
        begun + std::chrono::milliseconds(
                    *rc::gen::inRange<int>(0, static_cast<int>(grace.count())));
    RandomStream stream = DrawStream(1);
    // No faster and hardly slower than any that is known.
    const auto slowest = times.LongestOfEvents(kRoute, now, 1);
    if (slowest) stream.first = std::min(stream.first, *slowest);
    const auto both = times.LongestOfEvents(kRoute, now, 2);
    if (both) {
      stream.interval = std::chrono::duration_cast<Duration>(
          std::min(stream.interval, *both - *slowest) * (1 + kPaceChange));
    }
    const StopRequest request = {
        .deadline = begun + std::chrono::hours(1),
        .begun_at = sent,
        .longest_answer = times.Longest(kRoute),
        .is_stream = true,
        .limits_events = true,
        .longest_of_events = times.LongestOfEvents(
            kRoute, sent, static_cast<uint64_t>(stream.max_events))};
    const bool is_sent = schedule.MaySend(sent, request);
    if (sent < schedule.AcceptEnd()) continue;
    if (!is_sent) continue;
    ++sent_late;
    RC_ASSERT(sent + stream.Total() <= schedule.AnswerEnd());
  }
  RC_CLASSIFY(sent_late > 0, "some sent late");
  RC_ASSERT(schedule.AcceptEnd() - begun <= kExcused);
}

// LOST: nothing is known of a stream that states no limit and that a caller
// asks for on a kept connection.
RC_GTEST_FIXTURE_PROP(StopScheduleRandomTest,
                      LateStreamOnKeptConnection_NeedsItsOwnLimit, ()) {
  const auto grace = std::chrono::milliseconds(*rc::gen::inRange(1500, 40000));
  StopSchedule schedule({.grace = grace});
  const TimePoint begun{1'000'000'000};
  schedule.Begin(begun);
  const TimePoint sent =
      schedule.AcceptEnd() + std::chrono::milliseconds(*rc::gen::inRange<int>(
                                 0, static_cast<int>(grace.count())));
  const auto longest = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
  const StopRequest request = {.deadline = begun + std::chrono::hours(1),
                               .begun_at = sent,
                               .longest_answer = longest,
                               .longest_in_period = longest,
                               .is_stream = true};
  RC_ASSERT(!schedule.MaySend(sent, request));
}

// Refused though it could be answered: streams that can end in time are sent.
TEST_F(StopScheduleRandomTest, ShortStreams_AreSentForMostOfTheStop) {
  const TimePoint begun{1'000'000'000};
  AnswerTimes times;
  for (int i = 0; i < 100; ++i) {
    times.Add(kRoute, begun,
              {.total = std::chrono::seconds(6),
               .first_event = std::chrono::milliseconds(300),
               .event_interval = std::chrono::milliseconds(30)});
  }
  StopSchedule schedule({.grace = std::chrono::seconds(8)});
  schedule.Begin(begun);
  int sent = 0;
  int count = 0;
  for (int ms = 0; ms < 8000; ms += 100) {
    const TimePoint now = begun + std::chrono::milliseconds(ms);
    const StopRequest request = {
        .deadline = begun + std::chrono::hours(1),
        .begun_at = now,
        .longest_answer = times.Longest(kRoute),
        .is_stream = true,
        .limits_events = true,
        .longest_of_events = times.LongestOfEvents(kRoute, now, 16)};
    ++count;
    sent += schedule.MaySend(now, request) ? 1 : 0;
  }
  // 16 events take 0.75 s, and twice that is wanted.
  EXPECT_GE(sent, count * 7 / 10);
}

}  // namespace
}  // namespace fuchsiadrum::serving
