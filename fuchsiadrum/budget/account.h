#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// A witness of a grant, as appointed by a record.
struct WitnessSlot {
  /// Empty VM name: the grant has no such witness.
  VmRef vm;
  /// Position of the record that appointed the witness.
  LogPosition term;
  /// Ceiling that counts as acknowledged with the appointment.
  Tokens start_ceiling;
};

/// A grant as the fold sees it. All quantities count from the start of the
/// grant: `amount` is the upper bound of spent + possibly_used + transferred.
struct Grant {
  /// Position of the Grant record, or of the TransferRecord that made it.
  LogPosition id;
  std::string organisation;
  VmRef holder;
  /// Present upper bound, lowered by returns and by a seal.
  Tokens amount;
  /// Billed to the organisation.
  Tokens spent;
  /// Reservations of unknown outcome; written off, never available again.
  Tokens possibly_used;
  /// Moved to grants of other holders.
  Tokens transferred;
  /// Usage above reservations, borne by the operator.
  Tokens overrun;
  WitnessSlot fine;
  WitnessSlot coarse;
  Tokens fine_step;
  Tokens coarse_step;
  bool sealed = false;
  /// The remainder counts as written off, with this cause.
  bool written_off = false;
  std::string cause;
  std::string nonce;
  /// Set for a grant that a transfer made.
  std::string transfer_id;
  /// Ids of the transfers recorded from this grant, sorted.
  std::set<std::string> given;

  /// Tokens that are neither billed, written off nor moved elsewhere.
  Tokens Remainder() const {
    return this->amount - this->spent - this->possibly_used - this->transferred;
  }
  /// False for a grant that a transfer made.
  bool IsWitnessed() const { return !this->fine.vm.vm.empty(); }
};

/// An organisation's budget. Invariant after every record:
/// billed + written_off + open + available == topped_up, available >= 0.
struct Account {
  std::string organisation;
  Tokens topped_up;
  Tokens billed;
  /// Tokens given up for good, of ended and of open grants.
  Tokens written_off;
  /// Sum of the remainders of open grants.
  Tokens open;
  /// The pool.
  Tokens available;
  /// Usage above reservations, borne by the operator.
  Tokens overrun;
  std::set<std::string> top_up_ids;
  /// Open grants, and ended ones with a written-off part.
  std::map<LogPosition, Grant> grants;
};

}  // namespace fuchsiadrum::budget
