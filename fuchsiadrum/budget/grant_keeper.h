#pragma once

#include <string>

#include "fuchsiadrum/budget/escrow_options.h"
#include "fuchsiadrum/budget/held_budget.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {

/// The holder's records: asks for grants, settles, closes, returns surplus.
class GrantKeeper {
 public:
  GrantKeeper(const Ledger& ledger, const PeerView& peers,
              const EscrowAgentOptions& options, HeldBudgets& budgets, Rng rng)
      : ledger(ledger),
        peers(peers),
        options(options),
        budgets(budgets),
        rng(rng) {}

  /// Asks for a grant if the budget needs one and the pool has tokens.
  void Replenish(TimePoint now, HeldBudget& budget, Outbox& out);
  /// Returns what this daemon does not need, because a peer asked for tokens.
  void ReturnSurplus(HeldBudget& budget, Outbox& out);
  /// Grants, settlements and closes that are due.
  void OnTick(TimePoint now, Outbox& out);
  /// A record of the fold concerns grants of this daemon.
  void OnRecord(TimePoint now, LogPosition at, const pb::Record& record,
                Verdict verdict);
  /// The fold was replaced by a snapshot.
  void OnStateLoaded(TimePoint now);
  void BeginDrain() { this->draining = true; }

 private:
  void OnGrant(LogPosition at, const pb::Grant& record, Verdict verdict);
  void OnTransfer(TimePoint now, LogPosition at,
                  const pb::TransferRecord& record);
  void OnClosed(const pb::Position& id);
  void OnSealed(const pb::Position& id);
  /// Follows the fleet's demand and returns what others may need.
  void Rebalance(TimePoint now, HeldBudget& budget, Outbox& out);
  void Adopt(const Grant& grant);
  void Settle(HeldGrant& grant, Outbox& out);
  bool IsCloseDue(TimePoint now, const HeldGrant& grant) const;
  void Close(HeldGrant& grant, Outbox& out);
  void CloseSmallest(HeldBudget& budget, Outbox& out);

  const Ledger& ledger;
  const PeerView& peers;
  const EscrowAgentOptions& options;
  HeldBudgets& budgets;
  Rng rng;
  uint64_t next_nonce = 1;
  TimePoint next_settle;
  bool draining = false;
};

}  // namespace fuchsiadrum::budget
