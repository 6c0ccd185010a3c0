#include "bench/requests_daemon.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench::requests {
namespace {

/// How long a failed upstream is avoided while others are left.
constexpr Duration kAvoidFor = std::chrono::seconds(1);

/// Timeouts scaled down, so that a run of a minute sees many of them.
request::ClaimAgentOptions AgentOptions(const DaemonOptions& options) {
  return {.claim_timeout = std::chrono::milliseconds(1500),
          .take_over_after = std::chrono::milliseconds(2000),
          .replace_after = std::chrono::milliseconds(1500),
          .reset_after = std::chrono::milliseconds(9000),
          .assign_after = std::chrono::milliseconds(1000),
          .propose_again_after = std::chrono::milliseconds(4000),
          .rebalance_every = std::chrono::milliseconds(2000),
          .witness_in_home_zone = options.witness_in_home_zone,
          .entry_lost_after = std::chrono::milliseconds(4000),
          .intent_limit = std::chrono::milliseconds(12000),
          .key_lifetime = std::chrono::hours(1),
          .max_answer_bytes = 4000,
          .small_answer_bytes = 200};
}

bool IsBeforeRunning(node::AttemptEventKind kind) {
  return kind == node::AttemptEventKind::kNotSent ||
         kind == node::AttemptEventKind::kRejected;
}

std::string Join(const std::vector<std::string>& tokens) {
  std::string body;
  for (const std::string& token : tokens) body += token + "\n";
  return body;
}

std::vector<std::string> Split(const std::string& body) {
  std::vector<std::string> tokens;
  size_t from = 0;
  for (size_t to = body.find('\n'); to != std::string::npos;
       to = body.find('\n', from)) {
    tokens.push_back(body.substr(from, to - from));
    from = to + 1;
  }
  return tokens;
}

}  // namespace

BenchDaemon::BenchDaemon(const VmInfo& self, const std::vector<VmInfo>& fleet,
                         const DaemonOptions& options, DaemonHost& host)
    : options(options),
      host(host),
      rng(options.seed),
      peers(self, fleet),
      table({.shards = options.shards, .zones = options.zones}),
      rules(MakeClaimRules(options.policy, {.table = this->table,
                                            .peers = this->peers,
                                            .options = AgentOptions(options),
                                            .seed = this->rng.Next()})),
      replica(self.ref, this->table),
      admission({.max_queued = 200}),
      retry_budget({.initial_retries = options.initial_retries},
                   this->rng.Fork("retry")) {}

BenchDaemon::Request* BenchDaemon::Find(const std::string& id) {
  const auto found = this->handles.find(id);
  return found == this->handles.end() ? nullptr
                                      : &this->requests.at(found->second);
}

void BenchDaemon::OnRequest(TimePoint at, const CallSpec& call,
                            const std::string& request_id, Duration left) {
  this->now = at;
  const uint64_t handle = this->next_handle++;
  Request& request =
      this->requests
          .emplace(handle,
                   Request{.call = call,
                           .id = request_id,
                           .handle = handle,
                           .deadline = at + left,
                           .filter = request::AttemptFilter(request_id)})
          .first->second;
  this->handles[request_id] = handle;

  const request::AdmissionVerdict verdict =
      this->admission.Offer(at, {.handle = handle,
                                 .organisation = call.organisation,
                                 .work_class = call.work_class,
                                 .tokens = Tokens(call.length),
                                 .deadline = request.deadline});
  if (verdict.answer == request::AdmissionAnswer::kStart) {
    this->Claim(request);
  } else if (verdict.answer == request::AdmissionAnswer::kShed) {
    this->Answer(request, node::Outcome::kNotRun, std::string(verdict.reason));
    this->Remove(handle);
  }
  this->Pump();
}

void BenchDaemon::Claim(Request& request) {
  request.started = true;
  const auto decision =
      this->rules->Ask(this->now,
                       {.request_id = request.id,
                        .organisation = request.call.organisation,
                        .key = request.call.key,
                        .idempotent = request.call.idempotent,
                        .body_digest = std::to_string(request.call.id),
                        .work_class = request.call.work_class},
                       this->out);
  if (decision) this->OnDecision(*decision);
}

void BenchDaemon::OnDecision(const request::Decision& decision) {
  Request* request = this->Find(decision.request_id);
  if (request == nullptr) {
    // The request was given up after its claim had been asked for.
    if (decision.outcome == request::ClaimOutcome::kRun) {
      this->rules->Done(this->now, decision.request_id, {}, this->out);
    }
    return;
  }

  const std::string why = decision.reason.ToString();
  switch (decision.outcome) {
    case request::ClaimOutcome::kRun:
      request->claimed = decision.claimed;
      this->OnRun(*request);
      return;
    case request::ClaimOutcome::kDone: {
      Reply reply{.request_id = request->id,
                  .outcome = node::Outcome::kComplete,
                  .tokens = Split(decision.stored->body()),
                  .body_gone = decision.stored->body_gone()};
      this->host.SendReply(this->Self().ref, request->call, reply);
      break;
    }
    case request::ClaimOutcome::kInProgress:
      this->host.SendReply(this->Self().ref, request->call,
                           {.request_id = request->id,
                            .outcome = node::Outcome::kUnknown,
                            .reason = why,
                            .in_progress = true});
      break;
    case request::ClaimOutcome::kUnknown:
      this->Answer(*request, node::Outcome::kUnknown, why);
      break;
    default:
      this->Answer(*request, node::Outcome::kNotRun, why);
      break;
  }
  this->admission.OnFinished(this->now, request->handle, Tokens(0));
  this->Remove(request->handle);
}

void BenchDaemon::OnRun(Request& request) {
  request.running = true;
  this->ran_here[request.id] = request.call;
  const auto upstream = this->Choose(std::nullopt);
  if (!upstream || request.deadline <= this->now) {
    this->Finish(request, node::Outcome::kNotRun, "no upstream or no time");
    return;
  }
  this->SendAttempt(request, *upstream, false);
}

std::optional<size_t> BenchDaemon::Choose(std::optional<size_t> except) {
  std::vector<size_t> good;
  std::vector<size_t> any;
  for (size_t i = 0; i < this->options.upstreams; ++i) {
    if (i == except) continue;
    any.push_back(i);
    const auto found = this->avoided.find(i);
    if (found == this->avoided.end() || found->second <= this->now) {
      good.push_back(i);
    }
  }
  const std::vector<size_t>& choice = good.empty() ? any : good;
  if (choice.empty()) return std::nullopt;
  return choice[this->rng.Below(choice.size())];
}

void BenchDaemon::SendAttempt(Request& request, size_t upstream, bool retry) {
  const bool resumes = request.filter.Delivered() > 0;
  const bool begun = request.filter.Begin(++request.attempt, resumes);
  FD_ASSERT(begun, "bench: an attempt begins only if it may");
  if (!resumes) {
    request.content = request.id + "/" + std::to_string(request.attempt);
  }
  request.upstream = upstream;
  request.last_progress = this->now;
  request.retry_at.reset();

  const std::string name = "u" + std::to_string(upstream);
  auto& counts =
      this->attempts[{upstream, static_cast<int>(request.call.work_class)}];
  if (retry) {
    ++counts.second;
  } else {
    ++counts.first;
    this->retry_budget.OnFirstAttempt(request.call.work_class, name);
  }
  request.may_have_run = true;
  this->host.SendUpstream(
      this->Self().ref, upstream,
      {.call = request.call,
       .request_id = request.id,
       .attempt = request.attempt,
       .content = request.content,
       .from_token = static_cast<int>(request.filter.Delivered())});
}

void BenchDaemon::OnChunk(const std::string& connection,
                          const request::AnswerChunk& chunk) {
  Request* request = this->Find(connection);
  if (request == nullptr || !request->running) return;

  request::AnswerChunk seen = chunk;
  if (this->Mutated("mix-attempts")) {
    seen.request_id = request->id;
    seen.attempt = request->attempt;
  }
  const std::vector<std::string> fresh = request->filter.OnChunk(seen);
  for (const std::string& token : fresh) request->tokens.push_back(token);
  if (!fresh.empty()) request->last_progress = this->now;

  if (request->filter.IsComplete()) {
    this->Finish(*request, node::Outcome::kComplete, "");
  } else if (request->filter.State() == request::StreamState::kCut &&
             !request->retry_at) {
    this->OnFailure(*request, node::AttemptEventKind::kBroken);
  }
  this->Pump();
}

void BenchDaemon::OnEvent(const std::string& connection, uint32_t attempt,
                          node::AttemptEventKind kind) {
  Request* request = this->Find(connection);
  if (request == nullptr || !request->running || attempt != request->attempt ||
      request->retry_at) {
    return;
  }

  if (this->Mutated("cut-stream-is-whole") &&
      kind == node::AttemptEventKind::kBroken && !request->tokens.empty()) {
    this->Finish(*request, node::Outcome::kComplete, "");
  } else {
    request->filter.OnClosed(attempt);
    this->OnFailure(*request, kind);
  }
  this->Pump();
}

void BenchDaemon::OnFailure(Request& request, node::AttemptEventKind kind) {
  this->avoided[request.upstream] = this->now + kAvoidFor;
  // A refused first attempt has certainly not run.
  if (IsBeforeRunning(kind) && request.attempt == 1) {
    request.may_have_run = false;
  }
  if (this->TryRetry(request)) return;

  if (!request.may_have_run) {
    this->Finish(request, node::Outcome::kNotRun, "upstream refused");
  } else if (this->Mutated("not-run-after-dispatch")) {
    request.may_have_run = false;
    this->Finish(request, node::Outcome::kNotRun, "upstream broke");
  } else {
    this->Finish(request,
                 request.call.idempotent ? node::Outcome::kFailed
                                         : node::Outcome::kUnknown,
                 "upstream broke");
  }
}

bool BenchDaemon::TryRetry(Request& request) {
  // Engines with an even index can resume an answer that they have begun.
  const bool resumes =
      request.filter.Delivered() > 0 && request.upstream % 2 == 0;
  const std::optional<size_t> next =
      resumes ? request.upstream : this->Choose(request.upstream);
  const request::RetryDecision decision = this->retry_budget.Decide(
      this->now, {.idempotent = request.call.idempotent,
                  .delivered = request.filter.Delivered() > 0,
                  .can_resume = resumes,
                  .retries = request.retries,
                  .deadline = request.deadline,
                  .work_class = request.call.work_class,
                  .failed_upstream = "u" + std::to_string(request.upstream),
                  .next_upstream = next ? "u" + std::to_string(*next) : ""});
  if (decision.verdict != request::RetryVerdict::kRetry) return false;

  ++request.retries;
  request.retry_at = this->now + decision.backoff;
  request.retry_upstream = *next;
  return true;
}

void BenchDaemon::Finish(Request& request, node::Outcome outcome,
                         const std::string& why) {
  if (outcome == node::Outcome::kComplete) {
    Reply reply{
        .request_id = request.id, .outcome = outcome, .tokens = request.tokens};
    this->host.SendReply(this->Self().ref, request.call, reply);
  } else {
    this->Answer(request, outcome, why);
  }

  request::Completion completion{
      .ran = request.may_have_run,
      .outcome_known = outcome == node::Outcome::kComplete};
  if (completion.outcome_known) {
    completion.stored.set_status(200);
    completion.stored.set_body(Join(request.tokens));
    completion.stored.set_outcome("complete");
  }
  const std::string id = request.id;
  const uint64_t handle = request.handle;
  this->admission.OnFinished(this->now, handle, Tokens(request.call.length));
  this->Remove(handle);
  this->rules->Done(this->now, id, completion, this->out);
}

void BenchDaemon::Answer(const Request& request, node::Outcome outcome,
                         const std::string& why) {
  this->host.SendReply(
      this->Self().ref, request.call,
      {.request_id = request.id, .outcome = outcome, .reason = why});
}

void BenchDaemon::Remove(uint64_t handle) {
  const auto found = this->requests.find(handle);
  this->handles.erase(found->second.id);
  this->requests.erase(found);
}

void BenchDaemon::OnPeer(TimePoint at, const VmRef& from,
                         const pb::PeerMessage& message) {
  this->now = at;
  this->peers.OnHeard(at, from);
  this->rules->OnMessage(at, from, message, this->out);
  this->Pump();
}

void BenchDaemon::ReadLog(TimePoint at, const FakeLog& log) {
  this->now = at;
  this->replica.Read(log, [this, at](LogPosition position,
                                     const pb::Record& record,
                                     Verdict verdict) {
    request::ClaimAgent* agent = this->rules->Product();
    if (agent == nullptr) return;
    if (this->Mutated("run-after-reset") && record.has_shard_reset()) {
      pb::Record reopen;
      reopen.mutable_shard_reopen()->set_shard(record.shard_reset().shard());
      this->table.Apply(position, {}, reopen);
    }
    agent->OnRecord(at, position, record, verdict, this->out);
  });
  this->Pump();
}

void BenchDaemon::LoadState(TimePoint at, const BenchDaemon& other) {
  this->now = at;
  this->replica.LoadFrom(other.replica);
  if (request::ClaimAgent* agent = this->rules->Product()) {
    agent->OnStateLoaded(at, this->out);
  }
  this->Pump();
}

void BenchDaemon::BeginDrain(TimePoint at) {
  this->now = at;
  if (request::ClaimAgent* agent = this->rules->Product()) {
    agent->BeginDrain(at, this->out);
  }
  this->Pump();
}

void BenchDaemon::OnTick(TimePoint at) {
  this->now = at;
  this->peers.OnTick(at);
  this->CheckTimes();
  this->rules->OnTick(at, this->out);

  for (const request::ShedItem& shed : this->admission.TakeShed(at)) {
    this->Answer(this->requests.at(shed.handle), node::Outcome::kNotRun,
                 std::string(shed.reason));
    this->Remove(shed.handle);
  }
  const int busy = static_cast<int>(this->admission.Running());
  for (const uint64_t handle : this->admission.TakeStarts(
           at, std::max(0, this->options.capacity - busy))) {
    this->Claim(this->requests.at(handle));
  }
  this->Pump();
}

void BenchDaemon::CheckTimes() {
  std::vector<uint64_t> handles_now;
  for (const auto& [handle, request] : this->requests) {
    handles_now.push_back(handle);
  }
  for (const uint64_t handle : handles_now) {
    Request& request = this->requests.at(handle);
    if (!request.started) continue;
    const bool late = request.deadline <= this->now;
    if (!request.running) {
      if (!late) continue;
      this->rules->Abandon(this->now, request.id, this->out);
      this->Answer(request, node::Outcome::kNotRun, "no claim in time");
      this->admission.OnFinished(this->now, handle, Tokens(0));
      this->Remove(handle);
      continue;
    }

    const Duration limit = request.tokens.empty()
                               ? this->options.first_byte_timeout
                               : this->options.idle_timeout;
    if (late) {
      request.retries = 1000;
      this->OnFailure(request, node::AttemptEventKind::kSilent);
    } else if (request.retry_at) {
      if (*request.retry_at <= this->now) {
        this->SendAttempt(request, request.retry_upstream, true);
      }
    } else if (this->now - request.last_progress >= limit) {
      request.filter.OnClosed(request.attempt);
      this->OnFailure(request, node::AttemptEventKind::kSilent);
    }
  }
}

size_t BenchDaemon::Overdue(TimePoint at) const {
  return static_cast<size_t>(std::count_if(
      this->requests.begin(), this->requests.end(), [at](const auto& entry) {
        return entry.second.deadline + std::chrono::seconds(1) < at;
      }));
}

void BenchDaemon::Pump() {
  // A decision may lead to further ones, for example when a call fails at
  // once.
  while (true) {
    const std::vector<request::Decision> decisions =
        this->rules->TakeDecisions();
    if (decisions.empty()) break;
    for (const request::Decision& decision : decisions) {
      this->OnDecision(decision);
    }
  }
  for (const request::Billing& billing : this->rules->TakeBillings()) {
    const auto found = this->ran_here.find(billing.request_id);
    if (found == this->ran_here.end()) continue;
    this->host.Record().OnBill(found->second, billing.request_id,
                               billing.billed_here);
  }

  for (const Envelope& envelope : this->out.messages) {
    this->host.SendPeer(this->Self(), envelope);
  }
  this->out.messages.clear();
  this->replica.Queue(this->out.records);
  if (const auto batch = this->replica.TakeAppend(this->now)) {
    this->host.SendAppend(this->Self(), *batch);
  }
}

}  // namespace fuchsiadrum::bench::requests
