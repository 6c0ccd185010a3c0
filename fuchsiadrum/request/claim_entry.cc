#include "fuchsiadrum/request/claim_entry.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::request {
namespace {

constexpr const char* kStep = "claim";

/// Completions repeated in one tick: a home that comes back after a long
/// partition is not flooded.
constexpr size_t kMaxDueAtOnce = 64;

}  // namespace

void ClaimEntry::Decide(const Call& call, ClaimOutcome outcome,
                        const char* text) {
  Decision decision{.request_id = call.request_id, .outcome = outcome};
  decision.reason = {.step = kStep, .text = text};
  this->decisions.push_back(std::move(decision));
}

void ClaimEntry::Ask(TimePoint now, const Call& call, Outbox& out) {
  FD_ASSERT(!this->waiting.contains(call.request_id) &&
                !this->running.contains(call.request_id),
            "request: one claim is asked for each request");
  Asked asked{.call = call,
              .attempt = this->next_attempt++,
              .since = now,
              .last_sent = now};
  if (call.key.empty()) {
    if (!call.idempotent) {
      this->Decide(call, ClaimOutcome::kKeyMissing,
                   "a call that must not run twice needs an idempotency key");
      return;
    }
    this->RunUnclaimed(asked);
    return;
  }

  asked.shard = this->table.ShardOf(call.organisation, call.key);
  const Shard& shard = this->table.At(asked.shard);
  const bool full = this->completions.size() >= this->options.max_completions;
  const bool silent =
      shard.HasHome() && shard.home != this->peers.Self().ref &&
      this->peers.SilentFor(now, shard.home).value_or(Duration::zero()) >=
          this->options.out_of_reach_after;

  if (call.idempotent && (!shard.HasHome() || full || silent)) {
    this->RunUnclaimed(asked);
    return;
  }
  if (!shard.HasHome() || full) {
    this->Decide(call, ClaimOutcome::kRefused,
                 full ? "too many completions wait for their homes"
                      : "the shard of the key has no home yet");
    return;
  }

  Asked& stored =
      this->waiting.emplace(call.request_id, std::move(asked)).first->second;
  this->SendAsk(now, stored, out);
}

void ClaimEntry::RunUnclaimed(const Asked& asked) {
  FD_ASSERT(asked.call.idempotent,
            "request: only an idempotent call runs without a claim");
  this->running[asked.call.request_id] = asked;
  this->decisions.push_back({.request_id = asked.call.request_id,
                             .outcome = ClaimOutcome::kRun,
                             .claimed = false});
}

void ClaimEntry::SendAsk(TimePoint now, Asked& asked, Outbox& out) {
  const Shard& shard = this->table.At(asked.shard);
  asked.last_sent = now;
  if (!shard.HasHome()) return;

  pb::ClaimAsk& ask = *out.AddMessage(shard.home).mutable_claim_ask();
  ask.mutable_key()->set_organisation(asked.call.organisation);
  ask.mutable_key()->set_key(asked.call.key);
  ask.set_shard(asked.shard);
  *ask.mutable_term() = shard.term.ToProto();
  ask.set_request_id(asked.call.request_id);
  ask.set_attempt(asked.attempt);
  ask.set_idempotent(asked.call.idempotent);
  ask.set_body_digest(asked.call.body_digest);
  ask.set_work_class(asked.call.work_class);
}

void ClaimEntry::OnReply(TimePoint now, const pb::ClaimReply& reply,
                         Outbox& out) {
  const auto found = this->waiting.find(reply.request_id());
  if (found == this->waiting.end() ||
      found->second.attempt != reply.attempt()) {
    this->ReleaseLate(now, reply, out);
    return;
  }

  Asked asked = found->second;
  switch (reply.answer()) {
    case pb::CLAIM_RUN:
      this->waiting.erase(found);
      this->running[reply.request_id()] = std::move(asked);
      this->decisions.push_back({.request_id = reply.request_id(),
                                 .outcome = ClaimOutcome::kRun,
                                 .claimed = true});
      return;
    case pb::CLAIM_IN_PROGRESS:
      this->Decide(asked.call, ClaimOutcome::kInProgress,
                   "another request with this key is running");
      break;
    case pb::CLAIM_DONE:
      this->Decide(asked.call, ClaimOutcome::kDone, "");
      this->decisions.back().reason = {};
      this->decisions.back().stored = reply.stored();
      break;
    case pb::CLAIM_UNKNOWN:
      this->Decide(asked.call, ClaimOutcome::kUnknown,
                   "an earlier request with this key may have run");
      break;
    case pb::CLAIM_KEY_REUSED:
      this->Decide(asked.call, ClaimOutcome::kKeyReused,
                   "the key was used with another body");
      break;
    case pb::CLAIM_REFUSED:
      this->waiting.erase(found);
      if (asked.call.idempotent) {
        this->RunUnclaimed(asked);
      } else {
        this->Decide(asked.call, ClaimOutcome::kRefused,
                     "the home has no room for the key");
      }
      return;
    default:
      // The table here or there is out of date; the ask is repeated.
      return;
  }
  this->waiting.erase(reply.request_id());
}

void ClaimEntry::ReleaseLate(TimePoint now, const pb::ClaimReply& reply,
                             Outbox& out) {
  // A claim for an ask that was given up would block its key.
  const auto late = this->abandoned.find(reply.request_id());
  if (reply.answer() == pb::CLAIM_RUN && late != this->abandoned.end() &&
      late->second.attempt == reply.attempt()) {
    this->Post(now, this->DoneOf(late->second), out);
  }
}

pb::ClaimDone ClaimEntry::DoneOf(const Asked& asked) const {
  pb::ClaimDone done;
  done.mutable_key()->set_organisation(asked.call.organisation);
  done.mutable_key()->set_key(asked.call.key);
  done.set_shard(asked.shard);
  done.set_request_id(asked.call.request_id);
  done.set_attempt(asked.attempt);
  done.set_idempotent(asked.call.idempotent);
  done.set_body_digest(asked.call.body_digest);
  done.set_work_class(asked.call.work_class);
  return done;
}

void ClaimEntry::Done(TimePoint now, const std::string& request_id,
                      const Completion& completion, Outbox& out) {
  const auto found = this->running.find(request_id);
  FD_ASSERT(found != this->running.end(),
            "request: only a request that was told to run ends");
  const Asked asked = std::move(found->second);
  this->running.erase(found);

  const bool finished = completion.ran && completion.outcome_known;
  const bool full = this->completions.size() >= this->options.max_completions;
  if (asked.call.key.empty() || full) {
    // Without a key no other request can carry the bill. Without room for the
    // completion nobody can tell, so it is not billed.
    this->billings.push_back({request_id, finished && asked.call.key.empty()});
    return;
  }

  pb::ClaimDone done = this->DoneOf(asked);
  done.set_ran(completion.ran);
  done.set_outcome_known(completion.outcome_known);
  if (finished) *done.mutable_stored() = completion.stored;
  this->Post(now, std::move(done), out);
}

void ClaimEntry::Post(TimePoint now, pb::ClaimDone done, Outbox& out) {
  Unacknowledged& entry = this->completions[done.request_id()];
  entry.done = std::move(done);
  entry.backoff = this->options.resend_after;
  this->SendDone(now, entry, out);
}

void ClaimEntry::SendDone(TimePoint now, Unacknowledged& entry, Outbox& out) {
  this->Schedule(entry, now + entry.backoff);
  entry.backoff = std::min(entry.backoff * 2, this->options.max_backoff);
  const Shard& shard = this->table.At(entry.done.shard());
  if (!shard.HasHome()) return;
  *out.AddMessage(shard.home).mutable_claim_done() = entry.done;
}

void ClaimEntry::Schedule(Unacknowledged& entry, TimePoint at) {
  this->due.erase({entry.due, entry.done.request_id()});
  entry.due = at;
  this->due.emplace(at, entry.done.request_id());
}

void ClaimEntry::SendDue(TimePoint now, Outbox& out) {
  // A clock that was set back would otherwise delay them for as long.
  const TimePoint latest = now + this->options.max_backoff;
  for (size_t i = 0; i < kMaxDueAtOnce && !this->due.empty(); ++i) {
    if (this->due.begin()->first > now && this->due.begin()->first <= latest) {
      return;
    }
    this->SendDone(now, this->completions.at(this->due.begin()->second), out);
  }
}

void ClaimEntry::OnDoneAck(const pb::ClaimDoneAck& ack) {
  const auto found = this->completions.find(ack.request_id());
  if (found == this->completions.end() ||
      found->second.done.attempt() != ack.attempt()) {
    return;
  }

  const bool abandoned = this->abandoned.contains(ack.request_id());
  if (!abandoned) {
    this->billings.push_back(
        {ack.request_id(), ack.billed_here(), ack.released()});
  }
  this->due.erase({found->second.due, ack.request_id()});
  this->completions.erase(found);
}

void ClaimEntry::Abandon(TimePoint now, const std::string& request_id,
                         Outbox& out) {
  const auto found = this->waiting.find(request_id);
  if (found == this->waiting.end()) return;
  const Asked asked = std::move(found->second);
  this->waiting.erase(found);
  this->GiveUp(now, asked, out);
}

void ClaimEntry::GiveUp(TimePoint now, const Asked& asked, Outbox& out) {
  this->RememberAbandoned(asked);
  // The home may have recorded the intent; it must not block the key.
  if (this->completions.size() < this->options.max_completions) {
    this->Post(now, this->DoneOf(asked), out);
  }
}

void ClaimEntry::RememberAbandoned(const Asked& asked) {
  this->abandoned[asked.call.request_id] = asked;
  this->abandoned_order.push_back(asked.call.request_id);
  while (this->abandoned_order.size() > this->options.max_abandoned) {
    this->abandoned.erase(this->abandoned_order.front());
    this->abandoned_order.pop_front();
  }
}

void ClaimEntry::Expire(TimePoint now, Outbox& out) {
  std::vector<std::string> expired;
  for (const auto& [request_id, asked] : this->waiting) {
    const Duration limit = asked.call.idempotent
                               ? this->options.idempotent_timeout
                               : this->options.claim_timeout;
    if (now - asked.since >= limit) expired.push_back(request_id);
  }

  for (const std::string& request_id : expired) {
    const Asked asked = this->waiting.at(request_id);
    this->waiting.erase(request_id);
    if (asked.call.idempotent) {
      this->RunUnclaimed(asked);
      continue;
    }
    this->GiveUp(now, asked, out);
    this->Decide(asked.call, ClaimOutcome::kRefused,
                 "the home of the key did not answer");
  }
}

void ClaimEntry::OnTick(TimePoint now, Outbox& out) {
  this->Expire(now, out);
  for (auto& [request_id, asked] : this->waiting) {
    const Duration gone = now - asked.last_sent;
    if (gone >= this->options.resend_after || gone < Duration::zero()) {
      this->SendAsk(now, asked, out);
    }
  }
  this->SendDue(now, out);
}

void ClaimEntry::OnShardChanged(TimePoint now, uint32_t shard, Outbox& out) {
  for (auto& [request_id, asked] : this->waiting) {
    if (asked.shard == shard) this->SendAsk(now, asked, out);
  }
  // The next ticks send them, some at a time.
  for (auto& [request_id, entry] : this->completions) {
    if (entry.done.shard() != shard) continue;
    entry.backoff = this->options.resend_after;
    this->Schedule(entry, now);
  }
}

std::vector<Decision> ClaimEntry::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

std::optional<Decision> ClaimEntry::TakeDecision(
    const std::string& request_id) {
  for (auto it = this->decisions.begin(); it != this->decisions.end(); ++it) {
    if (it->request_id != request_id) continue;
    Decision decision = std::move(*it);
    this->decisions.erase(it);
    return decision;
  }
  return std::nullopt;
}

std::vector<Billing> ClaimEntry::TakeBillings() {
  return std::exchange(this->billings, {});
}

}  // namespace fuchsiadrum::request
