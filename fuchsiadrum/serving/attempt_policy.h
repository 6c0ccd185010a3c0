#pragma once

#include <string_view>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/serving_config.h"

namespace fuchsiadrum::serving {

/// How one attempt at an upstream ended.
enum class AttemptOutcome {
  kComplete,
  kNotSent,       // no byte of the request left
  kRejected,      // the upstream says that it did not run the request
  kFailed,        // the upstream ran the request and answered with a failure
  kBroken,        // sent, and no whole answer came
  kBrokenMidway,  // part of the stream has reached the caller
  kCallerGone,
  kTimedOut,  // the request's time is over
  kWithheld,  // the upstream may get no request any more; no byte left
};

/// Name of an outcome, for log lines and metrics.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

/// What the gateway does after an attempt.
enum class NextStep {
  kDone,     // the caller has its answer
  kRetry,    // send the request to another upstream
  kRelay,    // give the upstream's failure to the caller
  kRefuse,   // answer that the request did not run
  kGiveUp,   // answer that it failed, without a promise
  kTimeOut,  // answer that its time is over
  kAbort,    // end the caller's connection
};

/// What is known when an attempt has ended.
struct AttemptState {
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  /// Attempts that may have run the request, this one included.
  int runs = 0;
  /// Attempts that did not run it.
  int misses = 0;
  /// Part of an answer has reached the caller.
  bool delivered = false;
  Duration time_left = Duration::zero();
};

/// Attempts that did not run after which a request is refused: the caller's own
/// retry meets another gateway with other beliefs.
constexpr int kMostMisses = 3;
/// Time below which another attempt has no chance; a connection and the
/// shortest service call take about this long.
constexpr Duration kLeastTimeForAttempt = std::chrono::milliseconds(30);

/// Least silence of an upstream after which a request that may run again is
/// taken away from it, and the same as a multiple of the time expected for a
/// first event: under load an engine reads prompts for a second without making
/// an event, and callers leave a silent stream after four.
constexpr Duration kLeastStall = std::chrono::milliseconds(1500);
constexpr double kStallFactor = 4.0;

/// What is known of an attempt under way.
struct StallState {
  /// Silence of the upstream on all connections.
  Duration silence = Duration::zero();
  /// Time since the attempt was sent or got its last event.
  Duration waited = Duration::zero();
  /// Time that was expected for a first event.
  double expected_ms = 0;
  /// Attempts that may have run the request, this one included.
  int runs = 1;
};

/// True if an attempt should end because nothing comes from its upstream. Never
/// the last one: silence alone is no reason to end an answer.
bool IsStalled(const Route& route, const StallState& state);

/// True if another attempt is allowed by the route's kind and bounds. The
/// fleet's allowance of repeats is asked besides.
bool MayRepeat(const Route& route, const AttemptState& state);

/// True if the attempt reached its upstream, so that another one is a repeat in
/// the fleet's allowance.
bool HasArrived(AttemptOutcome outcome);

/// What follows; `repeat` says that another attempt is possible.
NextStep StepAfter(const Route& route, const AttemptState& state, bool repeat);

}  // namespace fuchsiadrum::serving
