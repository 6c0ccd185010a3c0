#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fuchsiadrum/budget/ceiling_holder.h"
#include "fuchsiadrum/budget/ceiling_witness.h"
#include "fuchsiadrum/budget/escrow_options.h"
#include "fuchsiadrum/budget/grant_keeper.h"
#include "fuchsiadrum/budget/held_budget.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/budget/share_exchange.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {

/// Identifies a reservation within one daemon; never 0.
using ReservationId = uint64_t;

/// What became of a reservation.
enum class ReserveStatus { kReserved, kWaiting, kRefused };

/// Why a reservation was refused.
enum class RefusalReason {
  kNone,
  kNoBudget,     // the organisation never bought tokens
  kExhausted,    // the whole fleet has fewer tokens left than the minimum
  kUnreachable,  // tokens are left, but not within reach in time
  kDraining,     // this daemon stops
};

/// Text of a reason for the caller, for example "budget exhausted".
std::string_view RefusalText(RefusalReason reason);

/// Result of Reserve, or of a reservation that waited.
struct ReserveResult {
  ReserveStatus status = ReserveStatus::kRefused;
  /// Valid unless refused at once.
  ReservationId id = 0;
  /// Reserved tokens, between the minimum and the worst case.
  Tokens amount;
  RefusalReason reason = RefusalReason::kNone;
  /// When another try may succeed; 0: not known.
  Duration retry_after{0};
};

/// Numbers for metrics and for the operators' view.
struct EscrowFigures {
  /// Tokens that can be reserved at once.
  Tokens room;
  /// Held above the present ceilings.
  Tokens above_ceilings;
  Tokens reserved;
  /// Used, with the billing undecided.
  Tokens unconfirmed;
  /// What is lost from use if this daemon dies now, at most.
  Tokens fine_step;
  /// What is lost from use if its availability zone is lost, at most.
  Tokens coarse_step;
};

/// The holder of grants and the witness of other daemons' grants. The path of
/// a request calls Reserve, then Settle, Release or Abandon, and after Settle
/// Confirm. All calls come from one thread.
class EscrowAgent : public Agent {
 public:
  EscrowAgent(const Ledger& ledger, const PeerView& peers,
              EscrowAgentOptions options, Rng rng);

  /// Reserves `worst_case` tokens. If they are not at hand, the reservation
  /// waits until `wait_until` and is then cut to what is there, if that is at
  /// least `minimum` (0 < minimum <= worst_case), or refused.
  ReserveResult Reserve(TimePoint now, std::string_view organisation,
                        Tokens worst_case, Tokens minimum, TimePoint wait_until,
                        Outbox& out);
  /// Reservations that waited and were decided since the last call.
  std::vector<ReserveResult> TakeFinished();
  /// The call ran and used this many tokens. The part of the reservation that
  /// was not used is free again; what exceeds it is borne by the operator. The
  /// use counts as confirmed only after Confirm.
  void Settle(TimePoint now, ReservationId id, Tokens used);
  /// The key's home decided on the billing; false: the tokens come back.
  void Confirm(TimePoint now, ReservationId id, bool billed_here);
  /// The call certainly did not run, or its caller gave up waiting.
  void Release(TimePoint now, ReservationId id);
  /// The outcome is unknown: the tokens are neither billed nor available.
  void Abandon(TimePoint now, ReservationId id);

  void OnRecord(TimePoint now, LogPosition at, const pb::Record& record,
                Verdict verdict, Outbox& out) override;
  void OnStateLoaded(TimePoint now, Outbox& out) override;
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  /// Refuses new reservations and closes each grant as its last one ends.
  void BeginDrain(TimePoint now, Outbox& out) override;
  bool IsDrained() const override;

  /// Figures of one organisation; all zero if it was never used here.
  EscrowFigures Figures(std::string_view organisation);
  /// What this daemon holds, for tests and benches.
  const HeldBudgets& Budgets() const { return this->budgets; }
  /// Ceiling that this daemon acknowledged as a witness in this term; nullopt:
  /// it is not the witness of the grant in that term.
  std::optional<Tokens> WitnessedCeiling(LogPosition grant,
                                         LogPosition term) const {
    return this->witness.CeilingOf(grant, term);
  }
  /// Grants that this daemon witnesses.
  size_t WitnessedGrants() const { return this->witness.size(); }

 private:
  enum class SlotState { kFree, kWaiting, kReserved, kSettled };
  struct Slot {
    SlotState state = SlotState::kFree;
    uint32_t generation = 1;
    HeldBudget* budget = nullptr;
    ReservedParts parts;
    Tokens amount;
    Tokens minimum;
    TimePoint wait_until;
  };

  uint32_t TakeSlot(HeldBudget& budget);
  void FreeSlot(uint32_t index);
  Slot* FindSlot(ReservationId id);
  ReservationId IdOf(uint32_t index) const;
  ReserveResult Decide(uint32_t index, Tokens amount);
  ReserveResult Refuse(uint32_t index, RefusalReason reason);
  RefusalReason WhyNot(const HeldBudget& budget, Tokens minimum) const;
  Duration RetryAfter(RefusalReason reason) const;
  ReserveResult Queue(TimePoint now, HeldBudget& budget, uint32_t index,
                      Outbox& out);
  void GetTokens(TimePoint now, HeldBudget& budget, Outbox& out);
  void ServeWaiting(HeldBudget& budget);
  void ExpireWaiting(TimePoint now, HeldBudget& budget);
  /// True if neither the pool nor the peers have more to give for now.
  bool IsAllFound(const HeldBudget& budget) const;
  void LeaveQueue(HeldBudget& budget, uint32_t index);
  void CountWaiting(HeldBudget& budget);

  const Ledger& ledger;
  const PeerView& peers;
  EscrowAgentOptions options;
  HeldBudgets budgets;
  CeilingWitness witness;
  CeilingHolder ceilings;
  GrantKeeper keeper;
  ShareExchange shares;
  std::vector<Slot> slots;
  std::vector<uint32_t> free_slots;
  std::vector<ReserveResult> finished;
  /// Reservations that wait, over all budgets.
  size_t waiting_count = 0;
  TimePoint last_now;
  bool draining = false;
};

}  // namespace fuchsiadrum::budget
