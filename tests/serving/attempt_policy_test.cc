#include "fuchsiadrum/serving/attempt_policy.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class AttemptPolicyTest : public testing::Test {
 protected:
  static Route RouteOf(RequestKind kind, int attempt_limit,
                       bool resumable = false) {
    Route route;
    route.kind = kind;
    route.attempt_limit = attempt_limit;
    route.resumable = resumable;
    return route;
  }
  static AttemptState After(AttemptOutcome outcome, int runs, int unexecuted) {
    return {.outcome = outcome,
            .runs = runs,
            .unexecuted = unexecuted,
            .time_left = std::chrono::seconds(1)};
  }
};

// Guards against an unsafe request, such as a booking, that runs twice.
TEST_F(AttemptPolicyTest, UnsafeRequest_BrokenAfterSending_IsNeverRetried) {
  const Route route = RouteOf(RequestKind::kUnsafe, 3);
  const AttemptState state = After(AttemptOutcome::kBroken, 1, 0);

  EXPECT_FALSE(MayRetry(route, state));
  EXPECT_EQ(StepAfter(route, state, true), NextStep::kGiveUp);
}

// Guards against the answer "not run" for a request that may have run.
TEST_F(AttemptPolicyTest, Rejection_AfterARun_IsNotAnsweredAsNotRun) {
  const Route route = RouteOf(RequestKind::kSafe, 2);

  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kRejected, 1, 3), true),
            NextStep::kGiveUp);
  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kRejected, 0, 3), true),
            NextStep::kRefuse);
}

// Guards against a stream that is begun again in the middle of another one.
TEST_F(AttemptPolicyTest, DeliveredStream_WithoutResumePoint_IsNotRetried) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);
  AttemptState state = After(AttemptOutcome::kBrokenMidway, 1, 0);
  state.delivered = true;
  EXPECT_TRUE(MayRetry(route, state));

  state.can_resume = false;
  EXPECT_FALSE(MayRetry(route, state));
  EXPECT_EQ(StepAfter(route, state, true), NextStep::kAbort);
}

// While upstreams crash, connections fail. Attempts that reached no upstream
// must not use up the retry allowance of requests that did reach one.
TEST_F(AttemptPolicyTest, OnlyWhatReachedAnUpstream_CountsAsRetry) {
  EXPECT_FALSE(ReachedUpstream(AttemptOutcome::kNotSent));
  EXPECT_FALSE(ReachedUpstream(AttemptOutcome::kWithheld));
  EXPECT_TRUE(ReachedUpstream(AttemptOutcome::kRejected));
  EXPECT_TRUE(ReachedUpstream(AttemptOutcome::kBroken));
}

TEST_F(AttemptPolicyTest, Rejection_OfUnsafeRequest_GoesToAnotherUpstream) {
  const Route route = RouteOf(RequestKind::kUnsafe, 1);

  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kRejected, 0, 1), true),
            NextStep::kRetry);
}

TEST_F(AttemptPolicyTest, ResumableStream_BrokenMidway_IsResumedElsewhere) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);

  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kBrokenMidway, 1, 0), true),
            NextStep::kRetry);
  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kBrokenMidway, 2, 0), true),
            NextStep::kAbort);
}

TEST_F(AttemptPolicyTest, PlainStream_BrokenMidway_ClosesTheConnection) {
  const Route route = RouteOf(RequestKind::kStreaming, 2);

  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kBrokenMidway, 1, 0), true),
            NextStep::kAbort);
}

// Guards against a second answer inside the first: when the second upstream of
// a resumed stream rejected the request, a 503 was written into the middle of
// the first upstream's answer.
TEST_F(AttemptPolicyTest, ResumedStream_AnyFailure_ClosesTheConnection) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kNotSent, AttemptOutcome::kRejected,
        AttemptOutcome::kFailed, AttemptOutcome::kBroken,
        AttemptOutcome::kTimedOut}) {
    AttemptState state = After(outcome, 2, kMaxUnexecutedAttempts);
    state.delivered = true;
    EXPECT_EQ(StepAfter(route, state, false), NextStep::kAbort)
        << AttemptOutcomeName(outcome);
  }
}

// Guards against giving up an answer that is only late: the last allowed
// upstream of a stream was silent for 0.7 s under the load after a cold start.
TEST_F(AttemptPolicyTest, LastAttempt_OnASilentUpstream_IsNeverEnded) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);
  StallState state = {.silence = std::chrono::seconds(3),
                      .waited = std::chrono::seconds(3),
                      .expected_ms = 100,
                      .runs = 1};
  EXPECT_TRUE(IsStalled(route, state));
  state.runs = 2;
  EXPECT_FALSE(IsStalled(route, state));
}

TEST_F(AttemptPolicyTest, BusyUpstream_SilentForASecond_IsLeftAlone) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);
  EXPECT_FALSE(IsStalled(route, {.silence = std::chrono::seconds(1),
                                 .waited = std::chrono::seconds(1),
                                 .expected_ms = 100}));
  EXPECT_FALSE(IsStalled(route, {.silence = std::chrono::seconds(3),
                                 .waited = std::chrono::milliseconds(200),
                                 .expected_ms = 100}));
}

TEST_F(AttemptPolicyTest, PlainStream_OnASilentUpstream_IsLeftAlone) {
  const Route route = RouteOf(RequestKind::kStreaming, 2);
  EXPECT_FALSE(IsStalled(route, {.silence = std::chrono::seconds(3),
                                 .waited = std::chrono::seconds(3)}));
}

TEST_F(AttemptPolicyTest, Attempt_WithoutTimeLeft_IsNotRetried) {
  const Route route = RouteOf(RequestKind::kSafe, 2);
  AttemptState state = After(AttemptOutcome::kBroken, 1, 0);
  state.time_left = kMinTimeForAttempt / 2;

  EXPECT_FALSE(MayRetry(route, state));
}

TEST_F(AttemptPolicyTest, TimeOut_BeforeSending_IsRefusedAsNotRun) {
  const Route route = RouteOf(RequestKind::kUnsafe, 1);

  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kTimedOut, 0, 1), false),
            NextStep::kRefuse);
  EXPECT_EQ(StepAfter(route, After(AttemptOutcome::kTimedOut, 1, 0), false),
            NextStep::kTimeOut);
}

// Guards against a stream that is ended as complete although nothing proves it,
// or withdrawn although nothing contradicts it.
TEST_F(AttemptPolicyTest, UnprovenEnd_IsResumedIfPossible_ElseEndedAsReceived) {
  AttemptState state = After(AttemptOutcome::kUnprovenEnd, 1, 0);
  state.delivered = true;
  state.may_be_whole = true;
  const Route resumable = RouteOf(RequestKind::kStreaming, 2, true);
  EXPECT_EQ(StepAfter(resumable, state, true), NextStep::kRetry);
  EXPECT_EQ(StepAfter(resumable, state, false), NextStep::kDone);
  EXPECT_EQ(StepAfter(RouteOf(RequestKind::kStreaming, 2), state, true),
            NextStep::kDone);

  // The caller's answer has a mark of its end, which may not be given.
  state.may_be_whole = false;
  EXPECT_EQ(StepAfter(resumable, state, false), NextStep::kAbort);
}

// What had arrived is not lost because the request for the rest fails.
TEST_F(AttemptPolicyTest, FailedRequestForTheRest_LeavesTheEndAsReceived) {
  const Route route = RouteOf(RequestKind::kStreaming, 2, true);
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kNotSent, AttemptOutcome::kRejected,
        AttemptOutcome::kBrokenMidway, AttemptOutcome::kTimedOut}) {
    AttemptState state = After(outcome, 2, 0);
    state.delivered = true;
    state.may_be_whole = true;
    EXPECT_EQ(StepAfter(route, state, false), NextStep::kDone);
  }
  AttemptState gone = After(AttemptOutcome::kCallerGone, 2, 0);
  gone.delivered = true;
  gone.may_be_whole = true;
  EXPECT_EQ(StepAfter(route, gone, false), NextStep::kAbort);
}

}  // namespace
}  // namespace fuchsiadrum::serving
