#include "fuchsiadrum/request/claim_witness.h"

#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::request {
namespace {

/// Stores kept out of order; the home repeats what does not fit.
constexpr size_t kMaxAhead = 256;

}  // namespace

void ClaimWitness::Start(uint32_t shard, LogPosition term, const VmRef& home) {
  const auto found = this->replicas.find(shard);
  if (found != this->replicas.end() && found->second.term == term) return;
  this->Drop(shard);
  this->replicas[shard] = Replica{.term = term, .home = home};
}

void ClaimWitness::Drop(uint32_t shard) {
  const auto found = this->replicas.find(shard);
  if (found == this->replicas.end()) return;
  this->body_bytes -= found->second.body_bytes;
  this->replicas.erase(found);
}

void ClaimWitness::OnStore(TimePoint now, const VmRef& from,
                           const pb::IntentStore& store, Outbox& out) {
  const auto found = this->replicas.find(store.shard());
  if (found == this->replicas.end()) return;
  Replica& replica = found->second;
  if (replica.sealed || replica.home != from ||
      replica.term != LogPosition::FromProto(store.term())) {
    return;
  }

  if (store.sequence() > replica.applied + 1) {
    if (replica.ahead.size() < kMaxAhead) {
      replica.ahead.emplace(store.sequence(), store);
    }
    return;
  }

  if (store.sequence() == replica.applied + 1) Apply(now, replica, store);
  while (!replica.ahead.empty()) {
    const auto next = replica.ahead.begin();
    if (next->first > replica.applied + 1) break;
    if (next->first == replica.applied + 1) Apply(now, replica, next->second);
    replica.ahead.erase(next);
  }
  Acknowledge(store.shard(), replica, false, out);
}

void ClaimWitness::Apply(TimePoint now, Replica& replica,
                         const pb::IntentStore& store) {
  for (const pb::Intent& intent : store.intents()) {
    const std::string index = KeyTable::IndexOf(intent.key());
    this->Forget(replica, index);
    if (intent.phase() == pb::INTENT_RELEASED) continue;

    KeyRecord& record = replica.keys.Put(intent, now);
    const size_t bytes = intent.stored().body().size();
    if (bytes > 0 && this->body_bytes + bytes > this->max_body_bytes) {
      record.intent.mutable_stored()->clear_body();
      record.intent.mutable_stored()->set_body_gone(true);
      continue;
    }
    replica.body_bytes += bytes;
    this->body_bytes += bytes;
  }
  replica.applied = store.sequence();
  if (store.bulk_end()) replica.complete = true;
}

void ClaimWitness::Forget(Replica& replica, const std::string& index) {
  const KeyRecord* record = replica.keys.Find(index);
  if (record == nullptr) return;
  const size_t bytes = record->intent.stored().body().size();
  replica.body_bytes -= bytes;
  this->body_bytes -= bytes;
  replica.keys.Erase(index);
}

void ClaimWitness::Acknowledge(uint32_t shard, const Replica& replica,
                               bool leaving, Outbox& out) {
  FD_ASSERT(!replica.sealed, "request: a sealed witness does not acknowledge");
  pb::IntentAck& ack = *out.AddMessage(replica.home).mutable_intent_ack();
  ack.set_shard(shard);
  *ack.mutable_term() = replica.term.ToProto();
  ack.set_sequence(replica.applied);
  ack.set_leaving(leaving);
}

void ClaimWitness::Seal(uint32_t shard) {
  const auto found = this->replicas.find(shard);
  if (found != this->replicas.end()) found->second.sealed = true;
}

bool ClaimWitness::IsComplete(uint32_t shard) const {
  const auto found = this->replicas.find(shard);
  return found != this->replicas.end() && found->second.complete;
}

std::optional<KeyTable> ClaimWitness::Take(uint32_t shard, LogPosition term) {
  const auto found = this->replicas.find(shard);
  if (found == this->replicas.end() || found->second.term != term ||
      !found->second.complete) {
    return std::nullopt;
  }

  KeyTable keys = std::move(found->second.keys);
  this->Drop(shard);
  return keys;
}

void ClaimWitness::AnnounceLeaving(Outbox& out) const {
  for (const auto& [shard, replica] : this->replicas) {
    if (!replica.sealed) Acknowledge(shard, replica, true, out);
  }
}

}  // namespace fuchsiadrum::request
