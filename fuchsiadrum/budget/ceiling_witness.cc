#include "fuchsiadrum/budget/ceiling_witness.h"

#include <algorithm>

namespace fuchsiadrum::budget {
namespace {

/// Liveness changes slowly; seals are checked this often.
constexpr Duration kCheckEvery = std::chrono::milliseconds(500);

/// Orphaned grants are searched for this often, over all accounts.
constexpr Duration kWriteOffEvery = std::chrono::seconds(5);

/// A write-off that did not come back from the log is appended again.
constexpr Duration kWriteOffRetry = std::chrono::minutes(1);

}  // namespace

void CeilingWitness::OnGrantChanged(LogPosition id) {
  const Grant* const grant = this->ledger.FindGrant(id);
  const VmRef& self = this->peers.Self().ref;
  const bool is_fine = grant != nullptr && grant->fine.vm == self;
  const bool is_coarse = grant != nullptr && grant->coarse.vm == self;
  if ((!is_fine && !is_coarse) || grant->sealed || grant->written_off) {
    // A sealed grant keeps its entry's rule: raises are answered no more.
    this->entries.erase(id);
    return;
  }

  const WitnessSlot& slot = is_fine ? grant->fine : grant->coarse;
  Entry& entry = this->entries[id];
  entry.holder = grant->holder;
  entry.is_fine = is_fine;
  entry.other = is_fine ? grant->coarse.vm : grant->fine.vm;
  if (entry.term == slot.term) return;

  // A new appointment starts from the ceiling that its record names.
  entry.term = slot.term;
  entry.ceiling = slot.start_ceiling;
  entry.spent = Tokens(0);
  entry.sealing = false;
}

void CeilingWitness::OnStateLoaded() {
  std::vector<LogPosition> known;
  known.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) known.push_back(id);
  for (const LogPosition id : known) this->OnGrantChanged(id);

  for (const auto& [name, account] : this->ledger.Accounts()) {
    for (const auto& [id, grant] : account.grants) this->OnGrantChanged(id);
  }
}

void CeilingWitness::OnRaise(const VmRef& from, const pb::CeilingRaise& raise,
                             Outbox& out) {
  pb::CeilingAck ack;

  for (const pb::CeilingItem& item : raise.items()) {
    const auto found = this->entries.find(LogPosition::FromProto(item.grant()));
    if (found == this->entries.end()) continue;
    Entry& entry = found->second;
    if (entry.holder != from ||
        entry.term != LogPosition::FromProto(item.term())) {
      continue;
    }

    // The seal names the highest acknowledged ceiling, so nothing may be
    // acknowledged after it.
    if (entry.sealing && this->options.mutation != Mutation::kAckAfterSeal) {
      continue;
    }
    entry.ceiling = std::max(entry.ceiling, Tokens(item.ceiling()));
    entry.spent = std::max(entry.spent, Tokens(item.spent()));
    pb::CeilingItem& answer = *ack.add_items();
    *answer.mutable_grant() = item.grant();
    *answer.mutable_term() = item.term();
    answer.set_ceiling(entry.ceiling.count);
    answer.set_spent(entry.spent.count);
  }
  if (ack.items().empty()) return;

  ack.set_leaving(this->draining);
  *out.AddMessage(from).mutable_ceiling_ack() = std::move(ack);
}

void CeilingWitness::OnTick(TimePoint now, Outbox& out) {
  // A clock that jumped back must not stop the checks.
  this->next_check = std::min(this->next_check, now + kCheckEvery);
  if (now < this->next_check) return;
  this->next_check = now + kCheckEvery;

  if (this->draining) this->AnnounceLeaving(out);
  if (!this->peers.IsLogReachable()) return;

  for (auto& [id, entry] : this->entries) {
    if (!entry.sealing && this->IsSealDue(now, entry)) {
      this->AppendSeal(id, entry, out);
    }
  }

  this->next_write_off = std::min(this->next_write_off, now + kWriteOffEvery);
  if (now < this->next_write_off) return;
  this->next_write_off = now + kWriteOffEvery;
  this->WriteOffOrphans(now, out);
}

void CeilingWitness::BeginDrain(TimePoint now) {
  this->draining = true;
  this->drain_began = now;
  this->next_check = now;
}

bool CeilingWitness::IsDrained(TimePoint now) const {
  return this->entries.empty() ||
         now - this->drain_began >= this->options.witness_drain_limit;
}

std::optional<Tokens> CeilingWitness::CeilingOf(LogPosition id,
                                                LogPosition term) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || found->second.term != term) {
    return std::nullopt;
  }
  return found->second.ceiling;
}

bool CeilingWitness::IsSealDue(TimePoint now, const Entry& entry) {
  const Duration silence = this->Silence(now, entry.holder);
  if (silence <= this->options.seal_after) return false;
  if (entry.is_fine) return true;

  // The fine witness seals at a lower ceiling, so it goes first if it can.
  if (this->Silence(now, entry.other) > this->options.seal_after) return true;
  return silence != Duration::max() &&
         silence > this->options.coarse_seal_after;
}

Duration CeilingWitness::Silence(TimePoint now, const VmRef& peer) {
  // An earlier life of this VM is over; the view only knows other VMs.
  const VmRef& self = this->peers.Self().ref;
  if (peer == self) return Duration(0);
  if (peer.vm == self.vm) return Duration::max();
  if (const auto silent = this->peers.SilentFor(now, peer)) {
    this->unheard.erase(peer);
    return *silent;
  }

  // Never heard of: its silence counts from the first question.
  const auto [found, added] = this->unheard.emplace(peer, now);
  if (now < found->second) found->second = now;
  return now - found->second;
}

void CeilingWitness::AppendSeal(LogPosition id, Entry& entry, Outbox& out) {
  entry.sealing = true;

  pb::Seal& seal = *out.AddRecord().mutable_seal();
  *seal.mutable_grant() = id.ToProto();
  *seal.mutable_witness() = this->peers.Self().ref.ToProto();
  *seal.mutable_term() = entry.term.ToProto();
  seal.set_ceiling(entry.ceiling.count);
  seal.set_spent(entry.spent.count);
}

void CeilingWitness::WriteOffOrphans(TimePoint now, Outbox& out) {
  // One daemon does it; two that both believe to be first do no harm.
  for (const VmInfo& peer : this->peers.AlivePeers()) {
    if (peer.ref.vm < this->peers.Self().ref.vm) return;
  }
  std::erase_if(this->written_off, [&](const auto& item) {
    return now < item.second || now - item.second > kWriteOffRetry;
  });

  for (const auto& [name, account] : this->ledger.Accounts()) {
    for (const auto& [id, grant] : account.grants) {
      if (grant.written_off || this->written_off.contains(id)) continue;
      if (!this->IsOrphan(now, grant)) continue;

      this->written_off[id] = now;
      pb::WriteOff& record = *out.AddRecord().mutable_write_off();
      *record.mutable_grant() = id.ToProto();
      record.set_cause("holder " + grant.holder.ToString() + " is gone");
    }
  }
}

bool CeilingWitness::IsOrphan(TimePoint now, const Grant& grant) {
  const auto is_gone = [&](const VmRef& vm) {
    const Duration silence = this->Silence(now, vm);
    return silence == Duration::max() ||
           silence > this->options.write_off_after;
  };
  if (!is_gone(grant.holder)) return false;
  if (grant.sealed || !grant.IsWitnessed()) return true;

  // Without a witness no seal can come.
  return is_gone(grant.fine.vm) && is_gone(grant.coarse.vm);
}

void CeilingWitness::AnnounceLeaving(Outbox& out) {
  std::map<VmRef, pb::CeilingAck> acks;
  for (const auto& [id, entry] : this->entries) {
    if (entry.sealing) continue;
    pb::CeilingAck& ack = acks[entry.holder];
    ack.set_leaving(true);
    pb::CeilingItem& item = *ack.add_items();
    *item.mutable_grant() = id.ToProto();
    *item.mutable_term() = entry.term.ToProto();
    item.set_ceiling(entry.ceiling.count);
  }

  for (auto& [holder, ack] : acks) {
    *out.AddMessage(holder).mutable_ceiling_ack() = std::move(ack);
  }
}

}  // namespace fuchsiadrum::budget
