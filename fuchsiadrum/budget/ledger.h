#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fuchsiadrum/budget/account.h"
#include "fuchsiadrum/budget/mutation.h"
#include "fuchsiadrum/core/fold_part.h"

namespace fuchsiadrum::budget {

/// The fold over top-ups, grants, settlements, seals, transfers and
/// write-offs. Asserts the invariant of the account that a record changes
/// after every record.
class Ledger : public FoldPart {
 public:
  explicit Ledger(Mutation mutation = Mutation::kNone) : mutation(mutation) {}

  Verdict Apply(LogPosition at, const VmRef& writer,
                const pb::Record& record) override;
  void Save(pb::Snapshot& snapshot) const override;
  bool Load(const pb::Snapshot& snapshot) override;
  uint64_t Digest() const override;

  /// All accounts by organisation.
  const std::map<std::string, Account, std::less<>>& Accounts() const {
    return this->accounts;
  }
  /// The account of an organisation; nullptr: nothing was ever topped up.
  const Account* Find(std::string_view organisation) const;
  /// A grant that is open, or ended with a written-off part; nullptr: neither.
  const Grant* FindGrant(LogPosition id) const;
  /// Recomputes the sums of every account; false if one does not match.
  bool Verify() const;

 private:
  Verdict ApplyTopUp(const pb::TopUp& record);
  Verdict ApplyGrant(LogPosition at, const VmRef& writer,
                     const pb::Grant& record);
  Verdict ApplySettle(const VmRef& writer, const pb::Settle& record);
  Verdict ApplyClose(const VmRef& writer, const pb::Close& record);
  Verdict ApplyReturn(const VmRef& writer, const pb::Return& record);
  Verdict ApplySeal(const VmRef& writer, const pb::Seal& record);
  Verdict ApplyReplaceWitness(LogPosition at, const VmRef& writer,
                              const pb::ReplaceWitness& record);
  Verdict ApplyTransfer(LogPosition at, const VmRef& writer,
                        const pb::TransferRecord& record);
  Verdict ApplyWriteOff(const pb::WriteOff& record);

  Grant* MutableGrant(const pb::Position& id);
  Account& AccountOf(const Grant& grant);
  Verdict Bill(Grant& grant, Tokens spent, Tokens possibly_used,
               Tokens overrun);
  void LowerAmount(Grant& grant, Tokens amount);
  void EndGrant(LogPosition id);
  void DropOldWriteOffs(Account& account);
  Grant& AddGrant(Account& account, Grant grant);
  void Check(const Account& account) const;

  Mutation mutation;
  std::map<std::string, Account, std::less<>> accounts;
  std::unordered_map<LogPosition, Account*> account_of_grant;
};

}  // namespace fuchsiadrum::budget
