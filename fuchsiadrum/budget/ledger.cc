#include "fuchsiadrum/budget/ledger.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::budget {
namespace {

/// Bound on one account's tokens. Sums of several stay far below 2^63.
constexpr Tokens kMaxTokens(int64_t{1} << 60);

/// Ended grants with a written-off part that an account lists. Older entries
/// are dropped; their tokens stay in the account's written_off.
constexpr size_t kMaxWriteOffs = 1024;

bool IsUnnamed(const VmRef& ref) { return ref.vm.empty(); }

}  // namespace

Verdict Ledger::Apply(LogPosition at, const VmRef& writer,
                      const pb::Record& record) {
  switch (record.kind_case()) {
    case pb::Record::kTopUp:
      return this->ApplyTopUp(record.top_up());
    case pb::Record::kGrant:
      return this->ApplyGrant(at, writer, record.grant());
    case pb::Record::kSettle:
      return this->ApplySettle(writer, record.settle());
    case pb::Record::kClose:
      return this->ApplyClose(writer, record.close());
    case pb::Record::kReturnTokens:
      return this->ApplyReturn(writer, record.return_tokens());
    case pb::Record::kSeal:
      return this->ApplySeal(writer, record.seal());
    case pb::Record::kReplaceWitness:
      return this->ApplyReplaceWitness(at, writer, record.replace_witness());
    case pb::Record::kTransfer:
      return this->ApplyTransfer(at, writer, record.transfer());
    case pb::Record::kWriteOff:
      return this->ApplyWriteOff(record.write_off());
    default:
      return Verdict::kNotMine;
  }
}

const Account* Ledger::Find(std::string_view organisation) const {
  const auto found = this->accounts.find(organisation);
  return found == this->accounts.end() ? nullptr : &found->second;
}

const Grant* Ledger::FindGrant(LogPosition id) const {
  const auto found = this->account_of_grant.find(id);
  if (found == this->account_of_grant.end()) return nullptr;
  return &found->second->grants.at(id);
}

Verdict Ledger::ApplyTopUp(const pb::TopUp& record) {
  const Tokens tokens(record.tokens());
  if (tokens <= Tokens(0) || tokens > kMaxTokens ||
      record.organisation().empty() || record.top_up_id().empty()) {
    return Verdict::kRejected;
  }

  const Account* const present = this->Find(record.organisation());
  if (present != nullptr && present->topped_up + tokens > kMaxTokens) {
    return Verdict::kRejected;
  }

  Account& account = this->accounts[record.organisation()];
  account.organisation = record.organisation();
  if (!account.top_up_ids.insert(record.top_up_id()).second) {
    return Verdict::kDuplicate;
  }

  account.topped_up += tokens;
  account.available += tokens;
  this->Check(account);
  return Verdict::kAccepted;
}

Verdict Ledger::ApplyGrant(LogPosition at, const VmRef& writer,
                           const pb::Grant& record) {
  const auto found = this->accounts.find(record.organisation());
  if (found == this->accounts.end()) return Verdict::kRejected;

  Grant grant{.id = at,
              .organisation = record.organisation(),
              .holder = VmRef::FromProto(record.holder()),
              .amount = Tokens(record.amount()),
              .fine_step = Tokens(record.fine_step()),
              .coarse_step = Tokens(record.coarse_step()),
              .nonce = record.grant_nonce()};
  const Tokens ceiling(record.initial_ceiling());
  grant.fine = {VmRef::FromProto(record.fine_witness()), at, ceiling};
  grant.coarse = {VmRef::FromProto(record.coarse_witness()), at, ceiling};

  // A grant needs two witnesses that are neither the holder nor the same VM.
  if (writer != grant.holder || IsUnnamed(grant.holder) ||
      IsUnnamed(grant.fine.vm) || IsUnnamed(grant.coarse.vm) ||
      grant.fine.vm.vm == grant.coarse.vm.vm ||
      grant.fine.vm.vm == grant.holder.vm ||
      grant.coarse.vm.vm == grant.holder.vm) {
    return Verdict::kRejected;
  }
  if (grant.amount <= Tokens(0) || grant.amount > found->second.available ||
      ceiling < Tokens(0) || ceiling > grant.amount) {
    return Verdict::kRejected;
  }

  found->second.available -= grant.amount;
  this->AddGrant(found->second, std::move(grant));
  this->Check(found->second);
  return Verdict::kAccepted;
}

Verdict Ledger::ApplySettle(const VmRef& writer, const pb::Settle& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  if (grant == nullptr || writer != grant->holder) return Verdict::kRejected;

  const Verdict verdict =
      this->Bill(*grant, Tokens(record.spent()), Tokens(record.possibly_used()),
                 Tokens(record.overrun()));
  this->Check(this->AccountOf(*grant));
  return verdict;
}

Verdict Ledger::ApplyClose(const VmRef& writer, const pb::Close& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  if (grant == nullptr || writer != grant->holder) return Verdict::kRejected;

  this->Bill(*grant, Tokens(record.spent()), Tokens(record.possibly_used()),
             Tokens(record.overrun()));
  Account& account = this->AccountOf(*grant);
  this->LowerAmount(*grant, Tokens(0));
  this->EndGrant(grant->id);
  this->Check(account);
  return Verdict::kAccepted;
}

Verdict Ledger::ApplyReturn(const VmRef& writer, const pb::Return& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  if (grant == nullptr || writer != grant->holder || grant->written_off) {
    return Verdict::kRejected;
  }

  const Tokens amount(record.new_amount());
  if (amount < grant->amount - grant->Remainder()) return Verdict::kRejected;
  if (amount >= grant->amount) return Verdict::kDuplicate;

  this->LowerAmount(*grant, amount);
  this->Check(this->AccountOf(*grant));
  return Verdict::kAccepted;
}

Verdict Ledger::ApplySeal(const VmRef& writer, const pb::Seal& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  const VmRef witness = VmRef::FromProto(record.witness());
  if (grant == nullptr || writer != witness) return Verdict::kRejected;
  if (grant->sealed || grant->written_off) return Verdict::kDuplicate;

  // Only the present appointment may seal; see the class of kNoTerm.
  const bool any_term = this->mutation == Mutation::kNoTerm;
  const LogPosition term = LogPosition::FromProto(record.term());
  const auto appointed = [&](const WitnessSlot& slot) {
    return slot.vm == witness && (slot.term == term || any_term);
  };
  if (!appointed(grant->fine) && !appointed(grant->coarse)) {
    return Verdict::kRejected;
  }

  grant->sealed = true;
  this->LowerAmount(*grant, Tokens(record.ceiling()));
  this->Bill(*grant, Tokens(record.spent()), grant->possibly_used,
             grant->overrun);
  this->Check(this->AccountOf(*grant));
  return Verdict::kAccepted;
}

Verdict Ledger::ApplyReplaceWitness(LogPosition at, const VmRef& writer,
                                    const pb::ReplaceWitness& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  if (grant == nullptr || writer != grant->holder || grant->sealed ||
      grant->written_off || !grant->IsWitnessed()) {
    return Verdict::kRejected;
  }

  const VmRef old_witness = VmRef::FromProto(record.old_witness());
  const VmRef new_witness = VmRef::FromProto(record.new_witness());
  WitnessSlot* slot = nullptr;
  if (grant->fine.vm == old_witness) slot = &grant->fine;
  if (grant->coarse.vm == old_witness) slot = &grant->coarse;
  if (slot == nullptr) return Verdict::kRejected;

  const WitnessSlot& other = slot == &grant->fine ? grant->coarse : grant->fine;
  if (IsUnnamed(new_witness) || new_witness.vm == grant->holder.vm ||
      new_witness.vm == other.vm.vm) {
    return Verdict::kRejected;
  }

  *slot = {new_witness, at, Tokens(record.ceiling())};
  return Verdict::kAccepted;
}

Verdict Ledger::ApplyTransfer(LogPosition at, const VmRef& writer,
                              const pb::TransferRecord& record) {
  Grant* const giver = this->MutableGrant(record.grant());
  const VmRef receiver = VmRef::FromProto(record.receiver());
  if (giver == nullptr || IsUnnamed(receiver) || record.transfer_id().empty() ||
      (writer != giver->holder && writer != receiver)) {
    return Verdict::kRejected;
  }
  if (giver->given.contains(record.transfer_id())) return Verdict::kDuplicate;

  const Tokens amount(record.amount());
  if (amount <= Tokens(0) || amount > giver->Remainder()) {
    return Verdict::kRejected;
  }

  Account& account = this->AccountOf(*giver);
  (giver->written_off ? account.written_off : account.open) -= amount;
  giver->transferred += amount;
  giver->given.insert(record.transfer_id());
  this->AddGrant(account, {.id = at,
                           .organisation = giver->organisation,
                           .holder = receiver,
                           .amount = amount,
                           .transfer_id = record.transfer_id()});
  this->Check(account);
  return Verdict::kAccepted;
}

Verdict Ledger::ApplyWriteOff(const pb::WriteOff& record) {
  Grant* const grant = this->MutableGrant(record.grant());
  if (grant == nullptr) return Verdict::kRejected;
  if (grant->written_off) return Verdict::kDuplicate;

  Account& account = this->AccountOf(*grant);
  account.open -= grant->Remainder();
  account.written_off += grant->Remainder();
  grant->written_off = true;
  grant->cause = record.cause();
  this->Check(account);

  this->DropOldWriteOffs(account);
  return Verdict::kAccepted;
}

Grant* Ledger::MutableGrant(const pb::Position& id) {
  const LogPosition position = LogPosition::FromProto(id);
  const auto found = this->account_of_grant.find(position);
  if (found == this->account_of_grant.end()) return nullptr;
  return &found->second->grants.at(position);
}

Account& Ledger::AccountOf(const Grant& grant) {
  return *this->account_of_grant.at(grant.id);
}

Verdict Ledger::Bill(Grant& grant, Tokens spent, Tokens possibly_used,
                     Tokens overrun) {
  Account& account = this->AccountOf(grant);
  Tokens& remainder = grant.written_off ? account.written_off : account.open;

  // The totals are cumulative: an older, smaller one changes nothing. What
  // exceeds the grant is never billed to the organisation.
  const Tokens billed =
      std::clamp(spent - grant.spent, Tokens(0), grant.Remainder());
  grant.spent += billed;
  account.billed += billed;
  remainder -= billed;

  const Tokens unknown = std::clamp(possibly_used - grant.possibly_used,
                                    Tokens(0), grant.Remainder());
  grant.possibly_used += unknown;
  remainder -= unknown;
  account.written_off += unknown;

  const Tokens more = std::max(overrun - grant.overrun, Tokens(0));
  grant.overrun += more;
  account.overrun += more;

  const bool changed = billed + unknown + more > Tokens(0);
  return changed ? Verdict::kAccepted : Verdict::kDuplicate;
}

void Ledger::LowerAmount(Grant& grant, Tokens amount) {
  const Tokens back =
      std::clamp(grant.amount - amount, Tokens(0), grant.Remainder());
  Account& account = this->AccountOf(grant);
  grant.amount -= back;
  (grant.written_off ? account.written_off : account.open) -= back;
  account.available += back;
}

void Ledger::EndGrant(LogPosition id) {
  Account& account = *this->account_of_grant.at(id);
  Grant& grant = account.grants.at(id);

  // Tokens of unknown outcome stay listed with their cause.
  if (grant.possibly_used > Tokens(0)) {
    grant.written_off = true;
    grant.sealed = true;
    grant.cause = "outcome unknown";
    this->DropOldWriteOffs(account);
    return;
  }
  account.grants.erase(id);
  this->account_of_grant.erase(id);
}

void Ledger::DropOldWriteOffs(Account& account) {
  const auto is_ended = [](const auto& item) {
    return item.second.written_off;
  };
  auto count = static_cast<size_t>(
      std::count_if(account.grants.begin(), account.grants.end(), is_ended));

  for (auto it = account.grants.begin(); count > kMaxWriteOffs;) {
    if (!is_ended(*it)) {
      ++it;
      continue;
    }
    this->account_of_grant.erase(it->first);
    it = account.grants.erase(it);
    --count;
  }
}

Grant& Ledger::AddGrant(Account& account, Grant grant) {
  account.open += grant.Remainder();
  this->account_of_grant[grant.id] = &account;
  const LogPosition id = grant.id;
  return account.grants.emplace(id, std::move(grant)).first->second;
}

void Ledger::Check(const Account& account) const {
  FD_ASSERT(account.available >= Tokens(0), "budget: the pool is negative");
  FD_ASSERT(account.open >= Tokens(0), "budget: open remainders are negative");
  FD_ASSERT(
      account.billed + account.written_off + account.open + account.available ==
          account.topped_up,
      "budget: an account does not add up");
}

}  // namespace fuchsiadrum::budget
