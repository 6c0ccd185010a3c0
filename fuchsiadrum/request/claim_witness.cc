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
  this->replicas[shard] = Replica{.term = term, .home = home};
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
    if (intent.phase() == pb::INTENT_RELEASED) {
      replica.keys.Erase(KeyTable::IndexOf(intent.key()));
    } else {
      replica.keys.Put(intent, now);
    }
  }
  replica.applied = store.sequence();
  if (store.bulk_end()) replica.complete = true;
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
  this->replicas.erase(found);
  return keys;
}

void ClaimWitness::AnnounceLeaving(Outbox& out) const {
  for (const auto& [shard, replica] : this->replicas) {
    if (!replica.sealed) Acknowledge(shard, replica, true, out);
  }
}

}  // namespace fuchsiadrum::request
