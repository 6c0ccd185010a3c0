#include <utility>

#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::budget {
namespace {

void SaveGrant(const Grant& grant, pb::GrantState& out) {
  *out.mutable_id() = grant.id.ToProto();
  pb::Grant& record = *out.mutable_grant();
  *record.mutable_holder() = grant.holder.ToProto();
  if (grant.IsWitnessed()) {
    *record.mutable_fine_witness() = grant.fine.vm.ToProto();
    *record.mutable_coarse_witness() = grant.coarse.vm.ToProto();
    *out.mutable_fine_term() = grant.fine.term.ToProto();
    *out.mutable_coarse_term() = grant.coarse.term.ToProto();
  }
  record.set_fine_step(grant.fine_step.count);
  record.set_coarse_step(grant.coarse_step.count);
  record.set_grant_nonce(grant.nonce);

  out.set_amount(grant.amount.count);
  out.set_spent(grant.spent.count);
  out.set_possibly_used(grant.possibly_used.count);
  out.set_transferred(grant.transferred.count);
  out.set_overrun(grant.overrun.count);
  out.set_fine_start_ceiling(grant.fine.start_ceiling.count);
  out.set_coarse_start_ceiling(grant.coarse.start_ceiling.count);
  out.set_sealed(grant.sealed);
  out.set_written_off(grant.written_off);
  out.set_written_off_tokens(grant.written_off ? grant.Remainder().count : 0);
  out.set_write_off_cause(grant.cause);
  out.set_transfer_id(grant.transfer_id);
  for (const std::string& id : grant.given) out.add_given_transfer_ids(id);
}

Grant LoadGrant(const std::string& organisation, const pb::GrantState& state) {
  const pb::Grant& record = state.grant();
  Grant grant{.id = LogPosition::FromProto(state.id()),
              .organisation = organisation,
              .holder = VmRef::FromProto(record.holder()),
              .amount = Tokens(state.amount()),
              .spent = Tokens(state.spent()),
              .possibly_used = Tokens(state.possibly_used()),
              .transferred = Tokens(state.transferred()),
              .overrun = Tokens(state.overrun()),
              .fine_step = Tokens(record.fine_step()),
              .coarse_step = Tokens(record.coarse_step()),
              .sealed = state.sealed(),
              .written_off = state.written_off(),
              .cause = state.write_off_cause(),
              .nonce = record.grant_nonce(),
              .transfer_id = state.transfer_id()};
  grant.fine = {VmRef::FromProto(record.fine_witness()),
                LogPosition::FromProto(state.fine_term()),
                Tokens(state.fine_start_ceiling())};
  grant.coarse = {VmRef::FromProto(record.coarse_witness()),
                  LogPosition::FromProto(state.coarse_term()),
                  Tokens(state.coarse_start_ceiling())};
  grant.given.insert(state.given_transfer_ids().begin(),
                     state.given_transfer_ids().end());
  return grant;
}

/// Parts of an account's sums that its listed grants carry.
struct GrantSums {
  Tokens spent;
  Tokens written_off;
  Tokens open;
};

GrantSums SumsOf(const Account& account) {
  GrantSums sums;
  for (const auto& [id, grant] : account.grants) {
    sums.spent += grant.spent;
    sums.written_off += grant.possibly_used;
    (grant.written_off ? sums.written_off : sums.open) += grant.Remainder();
  }
  return sums;
}

}  // namespace

void Ledger::Save(pb::Snapshot& snapshot) const {
  pb::LedgerState& out = *snapshot.mutable_ledger();
  out.Clear();

  for (const auto& [name, account] : this->accounts) {
    const GrantSums sums = SumsOf(account);
    pb::AccountState& state = *out.add_accounts();
    state.set_organisation(name);
    state.set_topped_up(account.topped_up.count);
    state.set_billed((account.billed - sums.spent).count);
    state.set_written_off((account.written_off - sums.written_off).count);
    state.set_overrun(account.overrun.count);
    for (const std::string& id : account.top_up_ids) state.add_top_up_ids(id);
    for (const auto& [id, grant] : account.grants) {
      SaveGrant(grant, *state.add_grants());
    }
  }
}

bool Ledger::Load(const pb::Snapshot& snapshot) {
  Ledger loaded(this->mutation);

  for (const pb::AccountState& state : snapshot.ledger().accounts()) {
    Account& account = loaded.accounts[state.organisation()];
    account.organisation = state.organisation();
    account.topped_up = Tokens(state.topped_up());
    account.overrun = Tokens(state.overrun());
    account.top_up_ids.insert(state.top_up_ids().begin(),
                              state.top_up_ids().end());
    for (const pb::GrantState& grant_state : state.grants()) {
      Grant grant = LoadGrant(state.organisation(), grant_state);
      if (grant.Remainder() < Tokens(0)) return false;
      account.grants.emplace(grant.id, std::move(grant));
    }

    const GrantSums sums = SumsOf(account);
    account.billed = Tokens(state.billed()) + sums.spent;
    account.written_off = Tokens(state.written_off()) + sums.written_off;
    account.open = sums.open;
    account.available =
        account.topped_up - account.billed - account.written_off - account.open;
    if (account.available < Tokens(0)) return false;
  }

  this->accounts = std::move(loaded.accounts);
  this->account_of_grant.clear();
  for (auto& [name, account] : this->accounts) {
    for (const auto& [id, grant] : account.grants) {
      this->account_of_grant[id] = &account;
    }
  }
  return true;
}

uint64_t Ledger::Digest() const {
  pb::Snapshot snapshot;
  this->Save(snapshot);
  return Hash64(snapshot.ledger().SerializeAsString());
}

bool Ledger::Verify() const {
  for (const auto& [name, account] : this->accounts) {
    const GrantSums sums = SumsOf(account);
    const bool adds_up = account.billed + account.written_off + account.open +
                             account.available ==
                         account.topped_up;
    if (!adds_up || sums.open != account.open ||
        account.available < Tokens(0) || account.billed < sums.spent ||
        account.written_off < sums.written_off) {
      return false;
    }
  }
  return true;
}

}  // namespace fuchsiadrum::budget
