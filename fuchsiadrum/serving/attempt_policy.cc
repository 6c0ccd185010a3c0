#include "fuchsiadrum/serving/attempt_policy.h"

#include <algorithm>
#include <array>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "complete",      "not-sent",    "rejected",  "failed",   "broken",
      "broken-midway", "caller-gone", "timed-out", "withheld", "unproven-end"};
  return kNames[static_cast<size_t>(outcome)];
}

bool IsStalled(const Route& route, const StallState& state) {
  if (!route.IsIdempotent() || state.runs >= route.attempt_limit) return false;
  const Duration expected = FromMilliseconds(kStallFactor * state.expected_ms);
  const Duration limit = std::max(kMinStallTime, expected);
  return state.silence > limit && state.waited > limit;
}

bool MayRetry(const Route& route, const AttemptState& state) {
  if (state.time_left < kMinTimeForAttempt) return false;
  if (state.delivered && !state.can_resume) return false;
  switch (state.outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kRejected:
      return state.unexecuted < kMaxUnexecutedAttempts;
    case AttemptOutcome::kFailed:
      return route.kind == RequestKind::kSafe &&
             state.runs < route.attempt_limit;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBrokenMidway:
    case AttemptOutcome::kUnprovenEnd:
      return route.IsIdempotent() && state.runs < route.attempt_limit;
    case AttemptOutcome::kComplete:
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kTimedOut:
      return false;
  }
  return false;
}

bool MayRepeatAtFullUpstream(const Route& route, const AttemptState& state) {
  return route.IsIdempotent() && state.outcome == AttemptOutcome::kRejected &&
         state.time_left >= kMinTimeForFullUpstream && MayRetry(route, state);
}

bool ReachedUpstream(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kNotSent &&
         outcome != AttemptOutcome::kWithheld;
}

bool IsWithoutWholeAnswer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kBrokenMidway ||
         outcome == AttemptOutcome::kTimedOut;
}

NextStep StepAfter(const Route& route, const AttemptState& state,
                   bool may_retry) {
  if (may_retry && MayRetry(route, state)) return NextStep::kRetry;
  // After part of an answer was delivered, no other answer can be sent.
  if (state.delivered && state.outcome != AttemptOutcome::kComplete) {
    const bool has_left = state.outcome == AttemptOutcome::kCallerGone;
    return state.may_be_whole && !has_left ? NextStep::kDone : NextStep::kAbort;
  }
  switch (state.outcome) {
    case AttemptOutcome::kComplete:
      return NextStep::kDone;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kRejected:
      // A refusal states that no attempt ran the request.
      return state.runs == 0 ? NextStep::kRefuse : NextStep::kGiveUp;
    case AttemptOutcome::kFailed:
      return NextStep::kRelay;
    case AttemptOutcome::kBroken:
      return NextStep::kGiveUp;
    case AttemptOutcome::kTimedOut:
      return state.runs == 0 ? NextStep::kRefuse : NextStep::kTimeOut;
    case AttemptOutcome::kBrokenMidway:
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kUnprovenEnd:
      return NextStep::kAbort;
  }
  return NextStep::kAbort;
}

}  // namespace fuchsiadrum::serving
