#include "fuchsiadrum/request/shard_policy.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::request {
namespace {

uint64_t Score(uint32_t shard, const VmInfo& vm) {
  return Hash64(vm.ref.vm, shard);
}

}  // namespace

VmInfo ShardPolicy::PreferredHome(uint32_t shard) const {
  const std::string_view zone = this->table.ZoneOf(shard);
  const VmInfo* best = &this->peers.Self();

  const auto better = [&](const VmInfo& vm) {
    const bool in_zone = vm.availability_zone == zone;
    const bool best_in_zone = best->availability_zone == zone;
    if (in_zone != best_in_zone) return in_zone;
    return Score(shard, vm) > Score(shard, *best);
  };
  for (const VmInfo& vm : this->peers.AlivePeers()) {
    if (better(vm)) best = &vm;
  }
  return *best;
}

std::optional<VmInfo> ShardPolicy::PreferredWitness(
    uint32_t shard, const VmInfo& home, const std::set<VmRef>& excluded) const {
  const bool want_same = this->options.witness_in_home_zone;
  const VmInfo* best = nullptr;

  const auto consider = [&](const VmInfo& vm) {
    if (vm.ref.vm == home.ref.vm || excluded.contains(vm.ref)) return;
    if (best == nullptr) {
      best = &vm;
      return;
    }
    const bool fits =
        (vm.availability_zone == home.availability_zone) == want_same;
    const bool best_fits =
        (best->availability_zone == home.availability_zone) == want_same;
    const bool better =
        fits != best_fits ? fits : Score(shard, vm) > Score(shard, *best);
    if (better) best = &vm;
  };
  consider(this->peers.Self());
  for (const VmInfo& vm : this->peers.AlivePeers()) consider(vm);

  if (best == nullptr) return std::nullopt;
  return *best;
}

std::optional<VmInfo> ShardPolicy::Find(const VmRef& ref) const {
  if (this->peers.Self().ref == ref) return this->peers.Self();
  for (const VmInfo& vm : this->peers.AlivePeers()) {
    if (vm.ref == ref) return vm;
  }
  return std::nullopt;
}

Duration ShardPolicy::SilentFor(TimePoint now, const VmRef& peer) const {
  // A daemon that was never heard of counts as silent since the start.
  return this->peers.SilentFor(now, peer).value_or(now - *this->started);
}

bool ShardPolicy::MayPropose(TimePoint now, uint32_t shard) const {
  const auto found = this->proposals.find(shard);
  if (found == this->proposals.end()) return true;
  if (found->second.term != this->table.At(shard).witness_term) return true;
  return now - found->second.at >= this->options.propose_again_after;
}

void ShardPolicy::Note(TimePoint now, uint32_t shard) {
  this->proposals[shard] = {.term = this->table.At(shard).witness_term,
                            .at = now};
}

void ShardPolicy::OnTick(TimePoint now, const ClaimHome& home,
                         ClaimWitness& witness, bool draining, Outbox& out) {
  if (!this->started) this->started = now;
  if (!this->peers.IsLogReachable()) return;

  const VmRef& self = this->peers.Self().ref;
  for (uint32_t shard = 0; shard < this->table.Size(); ++shard) {
    const Shard& state = this->table.At(shard);
    if (!this->MayPropose(now, shard)) continue;

    if (!state.HasHome()) {
      if (!draining) this->TryAssign(now, shard, out);
    } else if (state.home == self) {
      this->TickAsHome(now, shard, home, draining, out);
    } else if (state.witness == self) {
      this->TickAsWitness(now, shard, witness, out);
    } else if (!draining) {
      this->TickAsOther(now, shard, out);
    }
  }
}

void ShardPolicy::TryAssign(TimePoint now, uint32_t shard, Outbox& out) {
  const VmInfo& self = this->peers.Self();
  if (this->PreferredHome(shard).ref != self.ref) return;
  const auto witness = this->PreferredWitness(shard, self, {});
  if (!witness) return;

  pb::ShardAssign& record = *out.AddRecord().mutable_shard_assign();
  record.set_shard(shard);
  *record.mutable_home() = self.ref.ToProto();
  *record.mutable_witness() = witness->ref.ToProto();
  this->Note(now, shard);
}

void ShardPolicy::TickAsHome(TimePoint now, uint32_t shard,
                             const ClaimHome& home, bool draining,
                             Outbox& out) {
  const Shard& state = this->table.At(shard);
  const StoreStream* stream = home.StreamOf(shard);
  if (stream == nullptr) {
    // This daemon became home but does not have the records that its term
    // continues.
    this->Reset(now, shard, out);
    return;
  }

  const bool witness_lost =
      this->SilentFor(now, state.witness) >= this->options.replace_after;
  if (witness_lost || stream->IsWitnessLeaving()) {
    const auto next =
        this->PreferredWitness(shard, this->peers.Self(), {state.witness});
    if (next) this->ReplaceWitness(now, shard, next->ref, out);
    return;
  }

  if (!stream->IsSettled() || stream->Unacked() > 0) return;
  if (draining) {
    this->HandOver(now, shard, true, out);
    return;
  }
  if (now - this->rebalanced >= this->options.rebalance_every ||
      now < this->rebalanced) {
    this->Rebalance(now, shard, out);
  }
}

void ShardPolicy::ReplaceWitness(TimePoint now, uint32_t shard,
                                 const VmRef& next, Outbox& out) {
  pb::ShardReplaceWitness& record =
      *out.AddRecord().mutable_shard_replace_witness();
  record.set_shard(shard);
  *record.mutable_term() = this->table.At(shard).witness_term.ToProto();
  *record.mutable_witness() = next.ToProto();
  this->Note(now, shard);
}

void ShardPolicy::HandOver(TimePoint now, uint32_t shard, bool draining,
                           Outbox& out) {
  const Shard& state = this->table.At(shard);
  const auto next = this->Find(state.witness);
  if (!next) return;

  // A leaving home is its own successor's witness only if nobody else is left.
  const VmInfo& self = this->peers.Self();
  std::set<VmRef> excluded;
  if (draining) excluded.insert(self.ref);
  auto witness = this->PreferredWitness(shard, *next, excluded);
  if (!witness) witness = self;

  pb::ShardHandOver& record = *out.AddRecord().mutable_shard_hand_over();
  record.set_shard(shard);
  *record.mutable_term() = state.witness_term.ToProto();
  *record.mutable_home() = next->ref.ToProto();
  *record.mutable_witness() = witness->ref.ToProto();
  this->Note(now, shard);
}

void ShardPolicy::Rebalance(TimePoint now, uint32_t shard, Outbox& out) {
  const Shard& state = this->table.At(shard);
  const VmInfo& self = this->peers.Self();
  const VmInfo preferred = this->PreferredHome(shard);

  if (preferred.ref == self.ref) {
    // Only a witness in the wrong zone is worth a bulk hand-over.
    const auto witness = this->Find(state.witness);
    const auto better = this->PreferredWitness(shard, self, {});
    if (!witness || !better) return;
    const bool same = witness->availability_zone == self.availability_zone;
    const bool better_same =
        better->availability_zone == self.availability_zone;
    if (same == better_same) return;
    this->ReplaceWitness(now, shard, better->ref, out);
  } else if (state.witness == preferred.ref) {
    this->HandOver(now, shard, false, out);
  } else {
    this->ReplaceWitness(now, shard, preferred.ref, out);
  }
  this->rebalanced = now;
}

void ShardPolicy::TickAsWitness(TimePoint now, uint32_t shard,
                                ClaimWitness& witness, Outbox& out) {
  const Shard& state = this->table.At(shard);
  const Duration silent = this->SilentFor(now, state.home);
  if (silent < this->options.take_over_after) return;
  if (!witness.IsComplete(shard)) {
    if (this->MayReset(now, silent)) this->Reset(now, shard, out);
    return;
  }

  const VmInfo& self = this->peers.Self();
  const auto next = this->PreferredWitness(shard, self, {state.home});
  if (!next) return;

  // Nothing may be acknowledged to the former home once this daemon decides.
  witness.Seal(shard);
  pb::ShardTakeOver& record = *out.AddRecord().mutable_shard_take_over();
  record.set_shard(shard);
  *record.mutable_term() = state.witness_term.ToProto();
  *record.mutable_home() = self.ref.ToProto();
  *record.mutable_witness() = next->ref.ToProto();
  this->Note(now, shard);
}

void ShardPolicy::TickAsOther(TimePoint now, uint32_t shard, Outbox& out) {
  const Shard& state = this->table.At(shard);
  const Duration silent = std::min(this->SilentFor(now, state.home),
                                   this->SilentFor(now, state.witness));
  if (silent < this->options.reset_after) return;
  if (this->PreferredHome(shard).ref != this->peers.Self().ref) return;
  if (!this->MayReset(now, silent)) return;
  this->Reset(now, shard, out);
}

bool ShardPolicy::MayReset(TimePoint now, Duration silent) const {
  if (silent < this->options.reset_after) return false;
  // A newer incarnation proves the death of the older one.
  if (silent == Duration::max()) return true;
  if (silent >= this->options.minority_reset_after) return true;

  std::set<VmRef> holders;
  for (uint32_t shard = 0; shard < this->table.Size(); ++shard) {
    if (!this->table.At(shard).HasHome()) continue;
    holders.insert(this->table.At(shard).home);
    holders.insert(this->table.At(shard).witness);
  }
  size_t heard = 0;
  for (const VmRef& holder : holders) {
    const bool self = holder == this->peers.Self().ref;
    if (self || this->SilentFor(now, holder) < this->options.replace_after) {
      ++heard;
    }
  }
  return heard * 2 > holders.size();
}

void ShardPolicy::Reset(TimePoint now, uint32_t shard, Outbox& out) {
  const Shard& state = this->table.At(shard);
  const VmInfo& self = this->peers.Self();
  const auto witness =
      this->PreferredWitness(shard, self, {state.home, state.witness});
  if (!witness) return;

  pb::ShardReset& record = *out.AddRecord().mutable_shard_reset();
  record.set_shard(shard);
  *record.mutable_term() = state.witness_term.ToProto();
  *record.mutable_home() = self.ref.ToProto();
  *record.mutable_witness() = witness->ref.ToProto();
  this->Note(now, shard);
}

}  // namespace fuchsiadrum::request
