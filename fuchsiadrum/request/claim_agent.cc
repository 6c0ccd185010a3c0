#include "fuchsiadrum/request/claim_agent.h"

#include <utility>

#include "fuchsiadrum/request/issued_key.h"

namespace fuchsiadrum::request {
namespace {

/// Interval at which a leaving witness asks to be replaced.
constexpr Duration kAnnounceEvery = std::chrono::milliseconds(500);

/// Shard that a record is about; nullopt: none.
std::optional<uint32_t> ShardOfRecord(const pb::Record& record) {
  switch (record.kind_case()) {
    case pb::Record::kShardAssign:
      return record.shard_assign().shard();
    case pb::Record::kShardTakeOver:
      return record.shard_take_over().shard();
    case pb::Record::kShardReplaceWitness:
      return record.shard_replace_witness().shard();
    case pb::Record::kShardHandOver:
      return record.shard_hand_over().shard();
    case pb::Record::kShardReset:
      return record.shard_reset().shard();
    default:
      return std::nullopt;
  }
}

}  // namespace

ClaimAgent::ClaimAgent(const ShardTable& table, const PeerView& peers,
                       ClaimAgentOptions given, Rng rng)
    : table(table),
      peers(peers),
      options(given),
      rng(rng),
      entry(table, peers, this->options),
      home(table, peers, this->options),
      witness(this->options.max_answer_bytes),
      policy(table, peers, this->options) {}

std::optional<Decision> ClaimAgent::Ask(TimePoint now, const Call& call,
                                        Outbox& out) {
  this->entry.Ask(now, call, this->local);
  this->Flush(now, out);

  // A call whose home is this daemon may be decided by now.
  return this->entry.TakeDecision(call.request_id);
}

std::vector<Decision> ClaimAgent::TakeDecisions() {
  return this->entry.TakeDecisions();
}

void ClaimAgent::Done(TimePoint now, const std::string& request_id,
                      const Completion& completion, Outbox& out) {
  this->entry.Done(now, request_id, completion, this->local);
  this->Flush(now, out);
}

void ClaimAgent::Abandon(TimePoint now, const std::string& request_id,
                         Outbox& out) {
  this->entry.Abandon(now, request_id, this->local);
  this->Flush(now, out);
}

std::vector<Billing> ClaimAgent::TakeBillings() {
  return this->entry.TakeBillings();
}

std::optional<std::string> ClaimAgent::IssueKey() {
  std::vector<uint32_t> own;
  std::vector<uint32_t> any;
  for (uint32_t shard = 0; shard < this->table.Size(); ++shard) {
    if (!this->table.At(shard).HasHome()) continue;
    any.push_back(shard);
    if (this->home.Serves(shard)) own.push_back(shard);
  }

  // A key of an own shard saves the way to its home if the call comes here.
  const std::vector<uint32_t>& choice = own.empty() ? any : own;
  if (choice.empty()) return std::nullopt;
  const uint32_t shard = choice[this->rng.Below(choice.size())];
  return request::IssueKey(shard, this->table.At(shard).term, this->rng);
}

void ClaimAgent::OnRecord(TimePoint now, LogPosition /*at*/,
                          const pb::Record& record, Verdict verdict,
                          Outbox& out) {
  if (verdict != Verdict::kAccepted) return;
  const auto shard = ShardOfRecord(record);
  if (!shard) return;

  this->Reconcile(now, *shard);
  this->Flush(now, out);
}

void ClaimAgent::OnStateLoaded(TimePoint now, Outbox& out) {
  for (uint32_t shard = 0; shard < this->table.Size(); ++shard) {
    this->Reconcile(now, shard);
  }
  this->Flush(now, out);
}

void ClaimAgent::Reconcile(TimePoint now, uint32_t shard) {
  const Shard& state = this->table.At(shard);
  const VmRef& self = this->peers.Self().ref;

  if (state.home != self) {
    this->home.Stop(shard);
  } else if (!this->home.Serves(shard)) {
    // The records come from this daemon's replica of the term that the
    // present one continues; a term that continues none starts empty.
    this->home.Stop(shard);
    std::optional<KeyTable> keys =
        state.base_term ? this->witness.Take(shard, *state.base_term)
                        : KeyTable();
    if (keys) this->home.Start(now, shard, std::move(*keys), this->local);
  } else if (this->home.StreamOf(shard)->WitnessTerm() != state.witness_term) {
    this->home.ChangeWitness(now, shard, this->local);
  }

  if (state.witness == self) {
    this->witness.Start(shard, state.witness_term, state.home);
  } else {
    this->witness.Drop(shard);
  }
  this->entry.OnShardChanged(now, shard, this->local);
}

void ClaimAgent::OnMessage(TimePoint now, const VmRef& from,
                           const pb::PeerMessage& message, Outbox& out) {
  this->Handle(now, from, message);
  this->Flush(now, out);
}

void ClaimAgent::Handle(TimePoint now, const VmRef& from,
                        const pb::PeerMessage& message) {
  switch (message.kind_case()) {
    case pb::PeerMessage::kClaimAsk:
      this->home.OnAsk(now, from, message.claim_ask(), this->local);
      break;
    case pb::PeerMessage::kClaimReply:
      this->entry.OnReply(now, message.claim_reply(), this->local);
      break;
    case pb::PeerMessage::kClaimDone:
      this->home.OnDone(now, from, message.claim_done(), this->local);
      break;
    case pb::PeerMessage::kClaimDoneAck:
      this->entry.OnDoneAck(message.claim_done_ack());
      break;
    case pb::PeerMessage::kIntentStore:
      this->witness.OnStore(now, from, message.intent_store(), this->local);
      break;
    case pb::PeerMessage::kIntentAck:
      this->home.OnAck(from, message.intent_ack(), this->local);
      break;
    default:
      break;
  }
}

void ClaimAgent::Flush(TimePoint now, Outbox& out) {
  const VmRef self = this->peers.Self().ref;
  // Handling a message may add further ones at the end.
  for (size_t i = 0; i < this->local.messages.size(); ++i) {
    Envelope envelope = std::move(this->local.messages[i]);
    if (envelope.to == self) {
      this->Handle(now, self, envelope.body);
    } else {
      out.messages.push_back(std::move(envelope));
    }
  }
  this->local.messages.clear();

  for (pb::Record& record : this->local.records) {
    out.records.push_back(std::move(record));
  }
  this->local.records.clear();
}

void ClaimAgent::OnTick(TimePoint now, Outbox& out) {
  const bool settled = this->IsViewSettled(now);
  this->home.SetViewSettled(settled);
  this->entry.OnTick(now, this->local);
  this->home.OnTick(now, this->local);
  if (settled) {
    this->policy.OnTick(now, this->home, this->witness, this->draining,
                        this->local);
  }
  if (this->draining && now - this->announced >= kAnnounceEvery) {
    this->announced = now;
    this->witness.AnnounceLeaving(this->local);
  }
  this->Flush(now, out);
}

bool ClaimAgent::IsViewSettled(TimePoint now) {
  const bool paused = !this->last_tick || now < *this->last_tick ||
                      now - *this->last_tick > this->options.paused_after;
  if (paused) this->awake_since = now;
  this->last_tick = now;
  return now - this->awake_since >= this->options.assign_after;
}

void ClaimAgent::BeginDrain(TimePoint now, Outbox& out) {
  this->draining = true;
  this->OnTick(now, out);
}

bool ClaimAgent::IsDrained() const {
  return this->draining && this->entry.IsIdle() && this->home.Count() == 0 &&
         this->witness.Count() == 0;
}

}  // namespace fuchsiadrum::request
