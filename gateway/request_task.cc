#include "gateway/request_task.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/serving/answer_proof.h"
#include "gateway/answer_notices.h"
#include "gateway/clock.h"
#include "platform/request_codec.h"

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
/// Number of answers to other requests that are skipped on an upstream
/// connection before the connection is given up.
constexpr int kMaxMismatchedAnswers = 2;
/// Number of interim answers (1xx) that are skipped in one exchange.
constexpr int kMaxInterimAnswers = 8;
/// Non-streaming answers are buffered whole up to this size, so that the
/// request can be repeated after a truncated answer before the caller has seen
/// any of it.
constexpr size_t kMaxBufferedAnswerBytes = 1048576;
/// Timeout for reading the body of a rejection. The body is read only so that
/// the connection can be reused; the head already identifies the rejection.
constexpr Duration kRejectionBodyTimeout = std::chrono::milliseconds(50);
/// Values of Retry-After by cause: about the time until the cause is gone.
constexpr Duration kRetryAfterNoUpstream = std::chrono::milliseconds(500);
constexpr Duration kRetryAfterFull = std::chrono::milliseconds(250);
/// Another VM can serve the request at once; the load balancer sends a new
/// connection there.
constexpr Duration kRetryAfterOtherVm = std::chrono::milliseconds(50);
constexpr Duration kRetryAfterNoConfig = std::chrono::milliseconds(300);
/// Without a time limit of the caller, a request ends at the timeout of its
/// route. A limit of the caller is extended by this much, so that an answer
/// that the upstream sends right at the limit still arrives.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(40);

}  // namespace

RequestTask::RequestTask(GatewayCore& gateway_core,
                         CallerConnection& caller_connection,
                         serving::CallerRequest caller_request)
    : core(gateway_core),
      caller(caller_connection),
      shared_request(std::make_shared<const serving::CallerRequest>(
          std::move(caller_request))),
      request(*shared_request),
      config(gateway_core.Config()),
      arrived(Now()),
      deadline(arrived),
      tokens(gateway_core.Budgets()),
      answer_bytes(gateway_core.BodyBytes()),
      relay(caller_connection),
      last_event(request.last_event) {
  this->core.Tasks().insert(this);
}

RequestTask::~RequestTask() { this->core.Tasks().erase(this); }

void RequestTask::CheckStall(TimePoint now) {
  if (!this->current_connection || !this->was_sent || !this->current_upstream) {
    return;
  }
  const serving::StallState state = {
      .silence = this->current_upstream->Silence(now),
      .waited = now - this->last_progress,
      .expected_ms = this->expected_ms,
      .runs = this->runs + 1};
  if (!serving::IsStalled(*this->route, state)) return;
  // The retry is taken from the retry allowance before the connection is
  // closed. Without a retry, the attempt at the silent upstream goes on,
  // because it is the only one that can still answer.
  if (!this->core.Retries().Take(now, this->service)) return;
  this->retry_granted = true;
  this->current_connection->Close();
}

asio::awaitable<bool> RequestTask::Run() {
  std::optional<GatewayAnswer> refusal = this->Admit();
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }

  this->caller.Arm(this->deadline,
                   [this](bool gone) { this->OnInterrupt(gone); });
  refusal = co_await this->ReserveTokens();
  if (refusal) {
    co_return co_await this->SendGatewayAnswer(*refusal);
  }

  this->core.Retries().OnRequest(this->arrived, this->service);
  this->core.Upstreams().Limits().OnRequest(this->arrived, this->service,
                                            this->Priority());
  const bool complete = co_await this->Serve();
  this->SettleTokens();
  co_return complete;
}

std::optional<RequestTask::GatewayAnswer> RequestTask::Admit() {
  if (!this->config) {
    return GatewayAnswer{503, "no configuration yet", kRetryAfterNoConfig};
  }
  // A route or key that a stale configuration lacks may have been added since,
  // so it is refused with 503 rather than 404 or 401.
  const bool stale = this->core.IsConfigStale(this->arrived);
  this->route = this->config->Match(this->request.host, this->request.path);
  if (this->route == nullptr) {
    if (stale) {
      return GatewayAnswer{503, "no route in stale configuration",
                           kRetryAfterNoConfig};
    }
    return GatewayAnswer{404, "no route", std::nullopt};
  }
  if (!this->config->organisations.empty() && !this->route->anonymous) {
    this->organisation = this->config->FindOrganisationByKey(this->request.key);
    if (this->organisation == nullptr) {
      if (stale) {
        return GatewayAnswer{503, "unknown key in stale configuration",
                             kRetryAfterNoConfig};
      }
      return GatewayAnswer{401, "unknown key", std::nullopt};
    }
  }

  if (this->core.Link().IsFull()) {
    return GatewayAnswer{503, "network link saturated", kRetryAfterOtherVm};
  }
  if (this->core.EventLoopDelay().IsFull()) {
    return GatewayAnswer{503, "processor saturated", kRetryAfterOtherVm};
  }

  this->service = serving::ChooseService(*this->route, this->core.Random());
  const serving::Service* known = this->config->FindService(this->service);
  if (known != nullptr) this->engine = known->engine;
  this->deadline = this->arrived + this->route->timeout;
  if (this->request.caller_timeout) {
    this->deadline =
        std::min(this->deadline, this->arrived + *this->request.caller_timeout +
                                     kDeadlineSlack);
  }
  return std::nullopt;
}

asio::awaitable<std::optional<RequestTask::GatewayAnswer>>
RequestTask::ReserveTokens() {
  if (this->organisation == nullptr) {
    co_return std::nullopt;
  }
  const budget::ReserveOutcome result =
      co_await this->tokens.Reserve(this->organisation->name, this->request);
  co_return MakeBudgetRefusal(result);
}

std::optional<RequestTask::GatewayAnswer> RequestTask::MakeBudgetRefusal(
    budget::ReserveOutcome result) {
  switch (result) {
    case budget::ReserveOutcome::kReserved:
      return std::nullopt;
    case budget::ReserveOutcome::kExhausted:
      return GatewayAnswer{402, "budget used up", std::nullopt};
    // The load balancer may send the next connection to a gateway that holds
    // tokens.
    case budget::ReserveOutcome::kHeldElsewhere:
      return GatewayAnswer{503, "tokens held by other gateways",
                           kRetryAfterOtherVm};
    case budget::ReserveOutcome::kPending:
      return GatewayAnswer{503, "no grant in time", kRetryAfterOtherVm};
  }
  return std::nullopt;
}

void RequestTask::SettleTokens() {
  this->tokens.Settle(
      {.runs = this->runs,
       .events_relayed = this->events_relayed,
       .tokens_per_event = this->engine ? this->engine->tokens_per_event : 1});
}

// The coroutines below pass no braced temporaries to calls, because GCC 12
// destroys such temporaries twice.

asio::awaitable<bool> RequestTask::Serve() {
  while (true) {
    const std::optional<serving::PlacementChoice> choice =
        this->ChooseUpstream();
    if (!choice && this->relay.HasBegun()) {
      co_return this->AbortAnswer("no upstream");
    }
    if (!choice) {
      const GatewayAnswer refusal = this->MakeNoUpstreamAnswer();
      co_return co_await this->SendGatewayAnswer(refusal);
    }

    const AttemptOutcome outcome = co_await this->RunAttempt(*choice);
    this->RecordOutcome(*choice, outcome);
    const NextStep step = this->DecideNextStep(outcome);
    const std::string_view reason = serving::AttemptOutcomeName(outcome);
    if (step == NextStep::kRetry) continue;
    if (step == NextStep::kAbort) co_return this->AbortAnswer(reason);
    if (step == NextStep::kDone && this->relay.HasBegun()) {
      this->LogEnd(this->answer.status, "complete", "");
      co_return true;
    }
    if (step == NextStep::kDone || step == NextStep::kRelay) {
      co_return co_await this->RelayWholeAnswer();
    }
    const GatewayAnswer gateway_answer = MakeFailureAnswer(step, reason);
    co_return co_await this->SendGatewayAnswer(gateway_answer);
  }
}

std::optional<serving::PlacementChoice> RequestTask::ChooseUpstream() {
  const TimePoint now = Now();
  const std::vector<serving::FleetUpstreamPtr> candidates =
      this->core.Upstreams().Candidates(
          now, this->service, this->tried_upstreams, this->Priority());
  std::optional<serving::PlacementChoice> choice = this->core.Placer().Choose(
      now, candidates,
      {.parts = this->request.parts,
       .prompt_tokens = this->request.prompt_tokens.value_or(Tokens(0)).count,
       .has_prompt = this->request.prompt_tokens.has_value()});
  if (choice) this->TakePermit(now, *choice->upstream);
  return choice;
}

void RequestTask::TakePermit(TimePoint now,
                             const serving::FleetUpstream& upstream) {
  this->has_permit =
      this->core.Upstreams().IsLimited(upstream) &&
      this->core.Upstreams().TakePermit(now, upstream, this->Priority());
}

void RequestTask::ReturnUnusedPermit(const serving::FleetUpstream& upstream) {
  if (this->has_permit && !this->was_sent) {
    this->core.Upstreams().ReturnPermit(Now(), upstream);
  }
  this->has_permit = false;
}

int RequestTask::Priority() const {
  const bool is_set =
      this->organisation != nullptr && this->organisation->priority.has_value();
  return is_set ? *this->organisation->priority : this->route->priority;
}

NextStep RequestTask::DecideNextStep(AttemptOutcome outcome) {
  const serving::AttemptState state = {.outcome = outcome,
                                       .runs = this->runs,
                                       .unexecuted = this->unexecuted,
                                       .delivered = this->relay.HasBegun(),
                                       .can_resume = this->can_resume,
                                       .time_left = this->TimeLeft()};
  const bool may_retry =
      serving::MayRetry(*this->route, state) &&
      (this->retry_granted || !serving::ReachedUpstream(outcome) ||
       this->core.Retries().Take(Now(), this->service));
  this->retry_granted = false;
  return serving::StepAfter(*this->route, state, may_retry);
}

RequestTask::GatewayAnswer RequestTask::MakeNoUpstreamAnswer() const {
  if (this->runs > 0) return {502, "no other upstream", std::nullopt};
  const TimePoint now = Now();
  const std::optional<TimePoint> pause_end =
      this->core.Upstreams().FirstPauseEnd(now, this->service);
  const std::optional<TimePoint> limit_end =
      this->core.Upstreams().Limits().NextForPriority(now, this->service,
                                                      this->Priority());
  if (limit_end && (!pause_end || *limit_end < *pause_end)) {
    return {503, "upstreams limited",
            std::max(*limit_end - now, kRetryAfterOtherVm)};
  }
  if (pause_end) return {503, "upstreams paused", *pause_end - now};
  return {503, "no upstream", kRetryAfterNoUpstream};
}

RequestTask::GatewayAnswer RequestTask::MakeFailureAnswer(
    NextStep step, std::string_view reason) {
  if (step == NextStep::kRefuse) {
    return {503, std::string(reason), kRetryAfterFull};
  }
  if (step == NextStep::kTimeOut) {
    return {504, std::string(reason), std::nullopt};
  }
  return {502, std::string(reason), std::nullopt};
}

bool RequestTask::AbortAnswer(std::string_view reason) {
  this->caller.Abort();
  this->LogEnd(0, this->caller_gone ? "caller-gone" : "aborted", reason);
  return false;
}

asio::awaitable<AttemptOutcome> RequestTask::RunAttempt(
    const serving::PlacementChoice& choice) {
  this->was_sent = false;
  serving::FleetUpstream& upstream = *choice.upstream;
  // The caller may have left, or the deadline may have passed, before there was
  // an attempt that OnInterrupt could end.
  if (this->caller_gone || this->timed_out) {
    this->ReturnUnusedPermit(upstream);
    co_return this->caller_gone ? AttemptOutcome::kCallerGone
                                : AttemptOutcome::kTimedOut;
  }

  this->tried_upstreams.push_back(upstream.entry.id);
  if (!this->tried_upstreams_text.empty()) this->tried_upstreams_text += ',';
  this->tried_upstreams_text += upstream.entry.id;

  upstream.OnDispatch(Now());
  upstream.pending_tokens += choice.uncached_tokens;
  this->prompt_pending = true;
  std::shared_ptr<HttpConnection> connection =
      co_await this->OpenConnection(upstream);
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  // On a busy VM, the event that the caller has closed its connection may still
  // be queued behind others.
  if (this->caller.HasLeft()) this->caller_gone = true;
  // While the connection was being opened, the upstream may have announced that
  // it is leaving or limited, or the VM may have been suspended.
  if (this->has_permit) this->core.SharedLimits().CheckLease();
  const bool withheld =
      !this->core.Upstreams().MaySend(Now(), upstream, this->has_permit);
  if (connection && (withheld || this->caller_gone)) {
    connection->Close();
    outcome = this->caller_gone ? AttemptOutcome::kCallerGone
                                : AttemptOutcome::kWithheld;
  } else if (connection) {
    this->current_connection = connection;
    this->current_upstream = choice.upstream;
    this->expected_ms = choice.expected_ms;
    this->uncached_tokens = choice.uncached_tokens;
    this->candidate_count = choice.candidates;
    connection->SetAckTimeout(
        this->route->IsIdempotent() ? kAckTimeout : kUnrepeatableAckTimeout);
    upstream.cache.Use(this->request.parts);
    outcome = co_await this->Exchange(choice, *connection);
    this->current_connection.reset();
    this->current_upstream.reset();
    if (outcome == AttemptOutcome::kComplete ||
        outcome == AttemptOutcome::kFailed ||
        outcome == AttemptOutcome::kRejected) {
      // A connection whose answers do not name their requests can carry only
      // one: the next answer could belong to either.
      if (this->answer.request_id.empty() ||
          serving::IsFromOtherUpstream(this->answer)) {
        connection->Close();
      }
      this->core.Pool().Release(upstream.entry, connection,
                                this->answer.keep_alive);
    } else {
      connection->Close();
    }
  } else if (this->caller_gone) {
    outcome = AttemptOutcome::kCallerGone;
  } else if (this->timed_out) {
    outcome = AttemptOutcome::kTimedOut;
  }

  this->ReturnUnusedPermit(upstream);
  upstream.OnEnd();
  if (this->prompt_pending) upstream.pending_tokens -= choice.uncached_tokens;
  this->prompt_pending = false;
  co_return outcome;
}

asio::awaitable<std::shared_ptr<HttpConnection>> RequestTask::OpenConnection(
    const serving::FleetUpstream& upstream) {
  auto connection = this->core.Pool().TakeIdle(upstream.entry, this->request.id,
                                               this->route->IsIdempotent());
  if (connection) co_return connection;

  connection = this->core.Pool().MakeNew();
  this->current_connection = connection;
  connection->ExpireAt(Now() + kConnectTimeout);
  const bool open = co_await connection->Connect(upstream.entry.address);
  connection->NeverExpire();
  this->current_connection.reset();
  if (!open || this->caller_gone || this->timed_out) {
    connection->Close();
    co_return nullptr;
  }
  co_return connection;
}

asio::awaitable<AttemptOutcome> RequestTask::Exchange(
    const serving::PlacementChoice& choice, HttpConnection& connection) {
  this->SendRequest(*choice.upstream, connection);
  const platform::HttpAnswerHead* head =
      co_await this->ReadMatchingHead(*choice.upstream, connection);
  if (head == nullptr) co_return this->BrokenOutcome();

  const serving::AnswerProof proof = serving::ProofOf(this->answer);
  if (proof == serving::AnswerProof::kNotRun) {
    this->LogRefusal(connection);
    connection.ExpireAt(Now() + kRejectionBodyTimeout);
    static_cast<void>(co_await this->ReadWholeBody(connection));
    connection.NeverExpire();
    if (serving::IsFromOtherUpstream(this->answer)) {
      this->core.Upstreams().EraseMisdirected(*choice.upstream);
    }
    co_return AttemptOutcome::kRejected;
  }
  if (proof == serving::AnswerProof::kNothing) {
    this->LogUnprovenAnswer(serving::UnprovenReason(this->answer));
    connection.Close();
    co_return this->BrokenOutcome();
  }
  if (this->relay.HasBegun() &&
      !serving::ContinuesStream(this->begun_head, this->answer)) {
    this->LogUnprovenAnswer("not the rest of the stream");
    connection.Close();
    co_return this->BrokenOutcome();
  }
  if (this->route->kind == serving::RequestKind::kStreaming &&
      serving::HasNoContent(this->answer)) {
    this->LogUnprovenAnswer("no content in place of a stream");
    connection.Close();
    co_return this->BrokenOutcome();
  }
  if (proof == serving::AnswerProof::kRan &&
      this->route->kind == serving::RequestKind::kStreaming) {
    co_return co_await this->RelayEvents(choice, connection);
  }
  const AttemptOutcome outcome = co_await this->ReadWholeBody(connection);
  if (outcome != AttemptOutcome::kComplete) co_return outcome;
  if (proof == serving::AnswerProof::kRanAndFailed) {
    co_return AttemptOutcome::kFailed;
  }
  this->RecordFirstByte(choice);
  co_return AttemptOutcome::kComplete;
}

void RequestTask::SendRequest(const serving::FleetUpstream& upstream,
                              HttpConnection& connection) {
  serving::UpstreamCall call;
  call.upstream_id = upstream.entry.id;
  call.time_left = this->TimeLeft();
  call.priority = this->Priority();
  call.last_event = this->last_event;
  if (this->organisation != nullptr) {
    call.organisation = this->organisation->name;
  }

  this->sent_at = Now();
  this->last_progress = this->sent_at;
  this->was_sent = true;
  if (this->has_permit) this->core.Metrics().CountLimitedSend(this->service);
  this->answer = {};
  this->answer_body.clear();
  connection.RememberRequest(this->request.id);
  connection.StartSend(platform::EncodeUpstreamRequest(this->request, call),
                       std::shared_ptr<const std::string>(this->shared_request,
                                                          &this->request.body));
}

asio::awaitable<const platform::HttpAnswerHead*> RequestTask::ReadMatchingHead(
    serving::FleetUpstream& upstream, HttpConnection& connection) {
  int interim = 0;
  for (int skipped = 0; skipped <= kMaxMismatchedAnswers;) {
    const platform::HttpAnswerHead* head = co_await connection.ReadHead();
    if (head == nullptr) co_return nullptr;
    this->answer = platform::DecodeAnswer(*head);
    upstream.OnBytesReceived(Now());
    if (serving::IsInterim(this->answer)) {
      if (++interim > kMaxInterimAnswers) co_return nullptr;
      continue;
    }
    const serving::Exchange exchange = {.request_id = this->request.id,
                                        .number = connection.Exchanges(),
                                        .skipped = skipped};
    const serving::AnswerOrigin origin =
        serving::OriginOf(this->answer, exchange);
    if (origin == serving::AnswerOrigin::kThisExchange) {
      this->ApplyAnswerHead(upstream);
      co_return head;
    }
    this->LogMismatchedAnswer();
    ++skipped;
    if (!this->MayAnswerFollow(origin, connection)) co_return nullptr;
    if (co_await this->ReadWholeBody(connection) != AttemptOutcome::kComplete) {
      co_return nullptr;
    }
    this->answer_body.clear();
  }
  co_return nullptr;
}

bool RequestTask::MayAnswerFollow(serving::AnswerOrigin origin,
                                  const HttpConnection& connection) const {
  if (connection.EndsWithConnection()) return false;
  // A request that may be repeated does not wait for what may never come.
  return origin != serving::AnswerOrigin::kUnknown ||
         !serving::ClaimsNotRun(this->answer) || !this->route->IsIdempotent();
}

asio::awaitable<AttemptOutcome> RequestTask::ReadWholeBody(
    HttpConnection& connection) {
  BodyReadStatus read_status = BodyReadStatus::kMore;
  while (read_status == BodyReadStatus::kMore) {
    read_status = co_await connection.ReadBody(this->answer_body);
    if (this->answer_body.size() > kMaxBufferedAnswerBytes ||
        !this->answer_bytes.Resize(this->answer_body.size())) {
      read_status = BodyReadStatus::kBroken;
    }
  }
  if (read_status == BodyReadStatus::kBroken) co_return this->BrokenOutcome();
  co_return AttemptOutcome::kComplete;
}

asio::awaitable<AttemptOutcome> RequestTask::RelayEvents(
    const serving::PlacementChoice& choice, HttpConnection& connection) {
  const bool is_resumed = this->relay.HasBegun();
  serving::EventSplitter splitter(this->last_event);
  std::string bytes;
  std::string events;
  int received = 0;
  BodyReadStatus read_status = BodyReadStatus::kMore;
  while (read_status == BodyReadStatus::kMore) {
    bytes.clear();
    events.clear();
    read_status = co_await connection.ReadBody(bytes);
    if (!bytes.empty()) {
      this->last_progress = Now();
      choice.upstream->OnBytesReceived(this->last_progress);
    }
    const int count = splitter.Feed(bytes, events);
    if (splitter.IsOverlong()) break;
    if (splitter.HasGap() || (is_resumed && splitter.HasUnnumbered())) {
      this->LogUnprovenAnswer("not the next event of the stream");
      co_return this->BrokenOutcome();
    }
    received += count;
    if (read_status == BodyReadStatus::kEnd) {
      const bool ends_with_connection = connection.EndsWithConnection();
      const bool is_cut =
          (is_resumed || ends_with_connection) && splitter.IsInsideEvent();
      const bool is_empty = is_resumed && ends_with_connection && received == 0;
      if (is_cut || is_empty) {
        this->LogUnprovenAnswer("nothing tells that the stream was at its end");
        read_status = BodyReadStatus::kBroken;
      }
    }
    if (read_status == BodyReadStatus::kEnd) events.append(splitter.Rest());
    if (read_status == BodyReadStatus::kBroken && events.empty()) break;
    if (events.empty() && read_status == BodyReadStatus::kMore) continue;

    if (this->events_relayed == 0) this->RecordFirstByte(choice);
    this->events_relayed += count;
    this->last_event = splitter.LastEvent();
    this->can_resume = this->can_resume && !splitter.HasUnnumbered();
    if (!this->relay.HasBegun()) {
      this->begun_head = {.status = this->answer.status,
                          .media_type = this->answer.media_type};
    }
    if (!co_await this->relay.RelayEvents(
            this->answer, events, read_status == BodyReadStatus::kEnd)) {
      co_return this->timed_out ? AttemptOutcome::kTimedOut
                                : AttemptOutcome::kCallerGone;
    }
  }
  if (read_status == BodyReadStatus::kEnd) co_return AttemptOutcome::kComplete;
  co_return this->BrokenOutcome();
}

asio::awaitable<bool> RequestTask::RelayWholeAnswer() {
  if (this->relay.HasBegun()) co_return this->AbortAnswer("stream has begun");
  // From here on, neither the deadline nor the watch for the caller's close
  // interrupts the delivery of the complete answer.
  this->caller.Disarm();
  const bool written =
      co_await this->relay.RelayWhole(this->answer, this->answer_body);
  this->LogEnd(this->answer.status, written ? "complete" : "caller-gone", "");
  co_return written;
}

asio::awaitable<bool> RequestTask::SendGatewayAnswer(
    GatewayAnswer gateway_answer) {
  this->caller.Disarm();
  this->SettleTokens();
  if (this->relay.HasBegun()) co_return this->AbortAnswer("stream has begun");
  if (this->caller_gone) {
    this->LogEnd(0, "caller-gone", gateway_answer.reason);
    co_return false;
  }
  const bool written = co_await this->relay.SendGatewayAnswer(
      gateway_answer.status, this->request.id, gateway_answer.retry_after);
  this->LogEnd(gateway_answer.status, "own-answer", gateway_answer.reason);
  co_return written;
}

void RequestTask::OnInterrupt(bool gone) {
  (gone ? this->caller_gone : this->timed_out) = true;
  if (this->current_connection) this->current_connection->Close();
  // If part of the answer has been sent, only closing the connection can tell
  // the caller that no more will come. Closing it also ends a write that is
  // blocked because the caller does not read.
  if (gone || this->relay.HasBegun()) this->caller.Abort();
}

AttemptOutcome RequestTask::BrokenOutcome() const {
  if (this->caller_gone) return AttemptOutcome::kCallerGone;
  if (this->timed_out) {
    return this->relay.HasBegun() ? AttemptOutcome::kBrokenMidway
                                  : AttemptOutcome::kTimedOut;
  }
  return this->relay.HasBegun() ? AttemptOutcome::kBrokenMidway
                                : AttemptOutcome::kBroken;
}

void RequestTask::ApplyAnswerHead(serving::FleetUpstream& upstream) {
  if (serving::IsFromOtherUpstream(this->answer)) return;
  if (this->answer.load) upstream.OnReport(Now(), *this->answer.load);
  ApplyNotices(this->core, upstream, this->answer,
               {.id = this->request.id, .sent_at = this->sent_at});
}

void RequestTask::RecordOutcome(const serving::PlacementChoice& choice,
                                AttemptOutcome outcome) {
  const std::string_view name = serving::AttemptOutcomeName(outcome);
  this->core.Metrics().CountAttempt(this->service, name);
  if (!this->outcomes_text.empty()) this->outcomes_text += ',';
  this->outcomes_text += name;
  serving::FleetUpstream& upstream = *choice.upstream;
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      ++this->unexecuted;
      upstream.OnUnreachable(Now());
      break;
    case AttemptOutcome::kWithheld:
      ++this->unexecuted;
      break;
    case AttemptOutcome::kRejected:
      ++this->unexecuted;
      upstream.OnFailure(Now());
      break;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBrokenMidway:
      ++this->runs;
      upstream.OnFailure(Now());
      break;
    case AttemptOutcome::kComplete:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kTimedOut:
      ++(this->was_sent ? this->runs : this->unexecuted);
      break;
  }
}

void RequestTask::RecordFirstByte(const serving::PlacementChoice& choice) {
  const TimePoint now = Now();
  serving::FleetUpstream& upstream = *choice.upstream;
  if (this->prompt_pending) {
    upstream.pending_tokens -= choice.uncached_tokens;
    this->prompt_pending = false;
  }
  const double ratio = choice.expected_ms > 0
                           ? ToMilliseconds(now - this->sent_at) *
                                 upstream.Slowness() / choice.expected_ms
                           : 0;
  upstream.OnSuccess(now, ratio);
  this->core.Metrics().AddFirstByte(this->route->name, now - this->arrived);
  this->first_byte_ms = ToMilliseconds(now - this->arrived);
  this->attempt_first_byte_ms = ToMilliseconds(now - this->sent_at);
}

Duration RequestTask::TimeLeft() const {
  const TimePoint now = Now();
  TimePoint end = this->deadline;
  if (this->request.caller_timeout) {
    end = std::min(end, this->arrived + *this->request.caller_timeout);
  }
  return end > now ? end - now : Duration::zero();
}

void RequestTask::LogMismatchedAnswer() {
  if (this->answer.not_executed) {
    this->core.Metrics().CountRefusal(this->NamesOfAnswer());
  }
  this->core.Log().Write("mismatched-answer",
                         {{"id", this->request.id},
                          {"answered", this->answer.request_id},
                          {"upstream", this->tried_upstreams.back()},
                          {"status", int64_t{this->answer.status}},
                          {"not_run", this->answer.not_executed}});
}

void RequestTask::LogRefusal(const HttpConnection& connection) {
  const std::string_view names = this->NamesOfAnswer();
  this->core.Metrics().CountRefusal(names);
  this->core.Log().Write(
      "upstream-refusal",
      {{"id", this->request.id},
       {"names", names},
       {"upstream", this->tried_upstreams.back()},
       {"status", int64_t{this->answer.status}},
       {"exchange", static_cast<int64_t>(connection.Exchanges())},
       {"ms", ToMilliseconds(Now() - this->sent_at)}});
}

void RequestTask::LogUnprovenAnswer(std::string_view reason) {
  this->core.Log().Write("upstream-answer-unproven",
                         {{"id", this->request.id},
                          {"upstream", this->tried_upstreams.back()},
                          {"status", int64_t{this->answer.status}},
                          {"not_run", this->answer.not_executed},
                          {"reason", reason}});
}

std::string_view RequestTask::NamesOfAnswer() const {
  const std::string& named = this->answer.request_id;
  if (named.empty()) return "no request";
  return named == this->request.id ? "this request" : "other request";
}

void RequestTask::LogEnd(int status, std::string_view outcome,
                         std::string_view reason) {
  const TimePoint now = Now();
  const std::string none;
  const std::string& route_name = this->route ? this->route->name : none;
  this->core.Metrics().CountRequest(route_name, outcome, status);
  this->core.Log().Write(
      "request",
      {{"id", this->request.id},
       {"route", route_name},
       {"organisation", this->organisation ? this->organisation->name : none},
       {"config",
        static_cast<int64_t>(this->config ? this->config->version : 0)},
       {"status", static_cast<int64_t>(status)},
       {"outcome", outcome},
       {"reason", reason},
       {"upstreams", this->tried_upstreams_text},
       {"outcomes", this->outcomes_text},
       {"candidates", static_cast<int64_t>(this->candidate_count)},
       {"prompt", this->request.prompt_tokens.value_or(Tokens(0)).count},
       {"uncached", this->uncached_tokens},
       {"expected_ms", this->expected_ms},
       {"attempt_ms", this->attempt_first_byte_ms},
       {"tokens", this->tokens.Amount().count},
       {"events", static_cast<int64_t>(this->events_relayed)},
       {"first_ms", this->first_byte_ms},
       {"ms", ToMilliseconds(now - this->arrived)}});
}

}  // namespace fuchsiadrum::gateway
