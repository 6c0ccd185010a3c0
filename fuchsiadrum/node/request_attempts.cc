// The ends of attempts and requests of RequestPipeline.
#include <algorithm>
#include <chrono>
#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/node/request_pipeline.h"

namespace fuchsiadrum::node {
namespace {

int ToSeconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
  return static_cast<int>(seconds.count());
}

routing::FailureKind ToFailure(const AttemptEvent& event) {
  if (event.upstream_leaving) return routing::FailureKind::kLeaving;
  switch (event.kind) {
    case AttemptEventKind::kNotSent:
      return routing::FailureKind::kNotSent;
    case AttemptEventKind::kRejected:
      return routing::FailureKind::kRejected;
    case AttemptEventKind::kSilent:
      return routing::FailureKind::kSilent;
    case AttemptEventKind::kCallerGone:
      return routing::FailureKind::kCancelled;
    default:
      return routing::FailureKind::kBroken;
  }
}

bool CertainlyNotRun(AttemptEventKind kind) {
  return kind == AttemptEventKind::kNotSent ||
         kind == AttemptEventKind::kRejected;
}

}  // namespace

void RequestPipeline::OnAttempt(TimePoint now, const AttemptEvent& event,
                                Outbox& out) {
  ActiveRequest* request = this->Find(event.handle);
  if (request == nullptr) return;
  if (event.kind == AttemptEventKind::kCallerGone) {
    this->OnCallerGone(now, *request, event, out);
    this->Advance(now, out);
    return;
  }
  // Events of an older attempt say nothing about the present one.
  if (event.attempt != request->attempt || !request->dispatch) return;

  if (event.kind == AttemptEventKind::kFirstToken) {
    this->OnFirstToken(now, *request);
  } else if (event.kind == AttemptEventKind::kCompleted) {
    this->OnCompleted(now, *request, event, out);
  } else {
    this->OnFailedAttempt(now, *request, event, out);
  }
  this->Advance(now, out);
}

void RequestPipeline::OnFirstToken(TimePoint now, ActiveRequest& request) {
  this->parts.router.OnFirstToken(now, *request.dispatch);
  if (!request.first_token) request.first_token = now;
}

void RequestPipeline::OnCompleted(TimePoint now, ActiveRequest& request,
                                  const AttemptEvent& event, Outbox& out) {
  const Tokens estimate = request.start.prompt_bound + event.streamed;
  const Tokens used = event.used.value_or(estimate);
  this->parts.router.OnFinished(now, *request.dispatch, event.streamed);
  request.dispatch.reset();

  request::Completion completion{.ran = true, .outcome_known = true};
  if (event.answer) completion.stored = *event.answer;
  completion.stored.set_status(static_cast<uint32_t>(event.status));
  completion.stored.set_billed(used.count);
  completion.stored.set_outcome(std::string(OutcomeName(Outcome::kComplete)));
  this->Settle(now, request, used);
  this->ReportDone(now, request, completion, out);

  if (!request.answered) {
    RequestEnd end{.organisation = request.plan.organisation,
                   .work_class = request.plan.work_class,
                   .outcome = Outcome::kComplete,
                   .status = event.status,
                   .step = "complete"};
    if (request.first_token) {
      end.first_token = *request.first_token - request.received;
      if (event.streamed.count > 1) {
        end.between_tokens =
            (now - *request.first_token) / (event.streamed.count - 1);
      }
    }
    this->parts.observer.OnRequestEnd(now, end);
  }
  this->Finish(now, request, used);
}

void RequestPipeline::Settle(TimePoint now, ActiveRequest& request,
                             Tokens used) {
  if (request.reservation == 0) return;
  // The home of the key decides whether this run carries the bill.
  this->parts.escrow.Settle(now, request.reservation, used);
  this->unbilled[request.start.request_id] = request.reservation;
  request.reservation = 0;
}

void RequestPipeline::OnFailedAttempt(TimePoint now, ActiveRequest& request,
                                      const AttemptEvent& event, Outbox& out) {
  this->parts.router.OnFailed(now, *request.dispatch, ToFailure(event));
  request.excluded.push_back(request.dispatch->upstream);
  request.dispatch.reset();
  if (!CertainlyNotRun(event.kind)) request.may_have_run = true;
  if (!request.answered && this->TryAgain(now, request, event)) return;

  const Answer answer{
      .status = event.kind == AttemptEventKind::kSilent ? 504 : 502,
      .step = "attempt",
      .reason = event.kind == AttemptEventKind::kSilent
                    ? "the upstream went silent"
                    : "the upstream broke off",
      .retry_after = this->options.unavailable_retry_after};
  if (request.may_have_run) {
    this->EndUncertain(now, request, answer, out);
  } else {
    Answer refusal = answer;
    refusal.status = 503;
    refusal.reason = "no upstream took the request";
    this->EndNotRun(now, request, refusal, out);
  }
}

bool RequestPipeline::TryAgain(TimePoint now, ActiveRequest& request,
                               const AttemptEvent& event) {
  const auto next = this->parts.router.Choose(now, this->Features(request));
  const bool repeatable = request.plan.idempotent || !request.may_have_run;
  const auto decision = this->parts.retries.Decide(
      now, {.idempotent = repeatable,
            .delivered = event.delivered,
            .retries = request.retries,
            .deadline = request.start.deadline,
            .work_class = request.plan.work_class,
            .failed_upstream = request.upstream,
            .next_upstream = next ? this->parts.upstreams.At(*next).name : ""});
  if (decision.verdict != request::RetryVerdict::kRetry) return false;
  ++request.retries;
  request.stage = Stage::kBackoff;
  request.since = now + decision.backoff;
  return true;
}

void RequestPipeline::OnCallerGone(TimePoint now, ActiveRequest& request,
                                   const AttemptEvent& event, Outbox& out) {
  if (request.stage == Stage::kReleasing) return;
  request.answered = true;
  if (request.stage != Stage::kRunning) {
    if (request.may_have_run) {
      this->EndUncertain(now, request, {.step = "caller"}, out);
    } else {
      this->EndNotRun(now, request, {.step = "caller"}, out);
    }
    return;
  }
  // A keyed request runs to its end, so that a retry finds its answer.
  if (!request.start.idempotency_key.empty()) return;

  this->CancelAttempt(now, request);
  // The caller got a part of the answer; the upstream worked for it.
  const Tokens used =
      std::min(request.reserved, request.start.prompt_bound + event.streamed);
  this->Settle(now, request, used);
  this->ReportDone(now, request, {.ran = true, .outcome_known = true}, out);
  this->Finish(now, request, used);
}

void RequestPipeline::CancelAttempt(TimePoint now, ActiveRequest& request) {
  RequestAction cancel;
  cancel.kind = RequestActionKind::kCancel;
  cancel.handle = request.start.handle;
  cancel.attempt = request.attempt;
  this->actions.push_back(std::move(cancel));
  this->parts.router.OnFailed(now, *request.dispatch,
                              routing::FailureKind::kCancelled);
  request.dispatch.reset();
}

void RequestPipeline::Reply(TimePoint now, ActiveRequest& request,
                            const Answer& answer) {
  if (request.answered) return;
  request.answered = true;
  RequestAction action;
  action.kind = RequestActionKind::kReply;
  action.handle = request.start.handle;
  action.attempt = request.attempt;
  action.status = answer.status;
  action.outcome = answer.outcome;
  action.step = answer.step;
  action.reason = answer.reason;
  action.retry_after_s = ToSeconds(answer.retry_after);
  action.stored = answer.stored;
  this->actions.push_back(std::move(action));
  this->parts.observer.OnRequestEnd(now,
                                    {.organisation = request.plan.organisation,
                                     .work_class = request.plan.work_class,
                                     .outcome = answer.outcome,
                                     .status = answer.status,
                                     .step = answer.step});
}

void RequestPipeline::EndNotRun(TimePoint now, ActiveRequest& request,
                                Answer answer, Outbox& out) {
  FD_ASSERT(!request.may_have_run, "pipeline: not-run after a dispatch");
  if (request.reservation != 0) {
    this->reserving.erase(request.reservation);
    this->parts.escrow.Release(now, request.reservation);
    request.reservation = 0;
  }
  this->ReportDone(now, request, {.ran = false, .outcome_known = true}, out);
  if (request.admitted) {
    if (request.stage == Stage::kQueued) {
      this->parts.admission.Abandon(request.start.handle);
    } else {
      this->parts.admission.OnFinished(now, request.start.handle, Tokens(0));
    }
    request.admitted = false;
  }
  answer.outcome = Outcome::kNotRun;
  if (request.start.idempotency_key.empty()) {
    this->Reply(now, request, answer);
    this->Finish(now, request, Tokens(0));
    return;
  }

  // Another request of the same key may have run through another daemon; only
  // the home can rule that out.
  request.held = std::move(answer);
  if (!request.told_to_run) {
    this->OnReleased(now, request, false);
    return;
  }
  request.stage = Stage::kReleasing;
  request.since = now;
}

void RequestPipeline::OnReleased(TimePoint now, ActiveRequest& request,
                                 bool released) {
  FD_ASSERT(request.held.has_value(), "pipeline: no answer is held");
  Answer answer = std::move(*request.held);
  if (!released) {
    answer.outcome = Outcome::kUnknown;
    answer.reason +=
        "; this attempt did not run, an earlier one with the key may have";
  }
  this->Reply(now, request, answer);
  this->Finish(now, request, Tokens(0));
}

void RequestPipeline::EndUncertain(TimePoint now, ActiveRequest& request,
                                   const Answer& answer, Outbox& out) {
  if (request.reservation != 0) {
    this->parts.escrow.Abandon(now, request.reservation);
    request.reservation = 0;
  }
  this->ReportDone(now, request, {.ran = true, .outcome_known = false}, out);
  Answer told = answer;
  told.outcome = request.plan.idempotent ? Outcome::kFailed : Outcome::kUnknown;
  this->Reply(now, request, told);
  this->Finish(now, request, Tokens(0));
}

void RequestPipeline::Expire(TimePoint now, ActiveRequest& request,
                             Outbox& out) {
  const Answer answer{.status = 504,
                      .step = "deadline",
                      .reason = "the deadline passed",
                      .retry_after = this->options.unavailable_retry_after};
  if (request.stage != Stage::kRunning) {
    if (request.may_have_run) {
      this->EndUncertain(now, request, answer, out);
    } else {
      this->EndNotRun(now, request, answer, out);
    }
    return;
  }
  // A stream that has begun is not cut off by its deadline.
  if (request.first_token) return;
  if (!request.start.idempotency_key.empty()) {
    // The run goes on; its result belongs to the key.
    Answer told = answer;
    told.outcome = Outcome::kUnknown;
    this->Reply(now, request, told);
    return;
  }
  this->CancelAttempt(now, request);
  this->EndUncertain(now, request, answer, out);
}

void RequestPipeline::ReportDone(TimePoint now, const ActiveRequest& request,
                                 const request::Completion& completion,
                                 Outbox& out) {
  if (!request.told_to_run) {
    this->parts.claims.Abandon(now, request.start.request_id, out);
    return;
  }
  this->parts.claims.Done(now, request.start.request_id, completion, out);
}

void RequestPipeline::Finish(TimePoint now, ActiveRequest& request,
                             Tokens used) {
  FD_ASSERT(request.reservation == 0,
            "pipeline: request ends with an open reservation");
  if (request.admitted) {
    this->parts.admission.OnFinished(now, request.start.handle, used);
  }
  this->by_id.erase(request.start.request_id);
  this->requests.erase(request.start.handle);
}

}  // namespace fuchsiadrum::node
