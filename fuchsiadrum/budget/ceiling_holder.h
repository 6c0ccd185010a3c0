#pragma once

#include <map>

#include "fuchsiadrum/budget/escrow_options.h"
#include "fuchsiadrum/budget/held_budget.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/budget/witness_choice.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {

/// The holder's side of ceilings: raises them ahead of the use, and replaces
/// witnesses that do not answer.
class CeilingHolder {
 public:
  CeilingHolder(const PeerView& peers, const EscrowAgentOptions& options,
                HeldBudgets& budgets, Rng rng)
      : peers(peers), options(options), budgets(budgets), rng(rng) {}

  /// Raises that one budget needs now, for example for a waiting request.
  void Raise(TimePoint now, HeldBudget& budget, Outbox& out);
  /// Raises of all budgets, in one message for each witness; replacements.
  void OnTick(TimePoint now, Outbox& out);
  void OnAck(const VmRef& from, const pb::CeilingAck& ack);
  /// A ReplaceWitness of this daemon was folded.
  void OnReplaced(LogPosition at, const pb::ReplaceWitness& record,
                  Verdict verdict);

 private:
  using Raises = std::map<VmRef, pb::CeilingRaise>;

  void Collect(TimePoint now, HeldBudget& budget, WitnessRole role,
               Raises& raises);
  bool IsReportDue(TimePoint now, const HeldGrant& grant,
                   const HeldCeiling& ceiling) const;
  bool IsRaiseDue(TimePoint now, const HeldCeiling& ceiling, Tokens target,
                  Tokens needed) const;
  void Send(Raises& raises, Outbox& out);
  void ReplaceIfNeeded(TimePoint now, HeldGrant& grant, WitnessRole role,
                       Outbox& out);
  bool IsReplacementDue(TimePoint now, const HeldCeiling& ceiling,
                        WitnessRole role) const;
  bool IsDegraded() const { return !this->peers.IsLogReachable(); }

  const PeerView& peers;
  const EscrowAgentOptions& options;
  HeldBudgets& budgets;
  Rng rng;
};

}  // namespace fuchsiadrum::budget
