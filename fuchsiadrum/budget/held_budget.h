#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/budget/account.h"
#include "fuchsiadrum/budget/grant_sizer.h"
#include "fuchsiadrum/budget/witness_choice.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

class HeldBudget;

/// One witness of a grant, as its holder sees it.
struct HeldCeiling {
  VmRef witness;
  LogPosition term;
  /// Highest ceiling that the witness acknowledged in this term.
  Tokens ceiling;
  /// Ceiling asked for and not yet acknowledged.
  Tokens asked;
  /// Step of the organisation with which it was asked for last.
  Tokens step;
  /// Confirmed spend that the witness knows.
  Tokens reported;
  TimePoint asked_at;
  TimePoint sent_at;
  bool pending = false;
  /// A ReplaceWitness is on its way; the ceiling must not change.
  bool frozen = false;
  /// The witness said that it stops.
  bool leaving = false;
};

/// A grant that this daemon holds. All quantities count from its start.
struct HeldGrant {
  HeldBudget* budget = nullptr;
  LogPosition id;
  /// False for a transfer whose record was not read yet: it has no id.
  bool recorded = false;
  std::string transfer_id;
  /// The giver's grant, for a transfer.
  LogPosition giver;
  TimePoint received_at;
  bool record_sent = false;

  /// Own upper bound; lowered before a return is appended.
  Tokens amount;
  /// Used, and its billing is decided.
  Tokens confirmed;
  /// Used, and the home's decision on the billing is open.
  Tokens held;
  Tokens reserved;
  /// Reservations of unknown outcome.
  Tokens possibly_used;
  /// Given to peers.
  Tokens given;
  /// Usage above reservations.
  Tokens overrun;

  bool witnessed = false;
  /// Set by Mutation::kSkipWitness only.
  bool ignores_ceilings = false;
  HeldCeiling fine;
  HeldCeiling coarse;
  /// Sealed or written off: nothing new is reserved under it.
  bool sealed = false;
  /// A Close is on its way.
  bool closing = false;
  bool return_in_flight = false;
  bool settle_in_flight = false;
  Tokens settled_spent;
  Tokens settled_unknown;
  Tokens settled_overrun;

  Tokens Used() const {
    return this->confirmed + this->held + this->reserved + this->possibly_used +
           this->given;
  }
  /// Upper bound of Used(): the amount, and below both ceilings.
  Tokens Limit() const;
  /// Tokens that can be reserved now.
  Tokens Room() const;
  /// True if new reservations may come to lie under it.
  bool IsUsable() const { return !this->sealed && !this->closing; }
  bool IsIdle() const {
    return this->reserved == Tokens(0) && this->held == Tokens(0);
  }
};

/// Tokens of one reservation that lie under one grant.
struct ReservedPart {
  HeldGrant* grant = nullptr;
  Tokens amount;
};

/// Parts of a reservation. Sixteen grants of one organisation at one daemon
/// with room at the same time are more than happens outside the end of a
/// budget.
struct ReservedParts {
  std::array<ReservedPart, 16> parts;
  int count = 0;
};

/// Search for shares among the peers for one organisation.
struct ShareSearch {
  std::vector<VmRef> peers;
  size_t next = 0;
  uint64_t ask_id = 0;
  int outstanding = 0;
  TimePoint last_sent;
  bool active = false;
  /// Room when the round began, and rounds in a row that added nothing.
  Tokens room_before;
  int fruitless = 0;
};

/// What one daemon holds of one organisation's budget.
class HeldBudget {
 public:
  HeldBudget(std::string organisation, const GrantSizerOptions& options)
      : organisation(std::move(organisation)), sizer(options) {}

  /// Tokens that can be reserved now.
  Tokens Room() const;
  /// Tokens under usable grants that are not in use, also above the ceilings.
  Tokens Unused() const;
  /// Reserved, or used with the billing undecided.
  Tokens InFlight() const;
  /// In flight, or of unknown outcome and not yet settled.
  Tokens Unconfirmed() const;
  /// What is lost from use at most if this daemon dies (kFine) or its zone
  /// is lost (kCoarse): the step of the present ceilings, and shares.
  Tokens StepInForce(WitnessRole role) const;
  /// Takes exactly `amount` from the grants; false (nothing taken) if the room
  /// does not suffice.
  bool Take(Tokens amount, ReservedParts& parts);

  std::string organisation;
  GrantSizer sizer;
  std::vector<std::unique_ptr<HeldGrant>> grants;
  /// Slots of waiting reservations, oldest first, and the sum of what they
  /// want.
  std::deque<uint32_t> waiting;
  Tokens waiting_tokens;
  /// Smallest minimum of the waiting reservations; 0: none waits.
  Tokens waiting_minimum;
  TimePoint waiting_since;
  /// Tokens that peers asked for lately and that the ceilings did not allow.
  Tokens lend_need;
  TimePoint lend_until;
  /// Nonce of the grant that was asked for; 0: none.
  uint64_t requested_nonce = 0;
  ShareSearch search;
  /// Last ask of each peer, so that a doubled message is answered once.
  std::map<std::string, uint64_t> last_asks;

 private:
  /// Parts of at least `least` tokens that make up `amount`; false if there
  /// are too few or too many.
  bool Collect(Tokens amount, Tokens least, ReservedParts& parts);
};

/// All budgets of one daemon.
class HeldBudgets {
 public:
  explicit HeldBudgets(const GrantSizerOptions& options) : options(options) {}

  /// nullptr: this daemon has not used the organisation's budget.
  HeldBudget* Find(std::string_view organisation);
  HeldBudget& Get(std::string_view organisation);
  /// A recorded grant; nullptr: not held.
  HeldGrant* FindGrant(LogPosition id);
  /// A grant by transfer id; nullptr: not held.
  HeldGrant* FindTransfer(std::string_view transfer_id);
  /// Adds a grant without id; SetId makes FindGrant find it.
  HeldGrant& Add(HeldBudget& budget);
  void SetId(HeldGrant& grant, LogPosition id);
  void SetTransfer(HeldGrant& grant, const std::string& transfer_id);
  /// Removes a grant without reservations.
  void Remove(HeldGrant& grant);
  /// In order of first use.
  const std::vector<std::unique_ptr<HeldBudget>>& All() const {
    return this->budgets;
  }
  size_t GrantCount() const { return this->grant_count; }

 private:
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  const GrantSizerOptions& options;
  std::vector<std::unique_ptr<HeldBudget>> budgets;
  std::unordered_map<std::string, HeldBudget*, Hash, std::equal_to<>> by_name;
  std::unordered_map<LogPosition, HeldGrant*> by_id;
  std::unordered_map<std::string, HeldGrant*, Hash, std::equal_to<>>
      by_transfer;
  size_t grant_count = 0;
};

}  // namespace fuchsiadrum::budget
