#include "gateway/request_task.h"

#include <utility>
#include <vector>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/serving/answer_proof.h"
#include "gateway/clock.h"
#include "gateway/request_admission.h"

namespace fuchsiadrum::gateway {
namespace {

using serving::AttemptOutcome;
using serving::NextStep;

/// Timeout for connecting to an upstream. Round trips take a few milliseconds;
/// TCP retransmits a lost SYN only after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
/// Time within which sent bytes must be acknowledged. Round trips take a few
/// milliseconds, and two packets in a row are seldom lost. Requests that must
/// not be repeated wait longer, because the link may recover and their answer
/// still arrive.
constexpr Duration kAckTimeout = std::chrono::milliseconds(900);
constexpr Duration kUnrepeatableAckTimeout = std::chrono::milliseconds(4000);
/// Timeout for reading the body of a rejection. The body is read only so that
/// the connection can be reused; the head already identifies the rejection.
constexpr Duration kRejectionBodyTimeout = std::chrono::milliseconds(50);

}  // namespace

RequestTask::RequestTask(GatewayCore& gateway_core,
                         CallerConnection& caller_connection,
                         serving::CallerRequest caller_request)
    : core(gateway_core),
      caller(caller_connection),
      active(std::move(caller_request), gateway_core.Config()),
      log(gateway_core, active, history),
      tokens(gateway_core.Budgets()),
      reader(gateway_core, active, log),
      relay(caller_connection),
      stream(active, log, relay),
      prompt(gateway_core, active),
      origin(gateway_core, active) {
  this->core.Tasks().insert(this);
}

RequestTask::~RequestTask() { this->core.Tasks().erase(this); }

void RequestTask::CheckStall(TimePoint now) {
  if (!this->current_connection || this->current_attempt == nullptr) return;
  if (this->stream.IsRestOverdue(now, this->active.route->target_gap)) {
    this->current_connection->Close();
    return;
  }
  if (!this->current_attempt->IsStalled(now, this->history.Runs())) return;
  // The retry is taken from the retry allowance before the connection is
  // closed. Without a retry, the attempt at the silent upstream goes on,
  // because it is the only one that can still answer.
  if (!this->core.Retries().Take(now, this->active.service)) return;
  this->retry_granted = true;
  this->current_connection->Close();
}

void RequestTask::EndForStop() {
  this->active.stopped = true;
  if (this->current_connection) this->current_connection->Close();
  if (this->relay.HasBegun() && !this->stream.MayBeWhole()) {
    this->caller.Abort();
  }
}

asio::awaitable<bool> RequestTask::Run() {
  std::optional<GatewayAnswer> refusal = Admit(this->core, this->active);
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }

  refusal = this->prompt.HoldBack(0);
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }
  this->caller.Arm(this->active.deadline,
                   [this](bool gone) { this->OnInterrupt(gone); });
  refusal = co_await this->origin.Find();
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }
  refusal = co_await this->ReserveTokens();
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }

  const ActiveRequest& admitted = this->active;
  this->core.Retries().OnRequest(admitted.arrived, admitted.service);
  this->core.Upstreams().Limits().OnRequest(admitted.arrived, admitted.service,
                                            admitted.Priority());
  const bool complete = co_await this->Serve();
  this->SettleTokens();
  co_return complete;
}

asio::awaitable<std::optional<GatewayAnswer>> RequestTask::ReserveTokens() {
  if (this->active.organisation == nullptr) {
    co_return std::nullopt;
  }
  const budget::ReserveOutcome result = co_await this->tokens.Reserve(
      this->active.organisation->name, this->active.request);
  // The wait for tokens may have taken the time that was left.
  if (result == budget::ReserveOutcome::kReserved &&
      !MaySendInStop(this->core, this->active)) {
    co_return MakeStopAnswer();
  }
  co_return MakeBudgetRefusal(result);
}

void RequestTask::SettleTokens() {
  const std::optional<serving::EngineTraits>& engine = this->active.engine;
  this->tokens.Settle(
      {.runs = this->history.Runs(),
       .events_relayed = this->stream.EventsRelayed(),
       .tokens_per_event = engine ? engine->tokens_per_event : 1});
}

// The coroutines below pass no braced temporaries to calls, because GCC 12
// destroys such temporaries twice.

asio::awaitable<bool> RequestTask::Serve() {
  while (true) {
    std::optional<GatewayAnswer> refusal =
        this->prompt.HoldBack(this->history.Runs());
    std::optional<serving::PlacementChoice> choice;
    if (!refusal) choice = this->ChooseUpstream();
    if (!refusal && !choice) {
      refusal =
          MakeNoUpstreamAnswer(this->core, this->active, this->history.Runs());
    }
    if (refusal) {
      co_return co_await this->EndWithoutAttempt(*refusal);
    }

    UpstreamAttempt attempt(this->core, this->active, *choice);
    this->current_attempt = &attempt;
    const AttemptOutcome outcome = co_await this->RunAttempt(attempt);
    this->current_attempt = nullptr;
    attempt.End();
    attempt.RecordOutcome(outcome);
    this->RecordAnswerTime(attempt, outcome);
    this->history.End(outcome, attempt.WasSent());

    const NextStep step = this->DecideNextStep(outcome);
    const std::string_view reason = this->active.stopped
                                        ? "stopping"
                                        : serving::AttemptOutcomeName(outcome);
    if (step == NextStep::kRetry) {
      if (this->repeats_at_full) {
        co_await this->PauseForFullUpstream();
      }
      continue;
    }
    if (step == NextStep::kAbort) co_return this->AbortAnswer(reason);
    if (step == NextStep::kDone && this->relay.HasBegun()) {
      co_return co_await this->FinishStream();
    }
    if (step == NextStep::kDone || step == NextStep::kRelay) {
      co_return co_await this->RelayWholeAnswer();
    }
    const GatewayAnswer gateway_answer = MakeFailureAnswer(step, reason);
    co_return co_await this->SendGatewayAnswer(gateway_answer);
  }
}

asio::awaitable<void> RequestTask::PauseForFullUpstream() {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  timer.expires_after(serving::kFullUpstreamPause);
  ErrorCode ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::vector<serving::FleetUpstreamPtr> RequestTask::Candidates(
    std::span<const std::string> excluded) const {
  return this->core.Upstreams().Candidates(Now(), this->active.service,
                                           excluded, this->active.Priority(),
                                           this->origin.Filter());
}

std::vector<serving::FleetUpstreamPtr> RequestTask::UntriedUpstreams() const {
  return this->Candidates(this->history.Upstreams());
}

std::optional<serving::PlacementChoice> RequestTask::ChooseUpstream() {
  const TimePoint now = Now();
  const std::vector<serving::FleetUpstreamPtr> candidates =
      this->repeats_at_full ? this->Candidates({}) : this->UntriedUpstreams();
  const serving::CallerRequest& request = this->active.request;
  return this->core.Placer().Choose(
      now, candidates,
      {.parts = request.parts,
       .prompt_tokens = request.prompt_tokens.value_or(Tokens(0)).count,
       .has_prompt = request.prompt_tokens.has_value()});
}

NextStep RequestTask::DecideNextStep(AttemptOutcome outcome) {
  const serving::Route& route = *this->active.route;
  const serving::AttemptState state = {
      .outcome = outcome,
      .runs = this->history.Runs(),
      .unexecuted = this->history.Unexecuted(),
      .delivered = this->relay.HasBegun(),
      .can_resume = this->stream.CanResume(),
      .may_be_whole = this->stream.MayBeWhole(),
      .time_left = this->active.TimeLeft()};
  const TimePoint now = Now();
  const bool has_other = !this->UntriedUpstreams().empty();
  // A full upstream rejects urgent requests as often as others.
  this->repeats_at_full =
      !has_other && serving::MayRepeatAtFullUpstream(route, state) &&
      this->core.Upstreams().Limits().IsMostUrgent(now, this->active.service,
                                                   this->active.Priority());
  // Without another upstream, an upstream's own failure is relayed, and no
  // retry is taken from the allowance.
  const bool has_next =
      has_other || this->repeats_at_full || !serving::ReachedUpstream(outcome);
  const serving::RetryPurpose purpose =
      state.may_be_whole ? serving::RetryPurpose::kConfirmation
                         : serving::RetryPurpose::kFailure;
  const bool may_retry =
      serving::MayRetry(route, state) && has_next && this->prompt.MayRepeat() &&
      !this->stream.IsRestOverdue(now, route.target_gap) &&
      MaySendInStop(this->core, this->active, this->stream.EventsRelayed()) &&
      (this->retry_granted || !serving::ReachedUpstream(outcome) ||
       this->core.Retries().Take(now, this->active.service, purpose));
  this->retry_granted = false;
  return serving::StepAfter(route, state, may_retry);
}

asio::awaitable<bool> RequestTask::EndWithoutAttempt(GatewayAnswer answer) {
  if (!this->relay.HasBegun()) {
    co_return co_await this->SendGatewayAnswer(std::move(answer));
  }
  if (this->stream.MayBeWhole()) {
    co_return co_await this->FinishStream();
  }
  co_return this->AbortAnswer(answer.reason);
}

asio::awaitable<bool> RequestTask::FinishStream() {
  // From here on, neither the deadline nor the watch for the caller's close
  // interrupts the delivery of the answer.
  this->caller.Disarm();
  const serving::UpstreamAnswer& answer = this->reader.Answer();
  const bool may_be_whole = this->stream.MayBeWhole();
  if (may_be_whole && !co_await this->stream.Finish(answer)) {
    co_return this->AbortAnswer("caller gone");
  }
  this->LogEnd(answer.status, "complete",
               may_be_whole ? "end as received" : "");
  co_return true;
}

bool RequestTask::AbortAnswer(std::string_view reason) {
  this->caller.Abort();
  this->LogEnd(0, this->active.caller_gone ? "caller-gone" : "aborted", reason);
  return false;
}

asio::awaitable<AttemptOutcome> RequestTask::RunAttempt(
    UpstreamAttempt& attempt) {
  // The caller may have left, or the deadline may have passed, before there was
  // an attempt that OnInterrupt could end.
  if (this->active.caller_gone) co_return AttemptOutcome::kCallerGone;
  if (this->active.timed_out) co_return AttemptOutcome::kTimedOut;

  this->history.Begin(attempt.Upstream().entry.id);
  attempt.Begin();
  std::shared_ptr<HttpConnection> connection =
      co_await this->OpenConnection(attempt.Upstream());
  // On a busy VM, the event that the caller has closed its connection may still
  // be queued behind others.
  if (this->caller.HasLeft()) this->active.caller_gone = true;
  const bool may_send =
      attempt.MaySend() &&
      MaySendInStop(this->core, this->active, this->stream.EventsRelayed());
  if (connection && (!may_send || this->active.caller_gone)) {
    connection->Close();
    co_return this->active.caller_gone ? AttemptOutcome::kCallerGone
                                       : AttemptOutcome::kWithheld;
  }
  if (!connection) {
    if (this->active.caller_gone) co_return AttemptOutcome::kCallerGone;
    co_return this->active.timed_out ? AttemptOutcome::kTimedOut
                                     : AttemptOutcome::kNotSent;
  }

  const serving::PlacementChoice& choice = attempt.Choice();
  this->figures.expected_ms = choice.expected_ms;
  this->figures.uncached_tokens = choice.uncached_tokens;
  this->figures.candidate_count = choice.candidates;
  this->current_connection = connection;
  connection->SetAckTimeout(this->active.route->IsIdempotent()
                                ? kAckTimeout
                                : kUnrepeatableAckTimeout);
  attempt.Upstream().cache.Use(this->active.request.parts);
  const int relayed_before = this->stream.EventsRelayed();
  this->prompt.OnSend();
  const AttemptOutcome outcome = co_await this->Exchange(attempt, *connection);
  this->log.OnExchangeEnd(*connection);
  if (serving::IsWithoutWholeAnswer(outcome)) {
    const bool has_head = this->reader.HasHead();
    const int events = this->stream.EventsRelayed() - relayed_before;
    this->log.OnBrokenAttempt(*connection, has_head, events, attempt.SentAt());
    this->prompt.OnBroken(attempt, *connection,
                          {.has_head = has_head, .events = events});
  }
  this->current_connection.reset();
  this->ReleaseConnection(attempt.Upstream(), connection, outcome);
  co_return outcome;
}

asio::awaitable<std::shared_ptr<HttpConnection>> RequestTask::OpenConnection(
    const serving::FleetUpstream& upstream) {
  auto connection =
      this->core.Pool().TakeIdle(upstream.entry, this->active.request.id,
                                 this->active.route->IsIdempotent());
  if (connection) co_return connection;

  connection = this->core.Pool().MakeNew();
  this->current_connection = connection;
  connection->ExpireAt(Now() + kConnectTimeout);
  const bool open = co_await connection->Connect(upstream.entry.address);
  connection->NeverExpire();
  this->current_connection.reset();
  // Bytes that are there before the request belong to none, and a connection
  // that was closed by now carries none.
  if (!open || !connection->IsQuiet() || this->active.caller_gone ||
      this->active.timed_out) {
    connection->Close();
    co_return nullptr;
  }
  co_return connection;
}

asio::awaitable<bool> RequestTask::IsStillAlive(
    const serving::FleetUpstream& upstream) {
  // An upstream that is leaving may end right after its last answer.
  if (this->core.Upstreams().EligibilityOf(Now(), upstream) ==
      serving::UpstreamEligibility::kIneligible) {
    co_return true;
  }
  co_return co_await this->core.Crashes().IsAlive(upstream);
}

void RequestTask::ReleaseConnection(
    const serving::FleetUpstream& upstream,
    const std::shared_ptr<HttpConnection>& connection, AttemptOutcome outcome) {
  const bool was_answered = outcome == AttemptOutcome::kComplete ||
                            outcome == AttemptOutcome::kFailed ||
                            outcome == AttemptOutcome::kRejected;
  const serving::UpstreamAnswer& answer = this->reader.Answer();
  if (!was_answered || this->reader.IsFramingDoubtful() ||
      serving::IsFromOtherUpstream(answer)) {
    connection->Close();
    return;
  }
  this->core.Pool().Release(upstream.entry, connection, answer.keep_alive);
}

asio::awaitable<AttemptOutcome> RequestTask::Exchange(
    UpstreamAttempt& attempt, HttpConnection& connection) {
  this->reader.Reset();
  this->origin.OnSend(attempt.Upstream());
  attempt.Send(connection, this->stream.LastEvent());
  if (!co_await this->reader.ReadMatchingHead(attempt, connection)) {
    co_return this->BrokenOutcome();
  }

  const serving::UpstreamAnswer& answer = this->reader.Answer();
  this->figures.framing = serving::AnswerFramingName(answer.framing);
  const serving::AnswerProof proof = serving::ProofOf(answer);
  if (proof == serving::AnswerProof::kNotRun) {
    co_await this->FinishRefusal(attempt, connection);
    co_return AttemptOutcome::kRejected;
  }
  const std::string_view unusable = this->UnusableReason();
  if (!unusable.empty()) {
    this->log.OnUnprovenAnswer(answer, unusable);
    connection.Close();
    co_return this->BrokenOutcome();
  }
  if (proof == serving::AnswerProof::kRan &&
      this->active.route->kind == serving::RequestKind::kStreaming) {
    const StreamHandlers handlers = {
        .on_first = [this, &attempt] { this->RecordFirstByte(attempt); },
        .may_begin =
            [this, &attempt] {
              return this->origin.BeginStream(attempt.Upstream());
            },
        .on_sound = [this, &attempt] { this->prompt.OnSound(attempt); }};
    const AttemptOutcome outcome = co_await this->stream.RelayEvents(
        attempt, connection, answer, handlers);
    // An upstream whose process dies closes its connections, too.
    if (outcome == AttemptOutcome::kUnprovenEnd && this->stream.MayBeWhole() &&
        !co_await this->IsStillAlive(attempt.Upstream())) {
      this->stream.OnUpstreamLost();
      this->prompt.OnUpstreamLost();
      this->log.OnUnprovenAnswer(this->reader.Answer(), "upstream lost");
      co_return this->BrokenOutcome();
    }
    co_return outcome;
  }
  if (!co_await this->reader.ReadWholeBody(connection)) {
    co_return this->BrokenOutcome();
  }
  if (proof == serving::AnswerProof::kRanAndFailed) {
    co_return AttemptOutcome::kFailed;
  }
  this->RecordFirstByte(attempt);
  this->prompt.OnSound(attempt);
  co_return AttemptOutcome::kComplete;
}

asio::awaitable<void> RequestTask::FinishRefusal(UpstreamAttempt& attempt,
                                                 HttpConnection& connection) {
  const serving::UpstreamAnswer& answer = this->reader.Answer();
  this->log.OnRefusal(answer, connection, attempt.SentAt());
  if (connection.KeepsAlive()) {
    connection.ExpireAt(Now() + kRejectionBodyTimeout);
    static_cast<void>(co_await this->reader.ReadWholeBody(connection));
    connection.NeverExpire();
  }
  if (serving::IsFromOtherUpstream(answer)) {
    attempt.OnMisdirected();
  }
}

std::string_view RequestTask::UnusableReason() const {
  const serving::UpstreamAnswer& answer = this->reader.Answer();
  const std::string_view unproven = serving::UnprovenReason(answer);
  if (!unproven.empty()) return unproven;
  if (!this->stream.Continues(answer)) return "not the rest of the stream";
  if (this->active.route->kind == serving::RequestKind::kStreaming &&
      serving::HasNoContent(answer)) {
    return "no content in place of a stream";
  }
  return {};
}

asio::awaitable<bool> RequestTask::RelayWholeAnswer() {
  if (this->relay.HasBegun()) co_return this->AbortAnswer("stream has begun");
  // From here on, neither the deadline nor the watch for the caller's close
  // interrupts the delivery of the complete answer.
  this->caller.Disarm();
  const serving::UpstreamAnswer& answer = this->reader.Answer();
  const bool written =
      co_await this->relay.RelayWhole(answer, this->reader.Body());
  this->LogEnd(answer.status, written ? "complete" : "caller-gone", "");
  co_return written;
}

asio::awaitable<bool> RequestTask::SendGatewayAnswer(
    GatewayAnswer gateway_answer) {
  this->caller.Disarm();
  this->SettleTokens();
  if (this->relay.HasBegun()) co_return this->AbortAnswer("stream has begun");
  if (this->active.caller_gone) {
    this->LogEnd(0, "caller-gone", gateway_answer.reason);
    co_return false;
  }
  const bool written = co_await this->relay.SendGatewayAnswer(
      gateway_answer.status, this->active.request.id,
      gateway_answer.retry_after);
  this->LogEnd(gateway_answer.status, "own-answer", gateway_answer.reason);
  co_return written;
}

void RequestTask::OnInterrupt(bool gone) {
  (gone ? this->active.caller_gone : this->active.timed_out) = true;
  if (this->current_connection) this->current_connection->Close();
  // If part of the answer has been sent, only closing the connection can tell
  // the caller that no more will come. Closing it also ends a write that is
  // blocked because the caller does not read.
  const bool is_cut = this->relay.HasBegun() && !this->stream.MayBeWhole();
  if (gone || is_cut) this->caller.Abort();
}

void RequestTask::RecordAnswerTime(const UpstreamAttempt& attempt,
                                   AttemptOutcome outcome) {
  // An attempt that ran into its deadline took at least that long.
  const bool is_known = outcome == AttemptOutcome::kComplete ||
                        outcome == AttemptOutcome::kUnprovenEnd ||
                        outcome == AttemptOutcome::kTimedOut;
  if (!is_known || !attempt.WasSent()) return;
  const TimePoint now = Now();
  this->core.Times().Add(this->active.route->name, now, attempt.Time(now));
}

void RequestTask::RecordFirstByte(UpstreamAttempt& attempt) {
  attempt.OnFirstByte();
  const TimePoint now = Now();
  const Duration since_arrival = now - this->active.arrived;
  this->core.Metrics().AddFirstByte(this->active.route->name, since_arrival);
  this->figures.first_byte_ms = ToMilliseconds(since_arrival);
  this->figures.attempt_first_byte_ms = ToMilliseconds(now - attempt.SentAt());
}

void RequestTask::LogEnd(int status, std::string_view outcome,
                         std::string_view reason) {
  this->figures.reserved_tokens = this->tokens.Amount();
  this->figures.events_relayed = this->stream.EventsRelayed();
  this->figures.version = this->origin.Version();
  this->log.OnEnd(status, outcome, reason, this->figures);
}

}  // namespace fuchsiadrum::gateway
