#include "gateway/request_task.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"
#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {
namespace {

using serving::AttemptOutcome;
using serving::NextStep;

/// Time for a connection to an upstream. Round trips take a few milliseconds;
/// a lost opening packet is sent again after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
/// Time in which sent bytes must be acknowledged: round trips take a few
/// milliseconds, and two packets in a row are seldom lost. Requests that may
/// not be repeated wait longer, since a link may heal and their answer still
/// come.
constexpr Duration kAckTimeout = std::chrono::milliseconds(900);
constexpr Duration kPatientAckTimeout = std::chrono::milliseconds(4000);
/// Answers of an upstream to other requests that are skipped before its
/// connection is given up.
constexpr int kMostForeignAnswers = 2;
/// Answers without a stream are read whole up to this size, so that a cut one
/// can be repeated before the caller sees any of it.
constexpr size_t kMostWholeAnswer = 1048576;
/// Time in which the body of a rejection is read, so that its connection can be
/// kept; the rejection itself is known by then.
constexpr Duration kRejectionBodyTime = std::chrono::milliseconds(50);
/// When to come back, by cause: what is awaited takes about this long.
constexpr Duration kRetryAfterNoUpstream = std::chrono::milliseconds(500);
constexpr Duration kRetryAfterFull = std::chrono::milliseconds(250);
/// Another VM can serve the request at once; the balancer sends a new
/// connection there.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds(50);
constexpr Duration kRetryAfterNoConfig = std::chrono::milliseconds(300);
/// A route without a time limit of the caller ends at the route's timeout; the
/// caller's own limit is passed by this much, so that its upstream's answer at
/// the limit still arrives.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(40);

bool IsSuccess(int status) { return status >= 200 && status < 300; }

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
  if (!this->current || !this->was_sent || !this->upstream_now) return;
  const serving::StallState state = {
      .silence = this->upstream_now->Silence(now),
      .waited = now - this->progress_at,
      .expected_ms = this->expected_ms,
      .runs = this->runs + 1};
  if (!serving::IsStalled(*this->route, state)) return;
  // The repeat is taken first: without one, the silent upstream is the last
  // hope.
  if (!this->core.Retries().Take(now, this->service)) return;
  this->repeat_taken = true;
  this->current->Close();
}

asio::awaitable<bool> RequestTask::Run() {
  std::optional<OwnAnswer> refusal = this->Admit();
  if (refusal) {
    co_return co_await this->Answer(*refusal);
  }

  this->caller.Arm(this->deadline,
                   [this](bool gone) { this->OnInterrupt(gone); });
  refusal = co_await this->ReserveTokens();
  if (refusal) {
    co_return co_await this->Answer(*refusal);
  }

  this->core.Retries().OnRequest(this->arrived, this->service);
  const bool whole = co_await this->Serve();
  this->SettleTokens();
  co_return whole;
}

std::optional<RequestTask::OwnAnswer> RequestTask::Admit() {
  if (!this->config) {
    return OwnAnswer{503, "no configuration yet", kRetryAfterNoConfig};
  }
  // What an old configuration does not name may be new.
  const bool stale = this->core.IsConfigStale(this->arrived);
  this->route = this->config->Match(this->request.host, this->request.path);
  if (this->route == nullptr) {
    if (stale) return OwnAnswer{503, "route unknown", kRetryAfterNoConfig};
    return OwnAnswer{404, "no route", std::nullopt};
  }
  if (!this->config->organisations.empty() && !this->route->anonymous) {
    this->organisation = this->config->FindOrganisationByKey(this->request.key);
    if (this->organisation == nullptr) {
      if (stale) return OwnAnswer{503, "key unknown", kRetryAfterNoConfig};
      return OwnAnswer{401, "unknown key", std::nullopt};
    }
  }

  if (this->core.Link().IsFull()) {
    return OwnAnswer{503, "link full", kRetryElsewhere};
  }
  if (this->core.EventLoopDelay().IsFull()) {
    return OwnAnswer{503, "processor full", kRetryElsewhere};
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

asio::awaitable<std::optional<RequestTask::OwnAnswer>>
RequestTask::ReserveTokens() {
  if (this->organisation == nullptr) {
    co_return std::nullopt;
  }
  const budget::ReserveOutcome result =
      co_await this->tokens.Reserve(this->organisation->name, this->request);
  co_return BudgetRefusal(result);
}

std::optional<RequestTask::OwnAnswer> RequestTask::BudgetRefusal(
    budget::ReserveOutcome result) {
  switch (result) {
    case budget::ReserveOutcome::kReserved:
      return std::nullopt;
    case budget::ReserveOutcome::kExhausted:
      return OwnAnswer{402, "budget used up", std::nullopt};
    // Another gateway may hold tokens.
    case budget::ReserveOutcome::kHeldElsewhere:
      return OwnAnswer{503, "tokens held by other gateways", kRetryElsewhere};
    case budget::ReserveOutcome::kPending:
      return OwnAnswer{503, "no grant in time", kRetryElsewhere};
  }
  return std::nullopt;
}

void RequestTask::SettleTokens() {
  this->tokens.Settle(
      {.runs = this->runs,
       .events_passed = this->events_passed,
       .tokens_per_event = this->engine ? this->engine->tokens_per_event : 1});
}

// Coroutines below pass no braced temporaries to calls: GCC 12 destroys such
// temporaries twice.

asio::awaitable<bool> RequestTask::Serve() {
  while (true) {
    const std::optional<serving::PlacementChoice> choice = this->Choose();
    if (!choice && this->relay.HasBegun()) {
      co_return this->AbortAnswer("no upstream");
    }
    if (!choice) {
      const OwnAnswer refusal = this->NoUpstream();
      co_return co_await this->Answer(refusal);
    }

    const AttemptOutcome outcome = co_await this->Attempt(*choice);
    this->NoteOutcome(*choice, outcome);
    const NextStep step = this->Decide(outcome);
    const std::string_view reason = serving::AttemptOutcomeName(outcome);
    if (step == NextStep::kRetry) continue;
    if (step == NextStep::kAbort) co_return this->AbortAnswer(reason);
    if (step == NextStep::kDone && this->relay.HasBegun()) {
      this->LogEnd(this->answer.status, "complete", "");
      co_return true;
    }
    if (step == NextStep::kDone || step == NextStep::kRelay) {
      co_return co_await this->Relay();
    }
    const OwnAnswer own = FinalAnswer(step, reason);
    co_return co_await this->Answer(own);
  }
}

std::optional<serving::PlacementChoice> RequestTask::Choose() {
  const TimePoint now = Now();
  const std::vector<serving::FleetUpstreamPtr> candidates =
      this->core.Upstreams().Candidates(now, this->service, this->tried);
  return this->core.Placer().Choose(
      now, candidates,
      {.parts = this->request.parts,
       .prompt_tokens = this->request.prompt_tokens.value_or(Tokens(0)).count,
       .has_prompt = this->request.prompt_tokens.has_value()});
}

NextStep RequestTask::Decide(AttemptOutcome outcome) {
  const serving::AttemptState state = {.outcome = outcome,
                                       .runs = this->runs,
                                       .unexecuted = this->unexecuted,
                                       .delivered = this->relay.HasBegun(),
                                       .time_left = this->TimeLeft()};
  const bool repeat =
      serving::MayRetry(*this->route, state) &&
      (this->repeat_taken || !serving::ReachedUpstream(outcome) ||
       this->core.Retries().Take(Now(), this->service));
  this->repeat_taken = false;
  return serving::StepAfter(*this->route, state, repeat);
}

RequestTask::OwnAnswer RequestTask::NoUpstream() const {
  if (this->runs > 0) return {502, "no other upstream", std::nullopt};
  const TimePoint now = Now();
  const std::optional<TimePoint> back =
      this->core.Upstreams().FirstPauseEnd(now, this->service);
  if (back) return {503, "upstreams pause", *back - now};
  return {503, "no upstream", kRetryAfterNoUpstream};
}

RequestTask::OwnAnswer RequestTask::FinalAnswer(NextStep step,
                                                std::string_view reason) {
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

asio::awaitable<AttemptOutcome> RequestTask::Attempt(
    const serving::PlacementChoice& choice) {
  this->was_sent = false;
  // The caller may have left, or the time may be over, before there was an
  // attempt to be interrupted.
  if (this->caller_gone) co_return AttemptOutcome::kCallerGone;
  if (this->timed_out) co_return AttemptOutcome::kTimedOut;

  serving::FleetUpstream& upstream = *choice.upstream;
  this->tried.push_back(upstream.entry.id);
  if (!this->tried_text.empty()) this->tried_text += ',';
  this->tried_text += upstream.entry.id;

  upstream.OnDispatch(Now());
  upstream.pending_tokens += choice.uncached_tokens;
  this->prompt_pending = true;
  std::shared_ptr<HttpConnection> connection = co_await this->Open(upstream);
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  // On a busy VM the caller's end may wait behind other events.
  if (this->caller.HasLeft()) this->caller_gone = true;
  // While the connection was opened the upstream may have said that it leaves.
  const bool withheld = this->core.Upstreams().EligibilityOf(Now(), upstream) ==
                        serving::UpstreamEligibility::kIneligible;
  if (connection && (withheld || this->caller_gone)) {
    connection->Close();
    outcome = this->caller_gone ? AttemptOutcome::kCallerGone
                                : AttemptOutcome::kWithheld;
  } else if (connection) {
    this->current = connection;
    this->upstream_now = choice.upstream;
    this->expected_ms = choice.expected_ms;
    this->uncached_tokens = choice.uncached_tokens;
    this->candidates = choice.candidates;
    connection->SetAckTimeout(this->route->IsIdempotent() ? kAckTimeout
                                                          : kPatientAckTimeout);
    upstream.cache.Use(this->request.parts);
    outcome = co_await this->Exchange(choice, *connection);
    this->current.reset();
    this->upstream_now.reset();
    if (outcome == AttemptOutcome::kComplete ||
        outcome == AttemptOutcome::kFailed ||
        outcome == AttemptOutcome::kRejected) {
      this->core.Pool().GiveBack(upstream.entry.id, connection,
                                 this->answer.keep_alive);
    } else {
      connection->Close();
    }
  } else if (this->caller_gone) {
    outcome = AttemptOutcome::kCallerGone;
  } else if (this->timed_out) {
    outcome = AttemptOutcome::kTimedOut;
  }

  upstream.OnEnd();
  if (this->prompt_pending) upstream.pending_tokens -= choice.uncached_tokens;
  this->prompt_pending = false;
  co_return outcome;
}

asio::awaitable<std::shared_ptr<HttpConnection>> RequestTask::Open(
    const serving::FleetUpstream& upstream) {
  auto connection = this->core.Pool().TakeIdle(upstream.entry.id,
                                               this->route->IsIdempotent());
  if (connection) co_return connection;

  connection = this->core.Pool().MakeNew();
  this->current = connection;
  connection->ExpireAt(Now() + kConnectTimeout);
  const bool open = co_await connection->Connect(upstream.entry.address);
  connection->NeverExpire();
  this->current.reset();
  if (!open || this->caller_gone || this->timed_out) {
    connection->Close();
    co_return nullptr;
  }
  co_return connection;
}

asio::awaitable<AttemptOutcome> RequestTask::Exchange(
    const serving::PlacementChoice& choice, HttpConnection& connection) {
  this->Send(*choice.upstream, connection);
  const platform::HttpAnswerHead* head =
      co_await this->ReadMatchingHead(*choice.upstream, connection);
  if (head == nullptr) co_return this->Broken();

  constexpr int kMisdirected = 421;
  if (this->answer.not_executed || this->answer.status == kMisdirected) {
    connection.ExpireAt(Now() + kRejectionBodyTime);
    static_cast<void>(co_await this->ReadWhole(connection));
    connection.NeverExpire();
    if (this->answer.status == kMisdirected) {
      this->core.Upstreams().Erase(choice.upstream->entry.id);
    }
    co_return AttemptOutcome::kRejected;
  }
  const bool good = IsSuccess(this->answer.status) &&
                    this->answer.has_signature && !this->answer.is_encoded;
  if (good && this->route->kind == serving::RequestKind::kStreaming) {
    co_return co_await this->PassEvents(choice, connection);
  }
  const AttemptOutcome outcome = co_await this->ReadWhole(connection);
  if (outcome != AttemptOutcome::kComplete) co_return outcome;
  if (good) {
    this->NoteFirstByte(choice);
    co_return AttemptOutcome::kComplete;
  }
  // Only a failure that is signed is the upstream's own.
  if (IsSuccess(this->answer.status) || !this->answer.has_signature) {
    connection.Close();
    co_return this->Broken();
  }
  co_return AttemptOutcome::kFailed;
}

void RequestTask::Send(const serving::FleetUpstream& upstream,
                       HttpConnection& connection) {
  serving::UpstreamCall call;
  call.upstream_id = upstream.entry.id;
  call.time_left = this->TimeLeft();
  call.priority = this->route->priority;
  call.last_event = this->last_event;
  if (this->organisation != nullptr) {
    call.organisation = this->organisation->name;
    if (this->organisation->priority) {
      call.priority = *this->organisation->priority;
    }
  }

  this->sent_at = Now();
  this->progress_at = this->sent_at;
  this->was_sent = true;
  this->answer = {};
  this->answer_body.clear();
  connection.StartSend(platform::EncodeUpstreamRequest(this->request, call),
                       std::shared_ptr<const std::string>(this->shared_request,
                                                          &this->request.body));
}

asio::awaitable<const platform::HttpAnswerHead*> RequestTask::ReadMatchingHead(
    serving::FleetUpstream& upstream, HttpConnection& connection) {
  for (int foreign = 0; foreign <= kMostForeignAnswers; ++foreign) {
    const platform::HttpAnswerHead* head = co_await connection.ReadHead();
    if (head == nullptr) co_return nullptr;
    this->answer = platform::DecodeAnswer(*head);
    this->NoteHead(upstream);
    if (this->answer.request_id == this->request.id ||
        this->answer.not_executed) {
      co_return head;
    }
    // A late answer to an earlier request of the connection.
    this->LogForeignAnswer();
    if (co_await this->ReadWhole(connection) != AttemptOutcome::kComplete) {
      co_return nullptr;
    }
    this->answer_body.clear();
  }
  co_return nullptr;
}

asio::awaitable<AttemptOutcome> RequestTask::ReadWhole(
    HttpConnection& connection) {
  BodyPart part = BodyPart::kMore;
  while (part == BodyPart::kMore) {
    part = co_await connection.ReadBody(this->answer_body);
    if (this->answer_body.size() > kMostWholeAnswer ||
        !this->answer_bytes.Resize(this->answer_body.size())) {
      part = BodyPart::kBroken;
    }
  }
  if (part == BodyPart::kBroken) co_return this->Broken();
  co_return AttemptOutcome::kComplete;
}

asio::awaitable<AttemptOutcome> RequestTask::PassEvents(
    const serving::PlacementChoice& choice, HttpConnection& connection) {
  serving::EventSplitter splitter(this->last_event);
  std::string bytes;
  std::string events;
  BodyPart part = BodyPart::kMore;
  while (part == BodyPart::kMore) {
    bytes.clear();
    events.clear();
    part = co_await connection.ReadBody(bytes);
    if (!bytes.empty()) {
      this->progress_at = Now();
      choice.upstream->OnBytesReceived(this->progress_at);
    }
    const int count = splitter.Feed(bytes, events);
    if (splitter.IsOverlong()) break;
    if (splitter.HasGap() && this->relay.HasBegun()) {
      co_return AttemptOutcome::kBrokenMidway;
    }
    if (part == BodyPart::kEnd) events.append(splitter.Rest());
    if (part == BodyPart::kBroken && events.empty()) break;
    if (events.empty() && part == BodyPart::kMore) continue;

    if (this->events_passed == 0) this->NoteFirstByte(choice);
    this->events_passed += count;
    this->last_event = splitter.LastEvent();
    if (!co_await this->relay.PassEvents(this->answer, events,
                                         part == BodyPart::kEnd)) {
      co_return this->timed_out ? AttemptOutcome::kTimedOut
                                : AttemptOutcome::kCallerGone;
    }
  }
  if (part == BodyPart::kEnd) co_return AttemptOutcome::kComplete;
  co_return this->Broken();
}

asio::awaitable<bool> RequestTask::Relay() {
  // Nothing stops an answer that is ready.
  this->caller.Disarm();
  const bool written =
      co_await this->relay.PassWhole(this->answer, this->answer_body);
  this->LogEnd(this->answer.status, written ? "complete" : "caller-gone", "");
  co_return written;
}

asio::awaitable<bool> RequestTask::Answer(OwnAnswer own) {
  this->caller.Disarm();
  this->SettleTokens();
  if (this->caller_gone) {
    this->LogEnd(0, "caller-gone", own.reason);
    co_return false;
  }
  const bool written = co_await this->relay.PassOwn(
      own.status, this->request.id, own.retry_after);
  this->LogEnd(own.status, "own-answer", own.reason);
  co_return written;
}

void RequestTask::OnInterrupt(bool gone) {
  (gone ? this->caller_gone : this->timed_out) = true;
  if (this->current) this->current->Close();
  // Part of the answer has gone out: only the connection's end can tell the
  // caller that there is no more, and it ends a write that the caller blocks.
  if (gone || this->relay.HasBegun()) this->caller.Abort();
}

AttemptOutcome RequestTask::Broken() const {
  if (this->caller_gone) return AttemptOutcome::kCallerGone;
  if (this->timed_out) {
    return this->relay.HasBegun() ? AttemptOutcome::kBrokenMidway
                                  : AttemptOutcome::kTimedOut;
  }
  return this->relay.HasBegun() ? AttemptOutcome::kBrokenMidway
                                : AttemptOutcome::kBroken;
}

void RequestTask::NoteHead(serving::FleetUpstream& upstream) {
  const TimePoint now = Now();
  upstream.OnBytesReceived(now);
  if (this->answer.load) upstream.OnReport(now, *this->answer.load);
  const std::string& id = upstream.entry.id;
  if (!this->answer.fault.empty()) {
    this->core.Log().Write("upstream-notice-unusable",
                           {{"upstream", id}, {"reason", this->answer.fault}});
  }
  if (this->answer.leaving && this->core.Upstreams().OnLeaving(now, upstream)) {
    this->core.Log().Write("upstream-leaves",
                           {{"upstream", id}, {"id", this->request.id}});
  }
  if (this->answer.pause) {
    this->core.Upstreams().OnPause(now, upstream, *this->answer.pause);
    this->core.Log().Write("upstream-pauses",
                           {{"upstream", id},
                            {"id", this->request.id},
                            {"ms", ToMilliseconds(*this->answer.pause)}});
  }
}

void RequestTask::NoteOutcome(const serving::PlacementChoice& choice,
                              AttemptOutcome outcome) {
  this->core.Metrics().CountAttempt(this->service,
                                    serving::AttemptOutcomeName(outcome));
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

void RequestTask::NoteFirstByte(const serving::PlacementChoice& choice) {
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
  this->attempt_first_ms = ToMilliseconds(now - this->sent_at);
}

Duration RequestTask::TimeLeft() const {
  const TimePoint now = Now();
  TimePoint end = this->deadline;
  if (this->request.caller_timeout) {
    end = std::min(end, this->arrived + *this->request.caller_timeout);
  }
  return end > now ? end - now : Duration::zero();
}

void RequestTask::LogForeignAnswer() {
  this->core.Log().Write("foreign-answer",
                         {{"id", this->request.id},
                          {"answered", this->answer.request_id},
                          {"upstream", this->tried.back()}});
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
       {"upstreams", this->tried_text},
       {"candidates", static_cast<int64_t>(this->candidates)},
       {"prompt", this->request.prompt_tokens.value_or(Tokens(0)).count},
       {"uncached", this->uncached_tokens},
       {"expected_ms", this->expected_ms},
       {"attempt_ms", this->attempt_first_ms},
       {"tokens", this->tokens.Amount().count},
       {"events", static_cast<int64_t>(this->events_passed)},
       {"first_ms", this->first_byte_ms},
       {"ms", ToMilliseconds(now - this->arrived)}});
}

}  // namespace fuchsiadrum::gateway
