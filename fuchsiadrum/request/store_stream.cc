#include "fuchsiadrum/request/store_stream.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::request {
namespace {

constexpr int kIntentsInPart = 128;

/// Stores repeated at once; the rest follows when these are acknowledged.
constexpr size_t kResendWindow = 32;

}  // namespace

pb::IntentStore& StoreStream::Next() {
  pb::IntentStore& store = this->unacked.emplace_back();
  store.set_shard(this->shard);
  *store.mutable_term() = this->witness_term.ToProto();
  store.set_sequence(this->next_sequence++);
  return store;
}

void StoreStream::AddIntent(pb::IntentStore& store,
                            const pb::Intent& intent) const {
  pb::Intent& copy = *store.add_intents();
  copy = intent;
  if (copy.stored().body().size() > this->options.small_answer_bytes) {
    copy.mutable_stored()->clear_body();
    copy.mutable_stored()->set_body_gone(true);
  }
}

void StoreStream::Emit(const pb::IntentStore& store, Outbox& out) const {
  *out.AddMessage(this->witness).mutable_intent_store() = store;
}

void StoreStream::Restart(TimePoint now, const VmRef& new_witness,
                          LogPosition new_term, KeyTable& keys, Outbox& out) {
  this->witness = new_witness;
  this->witness_term = new_term;
  this->next_sequence = 1;
  this->acked = 0;
  this->witness_leaving = false;
  this->unacked.clear();
  this->last_sent = now;

  pb::IntentStore* part = nullptr;
  for (const KeyRecord* record : keys.Sorted()) {
    if (part == nullptr || part->intents_size() >= kIntentsInPart) {
      part = &this->Next();
      part->set_bulk(true);
    }
    this->AddIntent(*part, record->intent);
  }
  if (part == nullptr) part = &this->Next();
  part->set_bulk(true);
  part->set_bulk_end(true);
  this->bulk_end = part->sequence();

  for (KeyRecord* record : keys.Sorted()) record->sequence = this->bulk_end;
  std::vector<Envelope> all;
  for (auto& [sequence, replies] : this->waiting) {
    for (Envelope& reply : replies) all.push_back(std::move(reply));
  }
  this->waiting.clear();
  if (!all.empty()) this->waiting[this->bulk_end] = std::move(all);

  const size_t first = std::min(this->unacked.size(), kResendWindow);
  for (size_t i = 0; i < first; ++i) this->Emit(this->unacked[i], out);
}

void StoreStream::Send(TimePoint now, KeyRecord& record, Outbox& out) {
  if (this->unacked.empty()) this->last_sent = now;
  pb::IntentStore& store = this->Next();
  this->AddIntent(store, record.intent);
  record.sequence = store.sequence();
  this->Emit(store, out);
}

void StoreStream::ReplyAt(uint64_t sequence, Envelope reply, Outbox& out) {
  if (this->IsAcked(sequence)) {
    out.messages.push_back(std::move(reply));
    return;
  }

  // An entry repeats its message while the reply waits.
  std::vector<Envelope>& replies = this->waiting[sequence];
  const auto same = [&reply](const Envelope& other) {
    return other.to == reply.to &&
           other.body.kind_case() == reply.body.kind_case() &&
           other.body.claim_reply().request_id() ==
               reply.body.claim_reply().request_id() &&
           other.body.claim_done_ack().request_id() ==
               reply.body.claim_done_ack().request_id();
  };
  if (std::any_of(replies.begin(), replies.end(), same)) return;
  replies.push_back(std::move(reply));
}

void StoreStream::OnAck(const VmRef& from, const pb::IntentAck& ack,
                        Outbox& out) {
  if (from != this->witness ||
      LogPosition::FromProto(ack.term()) != this->witness_term) {
    return;
  }
  if (ack.sequence() >= this->next_sequence) return;
  if (ack.leaving()) this->witness_leaving = true;
  this->acked = std::max(this->acked, ack.sequence());

  while (!this->unacked.empty() &&
         this->unacked.front().sequence() <= this->acked) {
    this->unacked.pop_front();
  }
  while (!this->waiting.empty() &&
         this->waiting.begin()->first <= this->acked) {
    for (Envelope& reply : this->waiting.begin()->second) {
      out.messages.push_back(std::move(reply));
    }
    this->waiting.erase(this->waiting.begin());
  }
}

void StoreStream::OnTick(TimePoint now, Outbox& out) {
  if (this->unacked.empty()) return;
  if (now - this->last_sent < this->options.resend_after) return;
  this->last_sent = now;

  const size_t count = std::min(this->unacked.size(), kResendWindow);
  for (size_t i = 0; i < count; ++i) this->Emit(this->unacked[i], out);
}

}  // namespace fuchsiadrum::request
