#pragma once

#include <optional>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of a planned stop.
struct StopScheduleOptions {
  /// Time from the stop signal until the process is killed.
  Duration grace = std::chrono::seconds(8);
  /// Time in which the load balancer may still send new callers. It checks
  /// readiness once a second and removes a VM after two failed checks.
  Duration balancer_delay = std::chrono::milliseconds(2800);
  /// Fraction of `grace` that the wait for the balancer takes at most.
  double max_balancer_fraction = 0.5;
  /// Fraction of `grace` after which requests that are still open are ended.
  double answer_fraction = 0.94;
  /// Fraction of `grace` after which the process ends in any case. The time
  /// before is for writing the last answers and giving tokens back.
  double end_fraction = 0.985;
  /// A stream that is sent after AcceptEnd must have this many times the time
  /// left that it is estimated to take at most: a stream that has begun can
  /// only be cut.
  double late_stream_factor = 2;
  /// Time between the end of an answer at the upstream and at the caller, and
  /// the error of the timers.
  Duration slack = std::chrono::milliseconds(100);
};

/// What is known about a request that may be sent to an upstream.
struct StopRequest {
  /// When its caller or its route ends it.
  TimePoint deadline;
  /// When its first byte arrived.
  TimePoint begun_at;
  /// The longest of the last answers of its route; nullopt: unknown.
  std::optional<Duration> longest_answer;
  /// The same over a longer time; nullopt: unknown.
  std::optional<Duration> longest_in_period;
  /// True if its answer is forwarded in parts. Once such an answer has begun,
  /// it can only be cut.
  bool is_stream = false;
  /// True if the request limits the number of events of its stream.
  bool limits_events = false;
  /// Time of a stream of as many events as the request allows; nullopt:
  /// unknown.
  std::optional<Duration> longest_of_events;
};

/// Decides what a stopping gateway may still begin, and when it ends what is
/// open.
class StopSchedule {
 public:
  explicit StopSchedule(const StopScheduleOptions& opts) : options(opts) {}

  /// To be called when the stop begins; further calls change nothing.
  void Begin(TimePoint now);
  bool HasBegun() const { return this->begun_at.has_value(); }

  /// Time until which new connections are accepted.
  TimePoint AcceptEnd() const;
  /// Time at which requests that have no answer yet are ended.
  TimePoint AnswerEnd() const;
  /// Time at which the process ends.
  TimePoint End() const;

  /// True if the request may be sent to an upstream. Until AcceptEnd it is sent
  /// unless it is expected to end too late. Later it must be known to end in
  /// time, by its deadline, or else
  /// - a stream by the events that it may have. What other streams have taken
  ///   says nothing about it. It decides only for a stream that states no limit
  ///   and whose caller began to send it before AcceptEnd.
  /// - another request by the longest of the last answers of its route: at the
  ///   end of the stop it still gets a status, and is not cut.
  bool MaySend(TimePoint now, const StopRequest& request) const;

 private:
  TimePoint At(double fraction) const;
  bool MaySendEarly(Duration rest, const StopRequest& request) const;
  bool MaySendLateStream(Duration rest, const StopRequest& request) const;

  StopScheduleOptions options;
  std::optional<TimePoint> begun_at;
};

}  // namespace fuchsiadrum::serving
