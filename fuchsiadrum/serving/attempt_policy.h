#pragma once

#include <string_view>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/serving_config.h"

namespace fuchsiadrum::serving {

/// How one attempt to run a request at an upstream ended.
enum class AttemptOutcome {
  kComplete,
  kNotSent,       // no connection could be opened; no byte was sent
  kRejected,      // the upstream reports that it did not run the request
  kFailed,        // the upstream ran the request and answered with an error
  kBroken,        // sent, but no complete answer was received
  kBrokenMidway,  // failed after part of the stream had reached the caller
  kCallerGone,    // the caller closed its connection
  kTimedOut,      // the request's deadline has passed
  kWithheld,      // not sent: the upstream became ineligible meanwhile
  kUnprovenEnd,   // a stream that may be whole (StreamEnd::kUnproven)
};

/// Returns the name of an outcome as used in log lines and metrics.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

/// What the gateway does after an attempt.
enum class NextStep {
  kDone,     // end the answer: the caller has all of it that is known
  kRetry,    // send the request to another upstream
  kRelay,    // forward the upstream's error to the caller
  kRefuse,   // answer that the request was not run
  kGiveUp,   // answer that it failed; it may have run
  kTimeOut,  // answer that its deadline has passed; it may have run
  kAbort,    // close the caller's connection
};

/// State of a request at the end of an attempt.
struct AttemptState {
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  /// Number of attempts that may have run the request, including this one.
  int runs = 0;
  /// Number of attempts that certainly did not run it.
  int unexecuted = 0;
  /// True if part of an answer has reached the caller.
  bool delivered = false;
  /// True if another upstream can be told where to go on with a stream of which
  /// a part was delivered.
  bool can_resume = true;
  /// True if an attempt has ended at StreamEnd::kUnproven, none has added an
  /// event since, and the caller's answer, too, ends with its connection.
  bool may_be_whole = false;
  Duration time_left = Duration::zero();
};

/// Number of attempts that did not run the request after which it is refused.
/// The caller's own retry may reach another gateway, which has a different view
/// of the upstreams.
constexpr int kMaxUnexecutedAttempts = 3;
/// No attempt is started with less time left than this: opening a connection
/// and the shortest service call take about this long.
constexpr Duration kMinTimeForAttempt = std::chrono::milliseconds(30);

/// Pause before a request is sent again to an upstream that was full.
constexpr Duration kFullUpstreamPause = std::chrono::milliseconds(80);
/// A request with less time left than this is not sent to a full upstream
/// again: it would wait there in the queue.
constexpr Duration kMinTimeForFullUpstream = std::chrono::milliseconds(300);

/// An attempt of an idempotent request counts as stalled when its upstream has
/// been silent for the larger of kMinStallTime and kStallFactor times the
/// expected time to the first event. Under load an engine can process prompts
/// for a second without producing an event, and callers abandon a silent stream
/// after four seconds.
constexpr Duration kMinStallTime = std::chrono::milliseconds(1500);
constexpr double kStallFactor = 4.0;

/// State of an attempt that is in progress.
struct StallState {
  /// Time since the upstream last sent anything on any connection to this
  /// gateway; zero while that is short (FleetUpstream::Silence).
  Duration silence = Duration::zero();
  /// Time since the attempt sent the request or last received bytes of a
  /// stream.
  Duration waited = Duration::zero();
  /// Expected time to the first event.
  double expected_ms = 0;
  /// Number of attempts that may have run the request, including this one.
  int runs = 1;
};

/// Returns true if an attempt should be ended because its upstream is silent.
/// The last allowed attempt never counts as stalled: silence alone is no reason
/// to give up an answer when no other upstream can be tried.
bool IsStalled(const Route& route, const StallState& state);

/// Returns true if the route's request kind and limits allow another attempt.
/// The caller must check the fleet's retry allowance as well.
bool MayRetry(const Route& route, const AttemptState& state);

/// Returns true if a request that no other upstream can take may be sent again,
/// after kFullUpstreamPause, to those that have rejected it. A copy of the
/// first rejection cannot be told from a second one, so the request must be one
/// that may run twice.
bool MayRepeatAtFullUpstream(const Route& route, const AttemptState& state);

/// Returns true if the attempt may have reached its upstream. Another attempt
/// then counts as a retry against the fleet's retry allowance.
bool ReachedUpstream(AttemptOutcome outcome);

/// Returns true if the exchange with the upstream ended without a whole answer.
bool IsWithoutWholeAnswer(AttemptOutcome outcome);

/// Returns what to do after an attempt. `may_retry` is false if another attempt
/// is ruled out for reasons outside `route` and `state`.
NextStep StepAfter(const Route& route, const AttemptState& state,
                   bool may_retry);

}  // namespace fuchsiadrum::serving
