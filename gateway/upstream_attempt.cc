#include "gateway/upstream_attempt.h"

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"
#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {

using serving::AttemptOutcome;

UpstreamAttempt::UpstreamAttempt(
    GatewayCore& gateway_core, const ActiveRequest& active_request,
    const serving::PlacementChoice& placement_choice)
    : core(gateway_core), active(active_request), choice(placement_choice) {
  const auto taken = this->core.Upstreams().TakePermit(Now(), this->Upstream(),
                                                       this->active.Priority());
  if (taken) this->permit = *taken;
}

void UpstreamAttempt::Begin() {
  serving::FleetUpstream& upstream = this->Upstream();
  upstream.OnDispatch(Now());
  upstream.pending_tokens += this->choice.uncached_tokens;
  this->was_begun = true;
  this->prompt_pending = true;
}

bool UpstreamAttempt::MaySend() const {
  if (this->permit.of_limit) this->core.SharedLimits().CheckLease();
  this->core.CheckPause();
  const TimePoint now = Now();
  if (!this->core.AreEvacuationsUnknown(now) &&
      this->core.Upstreams().MaySend(now, this->Upstream(), this->permit)) {
    return true;
  }
  this->CountWithheld();
  return false;
}

void UpstreamAttempt::CountWithheld() const {
  const serving::UpstreamDirectory& directory = this->core.Upstreams();
  const TimePoint now = Now();
  if (directory.IsEvacuated(this->Upstream()) ||
      this->core.AreEvacuationsUnknown(now)) {
    this->core.Metrics().CountWithheld("evacuated");
  } else if (directory.IsCold(now, this->Upstream())) {
    this->core.Metrics().CountWithheld("cold");
  }
}

void UpstreamAttempt::Send(HttpConnection& connection,
                           std::optional<uint64_t> last_event) {
  serving::UpstreamCall call;
  call.upstream_id = this->Upstream().entry.id;
  call.time_left = this->active.TimeLeft();
  call.priority = this->active.Priority();
  call.last_event = last_event;
  if (this->active.organisation != nullptr) {
    call.organisation = this->active.organisation->name;
  }

  this->sent_at = Now();
  this->last_progress = this->sent_at;
  this->was_sent = true;
  this->core.Upstreams().OnSend(this->sent_at, this->Upstream(), this->permit);
  if (this->permit.of_limit) {
    this->core.Metrics().CountLimitedSend(this->active.service);
  }
  const serving::CallerRequest& request = this->active.request;
  connection.RememberRequest(request.id);
  connection.StartSend(platform::EncodeUpstreamRequest(request, call),
                       std::shared_ptr<const std::string>(
                           this->active.shared_request, &request.body));
}

void UpstreamAttempt::OnBytesReceived() {
  this->last_progress = Now();
  this->Upstream().OnBytesReceived(this->last_progress);
}

void UpstreamAttempt::OnEvents(int count) {
  this->last_event_at = Now();
  if (this->first_event_at) {
    this->later_events += count;
  } else {
    this->first_event_at = this->last_event_at;
  }
}

serving::AnswerTime UpstreamAttempt::Time(TimePoint now) const {
  serving::AnswerTime time = {.total = now - this->sent_at};
  if (!this->first_event_at) return time;
  time.first_event = *this->first_event_at - this->sent_at;
  if (this->later_events > 0) {
    time.event_interval =
        (this->last_event_at - *this->first_event_at) / this->later_events;
  }
  return time;
}

void UpstreamAttempt::OnFirstByte() {
  this->EndPending();
  const TimePoint now = Now();
  serving::FleetUpstream& upstream = this->Upstream();
  const double expected_ms = this->choice.expected_ms;
  const double ratio = expected_ms > 0 ? ToMilliseconds(now - this->sent_at) *
                                             upstream.Slowness() / expected_ms
                                       : 0;
  upstream.OnSuccess(now, ratio);
}

void UpstreamAttempt::OnMisdirected() {
  serving::UpstreamDirectory& directory = this->core.Upstreams();
  directory.OnMisdirected(this->Upstream(), this->sent_at);
  directory.EraseMisdirected(this->Upstream());
}

void UpstreamAttempt::End() {
  if (!this->was_sent) {
    this->core.Upstreams().ReturnPermit(Now(), this->Upstream(), this->permit);
  }
  this->permit = {};
  if (!this->was_begun) return;
  this->was_begun = false;
  this->Upstream().OnEnd();
  this->EndPending();
}

void UpstreamAttempt::RecordOutcome(AttemptOutcome outcome) {
  this->core.Metrics().CountAttempt(this->active.service,
                                    serving::AttemptOutcomeName(outcome));
  if (this->is_excused) return;
  serving::FleetUpstream& upstream = this->Upstream();
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      upstream.OnUnreachable(Now());
      this->core.OnUpstreamLost(upstream.entry);
      break;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBrokenMidway:
      upstream.OnFailure(Now());
      this->core.OnUpstreamLost(upstream.entry);
      break;
    case AttemptOutcome::kRejected:
      upstream.OnFailure(Now());
      break;
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kComplete:
    case AttemptOutcome::kUnprovenEnd:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kTimedOut:
      break;
  }
}

bool UpstreamAttempt::IsStalled(TimePoint now, int runs) const {
  if (!this->was_sent) return false;
  const serving::StallState state = {.silence = this->Upstream().Silence(now),
                                     .waited = now - this->last_progress,
                                     .expected_ms = this->choice.expected_ms,
                                     .runs = runs + 1};
  return serving::IsStalled(*this->active.route, state);
}

void UpstreamAttempt::EndPending() {
  if (!this->prompt_pending) return;
  this->Upstream().pending_tokens -= this->choice.uncached_tokens;
  this->prompt_pending = false;
}

}  // namespace fuchsiadrum::gateway
