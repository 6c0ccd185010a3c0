#include "fuchsiadrum/node/request_pipeline.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::node {
namespace {

constexpr Duration kInProgressRetryAfter = std::chrono::seconds(1);

}  // namespace

void RequestPipeline::OnRequest(TimePoint now, const RequestStart& request,
                                Outbox& out) {
  ActiveRequest active;
  active.start = request;
  active.received = now;
  active.since = now;
  auto plan = MakePlan(this->parts.catalogue, request);
  if (const Refusal* refusal = std::get_if<Refusal>(&plan)) {
    this->Reply(now, active,
                {.status = refusal->status,
                 .step = refusal->step,
                 .reason = refusal->reason});
    return;
  }
  active.plan = std::get<RequestPlan>(std::move(plan));
  if (request.deadline <= now) {
    // A daemon that was paused may find the request of a caller who has tried
    // another daemon since.
    const bool keyed = !request.idempotency_key.empty();
    this->Reply(now, active,
                {.status = 504,
                 .outcome = keyed ? Outcome::kUnknown : Outcome::kNotRun,
                 .step = "deadline",
                 .reason = "the deadline had passed on arrival"});
    return;
  }

  const RequestHandle handle = request.handle;
  FD_ASSERT(!this->requests.contains(handle), "pipeline: handle used twice");
  this->by_id[request.request_id] = handle;
  ActiveRequest& stored =
      this->requests.emplace(handle, std::move(active)).first->second;
  this->Claim(now, stored, out);
  this->Advance(now, out);
}

void RequestPipeline::Claim(TimePoint now, ActiveRequest& request,
                            Outbox& out) {
  request.stage = Stage::kClaiming;
  request.since = now;
  const auto decision =
      this->parts.claims.Ask(now,
                             {.request_id = request.start.request_id,
                              .organisation = request.plan.organisation,
                              .key = request.start.idempotency_key,
                              .idempotent = request.plan.idempotent,
                              .body_digest = request.start.body_digest,
                              .work_class = request.plan.work_class},
                             out);
  if (decision) this->OnDecision(now, request, *decision, out);
}

void RequestPipeline::OnDecision(TimePoint now, ActiveRequest& request,
                                 const request::Decision& decision,
                                 Outbox& out) {
  using request::ClaimOutcome;
  if (decision.outcome == ClaimOutcome::kRun) {
    request.told_to_run = true;
    this->Admit(now, request, out);
    return;
  }

  Answer answer{.step = "claim", .reason = decision.reason.text};
  switch (decision.outcome) {
    case ClaimOutcome::kInProgress:
      answer.status = 409;
      answer.outcome = Outcome::kUnknown;
      answer.reason = "a request with this key is running";
      answer.retry_after = kInProgressRetryAfter;
      break;
    case ClaimOutcome::kDone:
      answer.stored = decision.stored;
      answer.status =
          static_cast<int>(decision.stored ? decision.stored->status() : 500);
      answer.outcome = Outcome::kComplete;
      if (!decision.stored || decision.stored->body().empty()) {
        // It ran before, but its answer cannot be given again.
        answer.stored.reset();
        answer.status = 410;
        answer.outcome = Outcome::kFailed;
        answer.reason = "the call ran before; its answer is no longer kept";
      }
      break;
    case ClaimOutcome::kUnknown:
      answer.status = 409;
      answer.outcome = Outcome::kUnknown;
      break;
    case ClaimOutcome::kRefused:
      // This attempt did not run, but an earlier one with the same key may
      // have, and its home cannot be asked.
      answer.outcome = Outcome::kUnknown;
      answer.retry_after = this->options.unavailable_retry_after;
      break;
    case ClaimOutcome::kKeyReused:
      answer.status = 422;
      answer.reason = "the key was used with another body";
      break;
    case ClaimOutcome::kKeyMissing:
      answer.status = 400;
      answer.reason = "this call needs an Idempotency-Key";
      break;
    case ClaimOutcome::kRun:
      break;
  }
  this->Reply(now, request, answer);
  this->Finish(now, request, Tokens(0));
}

void RequestPipeline::Admit(TimePoint now, ActiveRequest& request,
                            Outbox& out) {
  request.stage = Stage::kQueued;
  request.since = now;
  const auto verdict = this->parts.admission.Offer(
      now, {.handle = request.start.handle,
            .organisation = request.plan.organisation,
            .work_class = request.plan.work_class,
            .tokens = request.plan.worst_case,
            .deadline = request.start.deadline});
  if (verdict.answer == request::AdmissionAnswer::kShed) {
    this->EndNotRun(now, request,
                    {.step = "admit",
                     .reason = std::string(verdict.reason),
                     .retry_after = verdict.retry_after},
                    out);
    return;
  }
  request.admitted = true;
  if (verdict.answer == request::AdmissionAnswer::kStart) {
    this->Reserve(now, request, out);
  }
}

void RequestPipeline::Reserve(TimePoint now, ActiveRequest& request,
                              Outbox& out) {
  request.stage = Stage::kReserving;
  request.since = now;
  if (request.plan.worst_case.count == 0) {
    this->Choose(now, request, out);
    return;
  }
  const TimePoint wait_until =
      std::min(request.start.deadline, now + this->options.budget_wait);
  const auto result = this->parts.escrow.Reserve(
      now, request.plan.organisation, request.plan.worst_case,
      request.plan.minimum, wait_until, out);
  if (result.status == budget::ReserveStatus::kWaiting) {
    request.reservation = result.id;
    this->reserving[result.id] = request.start.handle;
    return;
  }
  this->OnReserved(now, request, result, out);
}

void RequestPipeline::OnReserved(TimePoint now, ActiveRequest& request,
                                 const budget::ReserveResult& result,
                                 Outbox& out) {
  this->reserving.erase(result.id);
  if (result.status == budget::ReserveStatus::kReserved) {
    request.reservation = result.id;
    request.reserved = result.amount;
    this->Choose(now, request, out);
    return;
  }
  request.reservation = 0;
  const bool exhausted = result.reason == budget::RefusalReason::kExhausted ||
                         result.reason == budget::RefusalReason::kNoBudget;
  this->EndNotRun(now, request,
                  {.status = exhausted ? 402 : 503,
                   .step = "reserve",
                   .reason = std::string(budget::RefusalText(result.reason)),
                   .retry_after = result.retry_after},
                  out);
}

void RequestPipeline::Choose(TimePoint now, ActiveRequest& request,
                             Outbox& out) {
  if (request.stage != Stage::kChoosing) {
    request.stage = Stage::kChoosing;
    request.since = now;
  }
  const auto index = this->parts.router.Choose(now, this->Features(request));
  if (index) {
    this->Dispatch(now, request, *index);
    return;
  }
  const bool waited = now - request.since >= this->options.upstream_wait;
  if (!waited) return;
  const std::string reason = this->parts.router.LastReason().text;
  const Answer answer{.step = "choose",
                      .reason = reason,
                      .retry_after = this->options.unavailable_retry_after};
  if (request.may_have_run) {
    this->EndUncertain(now, request, answer, out);
  } else {
    this->EndNotRun(now, request, answer, out);
  }
}

void RequestPipeline::Dispatch(TimePoint now, ActiveRequest& request,
                               upstream::UpstreamIndex index) {
  const upstream::UpstreamState& state = this->parts.upstreams.At(index);
  request.stage = Stage::kRunning;
  request.dispatched = now;
  request.upstream = state.name;
  request.dispatch =
      this->parts.router.OnDispatch(now, index, this->Features(request));
  if (request.attempt == 0) {
    this->parts.retries.OnFirstAttempt(request.plan.work_class, state.name);
  }
  ++request.attempt;

  RequestAction action;
  action.kind = RequestActionKind::kDispatch;
  action.handle = request.start.handle;
  action.attempt = request.attempt;
  action.upstream = state.name;
  action.address = state.address;
  if (request.plan.worst_case.count > 0) {
    action.max_output = request.reserved - request.start.prompt_bound;
    FD_ASSERT(action.max_output.count > 0,
              "pipeline: dispatch without reserved output");
  }
  action.keep_answer = !request.start.idempotency_key.empty();
  this->actions.push_back(std::move(action));
}

void RequestPipeline::Advance(TimePoint now, Outbox& out) {
  for (const auto& shed : this->parts.admission.TakeShed(now)) {
    ActiveRequest* request = this->Find(shed.handle);
    if (request == nullptr) continue;
    request->admitted = false;
    this->EndNotRun(now, *request,
                    {.step = "admit",
                     .reason = std::string(shed.reason),
                     .retry_after = shed.retry_after},
                    out);
  }
  for (const RequestHandle handle :
       this->parts.admission.TakeStarts(now, this->FreeCapacity())) {
    if (ActiveRequest* request = this->Find(handle)) {
      this->Reserve(now, *request, out);
    }
  }
  for (const auto& decision : this->parts.claims.TakeDecisions()) {
    ActiveRequest* request = this->FindById(decision.request_id);
    if (request != nullptr && request->stage == Stage::kClaiming) {
      this->OnDecision(now, *request, decision, out);
    }
  }
  for (const auto& result : this->parts.escrow.TakeFinished()) {
    const auto found = this->reserving.find(result.id);
    if (found == this->reserving.end()) continue;
    if (ActiveRequest* request = this->Find(found->second)) {
      this->OnReserved(now, *request, result, out);
    }
  }
  for (const auto& billing : this->parts.claims.TakeBillings()) {
    ActiveRequest* request = this->FindById(billing.request_id);
    if (request != nullptr && request->stage == Stage::kReleasing) {
      this->OnReleased(now, *request, billing.released);
    }
    const auto found = this->unbilled.find(billing.request_id);
    if (found == this->unbilled.end()) continue;
    this->parts.escrow.Confirm(now, found->second, billing.billed_here);
    this->unbilled.erase(found);
  }
}

void RequestPipeline::OnTick(TimePoint now, Outbox& out) {
  std::vector<RequestHandle> handles;
  handles.reserve(this->requests.size());
  for (const auto& [handle, request] : this->requests) {
    handles.push_back(handle);
  }
  for (const RequestHandle handle : handles) {
    ActiveRequest* request = this->Find(handle);
    if (request == nullptr) continue;
    if (request->stage == Stage::kReleasing) {
      if (now - request->since >= this->options.release_wait) {
        this->OnReleased(now, *request, false);
      }
    } else if (now >= request->start.deadline && !request->answered) {
      this->Expire(now, *request, out);
    } else if (request->stage == Stage::kChoosing ||
               (request->stage == Stage::kBackoff && now >= request->since)) {
      this->Choose(now, *request, out);
    }
  }
  this->Advance(now, out);
}

std::vector<RequestAction> RequestPipeline::TakeActions() {
  return std::exchange(this->actions, {});
}

routing::RequestFeatures RequestPipeline::Features(
    const ActiveRequest& request) const {
  return {.model = request.start.model,
          .service = request.start.service,
          .prefix_hashes = request.start.prefix_hashes,
          .prompt_bound = request.start.prompt_bound,
          .max_output = request.plan.max_output,
          .zone = this->options.availability_zone,
          .excluded = request.excluded};
}

RequestPipeline::ActiveRequest* RequestPipeline::Find(RequestHandle handle) {
  const auto found = this->requests.find(handle);
  return found == this->requests.end() ? nullptr : &found->second;
}

RequestPipeline::ActiveRequest* RequestPipeline::FindById(
    const std::string& request_id) {
  const auto found = this->by_id.find(request_id);
  return found == this->by_id.end() ? nullptr : this->Find(found->second);
}

int RequestPipeline::FreeCapacity() const {
  return this->options.max_in_flight -
         static_cast<int>(this->parts.admission.Running());
}

}  // namespace fuchsiadrum::node
