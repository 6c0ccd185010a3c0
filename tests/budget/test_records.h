#pragma once

#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Daemons of the ledger tests.
inline const VmRef kHolder{"holder", 1};
inline const VmRef kFine{"fine", 1};
inline const VmRef kCoarse{"coarse", 1};
inline const VmRef kOther{"other", 1};

inline pb::Record TopUpRecord(const std::string& id, int64_t tokens) {
  pb::Record record;
  record.mutable_top_up()->set_organisation("org");
  record.mutable_top_up()->set_top_up_id(id);
  record.mutable_top_up()->set_tokens(tokens);
  return record;
}

inline pb::Record GrantRecord(int64_t amount, int64_t ceiling) {
  pb::Record record;
  pb::Grant& grant = *record.mutable_grant();
  grant.set_organisation("org");
  *grant.mutable_holder() = kHolder.ToProto();
  grant.set_amount(amount);
  grant.set_initial_ceiling(ceiling);
  *grant.mutable_fine_witness() = kFine.ToProto();
  *grant.mutable_coarse_witness() = kCoarse.ToProto();
  return record;
}

inline pb::Record SettleRecord(LogPosition id, int64_t spent) {
  pb::Record record;
  *record.mutable_settle()->mutable_grant() = id.ToProto();
  record.mutable_settle()->set_spent(spent);
  return record;
}

inline pb::Record CloseRecord(LogPosition id, int64_t spent, int64_t unknown) {
  pb::Record record;
  *record.mutable_close()->mutable_grant() = id.ToProto();
  record.mutable_close()->set_spent(spent);
  record.mutable_close()->set_possibly_used(unknown);
  return record;
}

inline pb::Record ReturnRecord(LogPosition id, int64_t amount) {
  pb::Record record;
  *record.mutable_return_tokens()->mutable_grant() = id.ToProto();
  record.mutable_return_tokens()->set_new_amount(amount);
  return record;
}

inline pb::Record SealRecord(LogPosition id, const VmRef& witness,
                             LogPosition term, int64_t ceiling, int64_t spent) {
  pb::Record record;
  pb::Seal& seal = *record.mutable_seal();
  *seal.mutable_grant() = id.ToProto();
  *seal.mutable_witness() = witness.ToProto();
  *seal.mutable_term() = term.ToProto();
  seal.set_ceiling(ceiling);
  seal.set_spent(spent);
  return record;
}

inline pb::Record ReplaceRecord(LogPosition id, const VmRef& from,
                                const VmRef& to, int64_t ceiling) {
  pb::Record record;
  pb::ReplaceWitness& replace = *record.mutable_replace_witness();
  *replace.mutable_grant() = id.ToProto();
  *replace.mutable_old_witness() = from.ToProto();
  *replace.mutable_new_witness() = to.ToProto();
  replace.set_ceiling(ceiling);
  return record;
}

inline pb::Record TransferOf(LogPosition id, const std::string& transfer_id,
                             const VmRef& receiver, int64_t amount) {
  pb::Record record;
  pb::TransferRecord& transfer = *record.mutable_transfer();
  *transfer.mutable_grant() = id.ToProto();
  transfer.set_transfer_id(transfer_id);
  *transfer.mutable_receiver() = receiver.ToProto();
  transfer.set_amount(amount);
  return record;
}

inline pb::Record WriteOffRecord(LogPosition id) {
  pb::Record record;
  *record.mutable_write_off()->mutable_grant() = id.ToProto();
  record.mutable_write_off()->set_cause("holder is gone");
  return record;
}

}  // namespace fuchsiadrum::budget
