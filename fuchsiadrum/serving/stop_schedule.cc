#include "fuchsiadrum/serving/stop_schedule.h"

#include <algorithm>

namespace fuchsiadrum::serving {

void StopSchedule::Begin(TimePoint now) {
  if (!this->begun_at) this->begun_at = now;
}

TimePoint StopSchedule::AcceptEnd() const {
  return std::min(
      this->begun_at.value_or(TimePoint()) + this->options.balancer_delay,
      this->At(this->options.max_balancer_fraction));
}

TimePoint StopSchedule::AnswerEnd() const {
  return this->At(this->options.answer_fraction);
}

TimePoint StopSchedule::End() const {
  return this->At(this->options.end_fraction);
}

bool StopSchedule::MaySend(TimePoint now, const StopRequest& request) const {
  if (!this->begun_at) return true;
  const TimePoint last_end = this->AnswerEnd() - this->options.slack;
  if (now >= last_end) return false;
  if (request.deadline <= last_end) return true;

  const Duration rest = last_end - now;
  if (now < this->AcceptEnd()) return this->MaySendEarly(rest, request);
  if (request.is_stream) return this->MaySendLateStream(rest, request);
  return request.longest_answer && *request.longest_answer <= rest;
}

bool StopSchedule::MaySendEarly(Duration rest,
                                const StopRequest& request) const {
  if (request.is_stream && request.longest_of_events &&
      *request.longest_of_events <= rest) {
    return true;
  }
  return !request.longest_answer || *request.longest_answer <= rest;
}

bool StopSchedule::MaySendLateStream(Duration rest,
                                     const StopRequest& request) const {
  std::optional<Duration> longest = request.longest_of_events;
  if (!request.limits_events) {
    // A request that begins so late came on a kept connection or on one of the
    // last that were accepted. Nothing bounds it, and another VM can serve it.
    if (request.begun_at >= this->AcceptEnd()) return false;
    longest = std::max(request.longest_answer, request.longest_in_period);
  }
  if (!longest) return false;
  const auto needed = std::chrono::duration_cast<Duration>(
      *longest * this->options.late_stream_factor);
  return needed <= rest;
}

TimePoint StopSchedule::At(double fraction) const {
  return this->begun_at.value_or(TimePoint()) +
         std::chrono::duration_cast<Duration>(this->options.grace * fraction);
}

}  // namespace fuchsiadrum::serving
