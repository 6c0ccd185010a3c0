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
/// first event: a long prompt is read in silence.
constexpr Duration kLeastStall = std::chrono::milliseconds(700);
constexpr double kStallFactor = 3.0;

/// True if an attempt should end because nothing comes from its upstream.
/// `silence` is that of the upstream on all connections, `waited` the time
/// since the attempt was sent or got its last event.
bool IsStalled(const Route& route, Duration silence, Duration waited,
               double expected_ms);

/// True if another attempt is allowed by the route's kind and bounds. The
/// fleet's allowance of repeats is asked besides.
bool MayRepeat(const Route& route, const AttemptState& state);

/// What follows; `repeat` says that another attempt is possible.
NextStep StepAfter(const Route& route, const AttemptState& state, bool repeat);

}  // namespace fuchsiadrum::serving
