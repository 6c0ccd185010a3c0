#include "fuchsiadrum/request/claim_home.h"

#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/request/issued_key.h"

namespace fuchsiadrum::request {
namespace {

/// Interval between searches for intents of lost entries.
constexpr Duration kScanEvery = std::chrono::seconds(1);

/// Interval between repetitions of a listing that was not read back.
constexpr Duration kListAgainEvery = std::chrono::seconds(10);

/// Entries about replaced records that are tolerated in the orders of age.
constexpr size_t kStaleSlack = 1024;

bool IsHeldBy(const pb::Intent& intent, const VmRef& entry,
              const std::string& request_id, uint32_t attempt) {
  return intent.request_id() == request_id && intent.attempt() == attempt &&
         VmRef::FromProto(intent.entry()) == entry;
}

Envelope ReplyTo(const VmRef& to, const pb::ClaimAsk& ask,
                 pb::ClaimAnswer answer) {
  Envelope envelope{.to = to};
  pb::ClaimReply& reply = *envelope.body.mutable_claim_reply();
  *reply.mutable_key() = ask.key();
  reply.set_request_id(ask.request_id());
  reply.set_attempt(ask.attempt());
  reply.set_answer(answer);
  return envelope;
}

Envelope AckTo(const VmRef& to, const pb::ClaimDone& done, bool billed) {
  Envelope envelope{.to = to};
  pb::ClaimDoneAck& ack = *envelope.body.mutable_claim_done_ack();
  *ack.mutable_key() = done.key();
  ack.set_request_id(done.request_id());
  ack.set_attempt(done.attempt());
  ack.set_billed_here(billed);
  return envelope;
}

}  // namespace

void ClaimHome::Start(TimePoint now, uint32_t shard, KeyTable keys,
                      Outbox& out) {
  this->Stop(shard);
  const Shard& state = this->table.At(shard);
  HomeShard& home =
      this->shards
          .emplace(shard,
                   HomeShard{.term = state.term,
                             .keys = std::move(keys),
                             .stream = StoreStream(
                                 shard,
                                 {.small_answer_bytes =
                                      this->options.small_answer_bytes,
                                  .resend_after = this->options.resend_after})})
          .first->second;

  this->total_keys += home.keys.Count();
  for (KeyRecord* record : home.keys.Sorted()) {
    const pb::IntentPhase phase = record->intent.phase();
    if (phase != pb::INTENT_RUNNING) this->Remember(now, shard, *record);
    if (phase == pb::INTENT_UNKNOWN && !record->intent.idempotent()) {
      home.unlisted.insert(KeyTable::IndexOf(record->intent.key()));
    }
  }
  this->EvictAnswers();
  this->ChangeWitness(now, shard, out);
}

void ClaimHome::Stop(uint32_t shard) {
  const auto found = this->shards.find(shard);
  if (found == this->shards.end()) return;

  this->total_keys -= found->second.keys.Count();
  for (const KeyRecord* record : found->second.keys.Sorted()) {
    this->answer_bytes -= record->intent.stored().body().size();
  }
  this->shards.erase(found);
}

void ClaimHome::ChangeWitness(TimePoint now, uint32_t shard, Outbox& out) {
  HomeShard& home = this->shards.at(shard);
  const Shard& state = this->table.At(shard);
  home.stream.Restart(now, state.witness, state.witness_term, home.keys, out);
}

bool ClaimHome::Serves(uint32_t shard) const {
  const auto found = this->shards.find(shard);
  return found != this->shards.end() &&
         found->second.term == this->table.At(shard).term;
}

const StoreStream* ClaimHome::StreamOf(uint32_t shard) const {
  const auto found = this->shards.find(shard);
  return found == this->shards.end() ? nullptr : &found->second.stream;
}

ClaimHome::HomeShard* ClaimHome::Served(uint32_t shard,
                                        const pb::ClaimKey& key) {
  // A daemon with other zones or another shard count maps the key elsewhere;
  // two homes of one key would let it run twice.
  if (shard >= this->table.Size() || !this->Serves(shard) ||
      this->table.ShardOf(key.organisation(), key.key()) != shard) {
    return nullptr;
  }

  // A key issued in a later term than the one known here: this daemon's view
  // of the shard is out of date.
  const auto issued = ParseIssuedKey(key.key());
  if (issued && issued->term > this->table.At(shard).term) return nullptr;
  return &this->shards.at(shard);
}

void ClaimHome::OnAsk(TimePoint now, const VmRef& from, const pb::ClaimAsk& ask,
                      Outbox& out) {
  HomeShard* home = this->Served(ask.shard(), ask.key());
  if (home == nullptr) {
    out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_NOT_HOME));
    return;
  }

  KeyRecord* record = home->keys.Find(KeyTable::IndexOf(ask.key()));
  if (record == nullptr) {
    this->AnswerNewKey(now, *home, from, ask, out);
  } else {
    this->AnswerKnownKey(now, *home, *record, from, ask, out);
  }
}

void ClaimHome::AnswerNewKey(TimePoint now, HomeShard& home, const VmRef& from,
                             const pb::ClaimAsk& ask, Outbox& out) {
  const bool lost_term = this->IsKeyOfLostTerm(ask.shard(), ask.key().key());
  // Before the witness has everything, a non-idempotent call waits: its entry
  // asks again.
  if (!ask.idempotent() && !lost_term && !home.stream.IsSettled()) return;

  pb::Intent intent;
  *intent.mutable_key() = ask.key();
  intent.set_idempotent(ask.idempotent());
  intent.set_body_digest(ask.body_digest());
  intent.set_work_class(ask.work_class());
  intent.set_request_id(ask.request_id());
  // An idempotent call of a lost term may have been billed before.
  intent.set_unbilled(lost_term && ask.idempotent());
  intent.set_may_have_run(lost_term);
  intent.set_phase(pb::INTENT_RUNNING);
  KeyRecord* record = this->NewRecord(now, home, intent, out);
  if (record == nullptr) {
    out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_REFUSED));
    return;
  }

  if (lost_term && !ask.idempotent()) {
    this->MarkUnknown(now, home, *record, "reset", out);
    out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_UNKNOWN));
    return;
  }
  this->Claim(now, home, *record, from, ask, out);
}

void ClaimHome::Claim(TimePoint now, HomeShard& home, KeyRecord& record,
                      const VmRef& from, const pb::ClaimAsk& ask, Outbox& out) {
  record.intent.set_request_id(ask.request_id());
  record.intent.set_attempt(ask.attempt());
  *record.intent.mutable_entry() = from.ToProto();
  home.keys.SetPhase(record, pb::INTENT_RUNNING, now);
  home.stream.Send(now, record, out);

  Envelope reply = ReplyTo(from, ask, pb::CLAIM_RUN);
  if (record.intent.idempotent() && !home.stream.IsSettled()) {
    out.messages.push_back(std::move(reply));
    return;
  }
  home.stream.ReplyAt(record.sequence, std::move(reply), out);
}

void ClaimHome::AnswerKnownKey(TimePoint now, HomeShard& home,
                               KeyRecord& record, const VmRef& from,
                               const pb::ClaimAsk& ask, Outbox& out) {
  pb::Intent& intent = record.intent;
  if (!intent.body_digest().empty() && !ask.body_digest().empty() &&
      intent.body_digest() != ask.body_digest()) {
    out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_KEY_REUSED));
    return;
  }

  if (intent.phase() == pb::INTENT_RUNNING) {
    if (IsHeldBy(intent, from, ask.request_id(), ask.attempt())) {
      Envelope reply = ReplyTo(from, ask, pb::CLAIM_RUN);
      home.stream.ReplyAt(record.sequence, std::move(reply), out);
      return;
    }
    if (!this->IsEntryLost(now, record)) {
      out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_IN_PROGRESS));
      return;
    }
    if (!intent.idempotent()) {
      this->MarkUnknown(now, home, record, "entry lost", out);
    }
  }

  if (intent.phase() == pb::INTENT_DONE) {
    Envelope reply = ReplyTo(from, ask, pb::CLAIM_DONE);
    *reply.body.mutable_claim_reply()->mutable_stored() = intent.stored();
    home.stream.ReplyAt(record.sequence, std::move(reply), out);
    return;
  }
  if (!intent.idempotent() || !ask.idempotent()) {
    out.messages.push_back(ReplyTo(from, ask, pb::CLAIM_UNKNOWN));
    return;
  }
  // The earlier request has been told to run; a release of this one does not
  // prove that the key never ran.
  intent.set_may_have_run(true);
  this->Claim(now, home, record, from, ask, out);
}

void ClaimHome::OnDone(TimePoint now, const VmRef& from,
                       const pb::ClaimDone& done, Outbox& out) {
  HomeShard* home = this->Served(done.shard(), done.key());
  if (home == nullptr) return;
  if (!done.ran()) {
    this->Release(now, *home, from, done, out);
    return;
  }

  KeyRecord* record = home->keys.Find(KeyTable::IndexOf(done.key()));
  if (record == nullptr) {
    pb::Intent intent;
    *intent.mutable_key() = done.key();
    intent.set_request_id(done.request_id());
    intent.set_attempt(done.attempt());
    *intent.mutable_entry() = from.ToProto();
    intent.set_idempotent(done.idempotent());
    intent.set_body_digest(done.body_digest());
    intent.set_work_class(done.work_class());
    intent.set_unbilled(done.idempotent() &&
                        this->IsKeyOfLostTerm(done.shard(), done.key().key()));
    intent.set_phase(pb::INTENT_RUNNING);
    record = this->NewRecord(now, *home, intent, out);
    // Without room the completion is not acknowledged; the entry repeats it.
    if (record == nullptr) return;
  }
  this->Finish(now, *home, *record, from, done, out);
}

void ClaimHome::Release(TimePoint now, HomeShard& home, const VmRef& from,
                        const pb::ClaimDone& done, Outbox& out) {
  const std::string index = KeyTable::IndexOf(done.key());
  KeyRecord* record = home.keys.Find(index);
  if (record == nullptr || record->intent.phase() != pb::INTENT_RUNNING ||
      !IsHeldBy(record->intent, from, done.request_id(), done.attempt())) {
    out.messages.push_back(AckTo(from, done, false));
    return;
  }

  if (record->intent.may_have_run()) {
    home.keys.SetPhase(*record, pb::INTENT_UNKNOWN, now);
    home.stream.Send(now, *record, out);
    home.stream.ReplyAt(record->sequence, AckTo(from, done, false), out);
    return;
  }

  record->intent.set_phase(pb::INTENT_RELEASED);
  home.stream.Send(now, *record, out);
  const uint64_t sequence = record->sequence;
  home.keys.Erase(index);
  --this->total_keys;
  Envelope ack = AckTo(from, done, false);
  ack.body.mutable_claim_done_ack()->set_released(true);
  home.stream.ReplyAt(sequence, std::move(ack), out);
}

void ClaimHome::Finish(TimePoint now, HomeShard& home, KeyRecord& record,
                       const VmRef& from, const pb::ClaimDone& done,
                       Outbox& out) {
  pb::Intent& intent = record.intent;
  const bool holder = IsHeldBy(intent, from, done.request_id(), done.attempt());
  if (intent.phase() == pb::INTENT_DONE) {
    const bool billed = holder && !intent.unbilled();
    home.stream.ReplyAt(record.sequence, AckTo(from, done, billed), out);
    return;
  }

  if (!done.outcome_known()) {
    // Another idempotent run may still finish.
    if (intent.phase() == pb::INTENT_RUNNING &&
        (holder || !intent.idempotent())) {
      this->MarkUnknown(now, home, record, "dispatch", out);
    }
    home.stream.ReplyAt(record.sequence, AckTo(from, done, false), out);
    return;
  }

  // The first completion carries the bill.
  intent.set_request_id(done.request_id());
  intent.set_attempt(done.attempt());
  *intent.mutable_entry() = from.ToProto();
  *intent.mutable_stored() = done.stored();
  home.keys.SetPhase(record, pb::INTENT_DONE, now);
  this->Remember(now, done.shard(), record);
  home.stream.Send(now, record, out);
  home.stream.ReplyAt(record.sequence, AckTo(from, done, !intent.unbilled()),
                      out);
  this->EvictAnswers();
}

void ClaimHome::OnAck(const VmRef& from, const pb::IntentAck& ack,
                      Outbox& out) {
  const auto found = this->shards.find(ack.shard());
  if (found == this->shards.end() || !this->Serves(ack.shard())) return;
  found->second.stream.OnAck(from, ack, out);
}

void ClaimHome::MarkUnknown(TimePoint now, HomeShard& home, KeyRecord& record,
                            std::string_view step, Outbox& out) {
  home.keys.SetPhase(record, pb::INTENT_UNKNOWN, now);
  const pb::ClaimKey& key = record.intent.key();
  this->Remember(now, this->table.ShardOf(key.organisation(), key.key()),
                 record);
  home.stream.Send(now, record, out);
  if (record.intent.idempotent()) return;

  home.unlisted.insert(KeyTable::IndexOf(key));
  this->List(now, record.intent, step, out);
}

void ClaimHome::List(TimePoint now, const pb::Intent& intent,
                     std::string_view step, Outbox& out) const {
  pb::LostRequest& lost = *out.AddRecord().mutable_lost_request();
  lost.set_organisation(intent.key().organisation());
  lost.set_key_digest(KeyDigest(intent.key().key()));
  lost.set_request_id(intent.request_id());
  lost.set_work_class(intent.work_class());
  lost.set_step(std::string(step));
  lost.set_unix_ms(now.us / 1000);
}

void ClaimHome::ListAgain(TimePoint now, HomeShard& home, Outbox& out) const {
  for (auto it = home.unlisted.begin(); it != home.unlisted.end();) {
    const KeyRecord* record = home.keys.Find(*it);
    const bool settled =
        record == nullptr || record->intent.phase() != pb::INTENT_UNKNOWN ||
        this->table.IsListed(record->intent.key().organisation(),
                             KeyDigest(record->intent.key().key()));
    if (settled) {
      it = home.unlisted.erase(it);
      continue;
    }
    this->List(now, record->intent, "listed again", out);
    ++it;
  }
}

void ClaimHome::OnTick(TimePoint now, Outbox& out) {
  const bool scan = now - this->scanned >= kScanEvery || now < this->scanned;
  if (scan) this->scanned = now;
  const bool list =
      this->peers.IsLogReachable() && now - this->listed >= kListAgainEvery;
  if (list) this->listed = now;

  for (auto& [shard, home] : this->shards) {
    if (!this->Serves(shard)) continue;
    home.stream.OnTick(now, out);
    if (scan) this->FindLostEntries(now, home, out);
    if (list) this->ListAgain(now, home, out);
  }
}

void ClaimHome::FindLostEntries(TimePoint now, HomeShard& home, Outbox& out) {
  const std::set<std::string> running = home.keys.Running();
  for (const std::string& index : running) {
    KeyRecord* record = home.keys.Find(index);
    FD_ASSERT(record != nullptr, "request: a running key has a record");
    // An idempotent intent is claimed again when somebody asks for it.
    if (record->intent.idempotent() || !this->IsEntryLost(now, *record)) {
      continue;
    }
    this->MarkUnknown(now, home, *record, "entry lost", out);
  }
}

bool ClaimHome::IsEntryLost(TimePoint now, const KeyRecord& record) const {
  const Duration age = now - record.since;
  if (age >= this->options.intent_limit) return true;
  const VmRef entry = VmRef::FromProto(record.intent.entry());
  if (entry == this->peers.Self().ref) return false;

  if (!this->view_settled) return false;
  const auto silent = this->peers.SilentFor(now, entry);
  return silent.value_or(age) >= this->options.entry_lost_after;
}

bool ClaimHome::IsKeyOfLostTerm(uint32_t shard, const std::string& key) const {
  const Shard& state = this->table.At(shard);
  if (!state.lost) return false;
  const auto issued = ParseIssuedKey(key);
  return !issued || issued->term < state.lost_at;
}

KeyRecord* ClaimHome::NewRecord(TimePoint now, HomeShard& home,
                                const pb::Intent& intent, Outbox& out) {
  if (home.stream.Unacked() >= this->options.max_unacked) return nullptr;
  if (!this->MakeRoom(now, out)) return nullptr;
  ++this->total_keys;
  return &home.keys.Put(intent, now);
}

KeyRecord* ClaimHome::Present(const Aged& aged) {
  const auto found = this->shards.find(aged.shard);
  if (found == this->shards.end()) return nullptr;
  KeyRecord* record = found->second.keys.Find(aged.index);
  if (record == nullptr || record->serial != aged.serial) return nullptr;
  return record;
}

bool ClaimHome::MakeRoom(TimePoint now, Outbox& out) {
  while (this->total_keys >= this->options.max_keys) {
    if (this->finished.empty()) return false;
    const Aged oldest = this->finished.front();
    KeyRecord* record = this->Present(oldest);
    if (record != nullptr) {
      if (now - oldest.at < this->options.key_lifetime) return false;
      this->answer_bytes -= record->intent.stored().body().size();
      // The witness forgets it as well, or its memory would grow.
      HomeShard& home = this->shards.at(oldest.shard);
      record->intent.clear_stored();
      record->intent.set_phase(pb::INTENT_RELEASED);
      home.stream.Send(now, *record, out);
      home.keys.Erase(oldest.index);
      --this->total_keys;
    }
    this->finished.pop_front();
  }
  return true;
}

void ClaimHome::Remember(TimePoint now, uint32_t shard, KeyRecord& record) {
  Aged aged{.shard = shard,
            .index = KeyTable::IndexOf(record.intent.key()),
            .serial = record.serial,
            .at = now};
  const size_t bytes = record.intent.stored().body().size();
  if (bytes > 0) {
    this->answer_bytes += bytes;
    this->bodies.push_back(aged);
    this->DropStale(this->bodies);
  }
  this->finished.push_back(std::move(aged));
  this->DropStale(this->finished);
}

void ClaimHome::DropStale(std::deque<Aged>& order) {
  // Rebuilding at twice the size keeps the cost of each entry constant.
  if (order.size() < 2 * this->total_keys + kStaleSlack) return;
  std::deque<Aged> present;
  for (Aged& aged : order) {
    if (this->Present(aged) != nullptr) present.push_back(std::move(aged));
  }
  order = std::move(present);
}

void ClaimHome::EvictAnswers() {
  while (this->answer_bytes > this->options.max_answer_bytes) {
    FD_ASSERT(!this->bodies.empty(), "request: each stored body is in order");
    const Aged oldest = this->bodies.front();
    this->bodies.pop_front();

    KeyRecord* record = this->Present(oldest);
    if (record == nullptr) continue;
    pb::StoredAnswer& stored = *record->intent.mutable_stored();
    this->answer_bytes -= stored.body().size();
    stored.clear_body();
    stored.set_body_gone(true);
  }
}

}  // namespace fuchsiadrum::request
