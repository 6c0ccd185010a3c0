#include "fuchsiadrum/budget/grant_keeper.h"

#include <algorithm>
#include <vector>

#include "fuchsiadrum/budget/witness_choice.h"
#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::budget {
namespace {

/// A new grant is asked for once this share of the wanted tokens is left.
constexpr double kRefillShare = 0.85;

/// A daemon that holds this multiple of what it wants returns the rest.
constexpr double kSurplus = 1.25;

/// Smallest grant ahead of need, as a share of the wanted tokens.
constexpr double kWorthwhileShare = 0.1;

/// More grants of one organisation than this are merged: the smallest goes
/// back to the pool, so that a reservation finds its tokens in a few parts.
constexpr size_t kMostGrants = 8;

/// A share that nothing uses goes back to the pool after this time. Sooner, it
/// would be on its way through the log when a peer asks for it.
constexpr Duration kKeepShare = std::chrono::seconds(2);

Tokens Scaled(Tokens tokens, double share) {
  return Tokens(SaturatedWhole(static_cast<double>(tokens.count) * share));
}

}  // namespace

void GrantKeeper::Replenish(TimePoint now, HeldBudget& budget, Outbox& out) {
  if (this->draining || budget.requested_nonce != 0) return;
  if (!this->peers.IsLogReachable()) return;
  const Account* const account = this->ledger.Find(budget.organisation);
  if (account == nullptr || account->available <= Tokens(0)) return;

  const int daemons = static_cast<int>(this->peers.AlivePeers().size()) + 1;
  const Tokens left = account->available + account->open;
  const Tokens urgent = budget.waiting_tokens + budget.sizer.FineMargin();
  const Tokens want = std::max(urgent, budget.sizer.Want(left, daemons));
  const Tokens unused = budget.Unused();
  const bool waits = budget.waiting_tokens > Tokens(0);
  if (waits ? unused >= urgent : unused >= Scaled(want, kRefillShare)) return;

  // All daemons may ask at the same time; what all ask for has to fit.
  const Tokens fair(account->available.count / daemons);
  const Tokens bound = std::max(fair, waits ? urgent : std::min(urgent, fair));
  const Tokens size = std::min({want - unused, bound, account->available});
  // Ahead of need, a grant has to be worth its record and its ceilings.
  const Tokens smallest =
      std::max(budget.sizer.FineMargin(), Scaled(want, kWorthwhileShare));
  if (size <= Tokens(0) || (!waits && size < smallest)) return;

  const auto fine = ChooseWitness(this->peers, now, this->options.suspect_after,
                                  WitnessRole::kFine, "", "", this->rng);
  if (!fine) return;
  const auto coarse =
      ChooseWitness(this->peers, now, this->options.suspect_after,
                    WitnessRole::kCoarse, fine->vm, "", this->rng);
  if (!coarse) return;

  budget.requested_nonce = this->next_nonce++;
  pb::Grant& record = *out.AddRecord().mutable_grant();
  record.set_organisation(budget.organisation);
  *record.mutable_holder() = this->peers.Self().ref.ToProto();
  record.set_amount(size.count);
  *record.mutable_fine_witness() = fine->ToProto();
  *record.mutable_coarse_witness() = coarse->ToProto();
  record.set_fine_step(budget.sizer.FineStep().count);
  record.set_coarse_step(budget.sizer.CoarseStep().count);
  // Existing grants are used first, so this one starts with what they lack.
  const Tokens lacking = std::max(Tokens(0), urgent - unused);
  record.set_initial_ceiling(std::min(size, lacking).count);
  record.set_grant_nonce(std::to_string(budget.requested_nonce));
}

void GrantKeeper::ReturnSurplus(HeldBudget& budget, Outbox& out) {
  // Waiting requests compete by shares; the pool would give to the fastest.
  if (!this->peers.IsLogReachable() || !budget.waiting.empty()) return;
  const Account* const account = this->ledger.Find(budget.organisation);
  if (account == nullptr) return;

  const int daemons = static_cast<int>(this->peers.AlivePeers().size()) + 1;
  const Tokens left = account->available + account->open;
  const Tokens fair(left.count / daemons);
  const Tokens urgent = budget.waiting_tokens + budget.sizer.FineMargin();
  const Tokens keep =
      std::max(std::min(urgent, fair), budget.sizer.Want(left, daemons));
  const Tokens surplus = budget.Unused() - keep;
  if (surplus <= Tokens(0) || surplus < Scaled(keep, 0.1)) return;

  HeldGrant* largest = nullptr;
  for (const auto& grant : budget.grants) {
    if (!grant->recorded || !grant->IsUsable() || grant->return_in_flight) {
      continue;
    }
    if (largest == nullptr ||
        grant->amount - grant->Used() > largest->amount - largest->Used()) {
      largest = grant.get();
    }
  }
  if (largest == nullptr) return;

  // The own limit goes down before the record can be folded.
  const Tokens unused = largest->amount - largest->Used();
  if (unused <= Tokens(0)) return;
  Tokens amount = largest->Used() + std::max(Tokens(0), unused - surplus);
  if (this->options.mutation == Mutation::kReturnBelowSpent) {
    amount = largest->given + largest->possibly_used +
             Scaled(largest->confirmed, 0.5);
  } else {
    largest->amount = amount;
  }
  largest->return_in_flight = true;
  pb::Return& record = *out.AddRecord().mutable_return_tokens();
  *record.mutable_grant() = largest->id.ToProto();
  record.set_new_amount(amount.count);
}

void GrantKeeper::OnTick(TimePoint now, Outbox& out) {
  this->next_settle =
      std::min(this->next_settle, now + this->options.settle_every);
  const bool settle = now >= this->next_settle;
  if (settle) this->next_settle = now + this->options.settle_every;

  for (const auto& budget : this->budgets.All()) {
    this->Replenish(now, *budget, out);
    const bool lends = now < budget->lend_until;
    if (budget->grants.size() > kMostGrants && !lends) {
      this->CloseSmallest(*budget, out);
    }
    if (settle) this->Rebalance(now, *budget, out);
    for (const auto& grant : budget->grants) {
      if (!grant->recorded || grant->closing) continue;
      if (this->IsCloseDue(now, *grant)) {
        this->Close(*grant, out);
      } else if (settle) {
        this->Settle(*grant, out);
      }
    }
  }
}

void GrantKeeper::Rebalance(TimePoint now, HeldBudget& budget, Outbox& out) {
  const Account* const account = this->ledger.Find(budget.organisation);
  if (account == nullptr) return;
  budget.sizer.OnBilled(now, account->billed);

  // Others find the pool empty only when a partition keeps them from asking.
  const int daemons = static_cast<int>(this->peers.AlivePeers().size()) + 1;
  const Tokens left = account->available + account->open;
  const Tokens want = budget.sizer.Want(left, daemons);
  if (account->available.count > left.count / daemons) return;
  if (budget.Unused() <= Scaled(want, kSurplus)) return;
  this->ReturnSurplus(budget, out);
}

void GrantKeeper::OnRecord(TimePoint now, LogPosition at,
                           const pb::Record& record, Verdict verdict) {
  const bool accepted = verdict == Verdict::kAccepted;
  switch (record.kind_case()) {
    case pb::Record::kGrant:
      this->OnGrant(at, record.grant(), verdict);
      break;
    case pb::Record::kTransfer:
      if (accepted) this->OnTransfer(now, at, record.transfer());
      break;
    case pb::Record::kSettle:
      if (HeldGrant* const grant = this->budgets.FindGrant(
              LogPosition::FromProto(record.settle().grant()))) {
        grant->settle_in_flight = false;
      }
      break;
    case pb::Record::kClose:
      this->OnClosed(record.close().grant());
      break;
    case pb::Record::kReturnTokens:
      if (HeldGrant* const grant = this->budgets.FindGrant(
              LogPosition::FromProto(record.return_tokens().grant()))) {
        grant->return_in_flight = false;
      }
      break;
    case pb::Record::kSeal:
      if (accepted) this->OnSealed(record.seal().grant());
      break;
    case pb::Record::kWriteOff:
      if (accepted) this->OnSealed(record.write_off().grant());
      break;
    default:
      break;
  }
}

void GrantKeeper::OnStateLoaded(TimePoint now) {
  // Grants that were folded while this daemon did not read.
  for (const auto& [name, account] : this->ledger.Accounts()) {
    for (const auto& [id, grant] : account.grants) {
      if (grant.holder != this->peers.Self().ref) continue;
      if (HeldGrant* const held = this->budgets.FindGrant(id)) {
        if (grant.sealed || grant.written_off) {
          this->OnSealed(id.ToProto());
        }
        held->settle_in_flight = false;
        held->return_in_flight = false;
        continue;
      }
      if (grant.written_off && grant.Remainder() == Tokens(0)) continue;
      HeldGrant* const transfer = this->budgets.FindTransfer(grant.transfer_id);
      if (!grant.transfer_id.empty() && transfer != nullptr) {
        this->budgets.SetId(*transfer, id);
        continue;
      }
      this->Adopt(grant);
    }
  }

  // Requests and replacements that were folded unseen.
  for (const auto& budget : this->budgets.All()) {
    budget->requested_nonce = 0;
    std::vector<HeldGrant*> ended;
    for (const auto& held : budget->grants) {
      if (!held->recorded) continue;
      const Grant* const grant = this->ledger.FindGrant(held->id);
      if (grant == nullptr || (held->closing && grant->written_off)) {
        held->sealed = true;
        if (held->IsIdle()) ended.push_back(held.get());
        continue;
      }
      for (const auto& [ceiling, slot] :
           {std::pair{&held->fine, &grant->fine},
            std::pair{&held->coarse, &grant->coarse}}) {
        if (ceiling->term == slot->term) continue;
        ceiling->witness = slot->vm;
        ceiling->term = slot->term;
        ceiling->ceiling = slot->start_ceiling;
        ceiling->pending = false;
        ceiling->frozen = false;
        ceiling->leaving = false;
      }
    }
    for (HeldGrant* const grant : ended) this->budgets.Remove(*grant);
  }
  this->next_settle = now;
}

void GrantKeeper::OnGrant(LogPosition at, const pb::Grant& record,
                          Verdict verdict) {
  if (VmRef::FromProto(record.holder()) != this->peers.Self().ref) return;

  HeldBudget& budget = this->budgets.Get(record.organisation());
  if (std::to_string(budget.requested_nonce) == record.grant_nonce()) {
    budget.requested_nonce = 0;
  }
  if (verdict != Verdict::kAccepted) return;
  this->Adopt(*this->ledger.FindGrant(at));
}

void GrantKeeper::Adopt(const Grant& grant) {
  HeldBudget& budget = this->budgets.Get(grant.organisation);
  HeldGrant& held = this->budgets.Add(budget);
  this->budgets.SetId(held, grant.id);
  if (!grant.transfer_id.empty()) {
    this->budgets.SetTransfer(held, grant.transfer_id);
  }
  held.amount = grant.amount;
  held.sealed = grant.sealed || grant.written_off;

  // What the fold has billed or moved under a grant of this incarnation can
  // only be known here; a grant without memory was never used.
  held.confirmed = grant.spent;
  held.given = grant.transferred;
  held.possibly_used = grant.possibly_used;
  held.settled_spent = held.confirmed;
  held.settled_unknown = held.possibly_used;

  held.witnessed = grant.IsWitnessed();
  held.ignores_ceilings = this->options.mutation == Mutation::kSkipWitness;
  held.fine = {.witness = grant.fine.vm,
               .term = grant.fine.term,
               .ceiling = grant.fine.start_ceiling};
  held.coarse = {.witness = grant.coarse.vm,
                 .term = grant.coarse.term,
                 .ceiling = grant.coarse.start_ceiling};
}

void GrantKeeper::OnTransfer(TimePoint now, LogPosition at,
                             const pb::TransferRecord& record) {
  if (VmRef::FromProto(record.receiver()) != this->peers.Self().ref) return;

  if (HeldGrant* const held =
          this->budgets.FindTransfer(record.transfer_id())) {
    this->budgets.SetId(*held, at);
    return;
  }
  const Grant* const grant = this->ledger.FindGrant(at);
  this->Adopt(*grant);
  this->budgets.FindGrant(at)->received_at = now;
}

void GrantKeeper::OnClosed(const pb::Position& id) {
  HeldGrant* const grant = this->budgets.FindGrant(LogPosition::FromProto(id));
  if (grant != nullptr && grant->closing) this->budgets.Remove(*grant);
}

void GrantKeeper::OnSealed(const pb::Position& id) {
  HeldGrant* const held = this->budgets.FindGrant(LogPosition::FromProto(id));
  if (held == nullptr) return;
  if (this->options.mutation == Mutation::kIgnoreSeal) return;

  held->sealed = true;
  const Grant* const grant = this->ledger.FindGrant(held->id);
  held->amount = std::min(held->amount, grant->amount);
}

void GrantKeeper::Settle(HeldGrant& grant, Outbox& out) {
  if (grant.settle_in_flight) return;
  if (grant.settled_spent == grant.confirmed &&
      grant.settled_unknown == grant.possibly_used &&
      grant.settled_overrun == grant.overrun) {
    return;
  }

  grant.settle_in_flight = true;
  grant.settled_spent = grant.confirmed;
  grant.settled_unknown = grant.possibly_used;
  grant.settled_overrun = grant.overrun;
  pb::Settle& record = *out.AddRecord().mutable_settle();
  *record.mutable_grant() = grant.id.ToProto();
  record.set_spent(grant.confirmed.count);
  record.set_overrun(grant.overrun.count);
  record.set_possibly_used(grant.possibly_used.count);
}

bool GrantKeeper::IsCloseDue(TimePoint now, const HeldGrant& grant) const {
  if (!grant.IsIdle()) return false;
  if (grant.sealed || this->draining) return true;
  if (grant.Used() == grant.amount) return true;

  // A share is meant for the request that waited; the rest goes back.
  return !grant.witnessed && grant.budget->waiting.empty() &&
         now >= grant.budget->lend_until && this->peers.IsLogReachable() &&
         (now < grant.received_at || now - grant.received_at > kKeepShare);
}

void GrantKeeper::CloseSmallest(HeldBudget& budget, Outbox& out) {
  if (!this->peers.IsLogReachable() || !budget.waiting.empty()) return;

  HeldGrant* smallest = nullptr;
  for (const auto& grant : budget.grants) {
    // One at a time, so that the daemon keeps tokens to serve from.
    if (grant->closing) return;
    if (!grant->recorded || !grant->IsIdle()) continue;
    if (smallest == nullptr ||
        grant->amount - grant->Used() < smallest->amount - smallest->Used()) {
      smallest = grant.get();
    }
  }
  if (smallest != nullptr) this->Close(*smallest, out);
}

void GrantKeeper::Close(HeldGrant& grant, Outbox& out) {
  grant.closing = true;
  pb::Close& record = *out.AddRecord().mutable_close();
  *record.mutable_grant() = grant.id.ToProto();
  record.set_spent(grant.confirmed.count);
  record.set_overrun(grant.overrun.count);
  record.set_possibly_used(grant.possibly_used.count);
}

}  // namespace fuchsiadrum::budget
