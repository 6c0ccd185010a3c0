#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/budget/escrow_agent.h"

namespace fuchsiadrum::bench {

/// How one daemon decides on budgets: the product or a baseline.
class BudgetPolicy {
 public:
  BudgetPolicy() = default;
  BudgetPolicy(const BudgetPolicy&) = delete;
  BudgetPolicy& operator=(const BudgetPolicy&) = delete;
  virtual ~BudgetPolicy() = default;

  virtual budget::ReserveResult Reserve(TimePoint now,
                                        std::string_view organisation,
                                        Tokens worst_case, Tokens minimum,
                                        TimePoint wait_until, Outbox& out) = 0;
  virtual std::vector<budget::ReserveResult> TakeFinished() { return {}; }
  virtual void Settle(TimePoint now, budget::ReservationId id, Tokens used) = 0;
  virtual void Confirm(TimePoint now, budget::ReservationId id,
                       bool billed_here) = 0;
  virtual void Release(TimePoint now, budget::ReservationId id) = 0;
  virtual void Abandon(TimePoint now, budget::ReservationId id) = 0;

  /// A record of the log, in order, each once.
  virtual void OnRecord(TimePoint now, LogPosition at, const VmRef& writer,
                        const pb::Record& record, Outbox& out) = 0;
  /// Records from here on were written after this daemon had started.
  virtual void OnCaughtUp() {}
  virtual void OnMessage(TimePoint /*now*/, const VmRef& /*from*/,
                         const pb::PeerMessage& /*message*/, Outbox& /*out*/) {}
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  virtual void BeginDrain(TimePoint /*now*/, Outbox& /*out*/) {}
  virtual bool IsDrained() const { return true; }

  /// The product's parts; nullptr in a baseline.
  virtual budget::Ledger* ProductLedger() { return nullptr; }
  virtual budget::EscrowAgent* ProductAgent() { return nullptr; }
};

/// What a policy is made from.
struct BudgetPolicySetup {
  /// "" (the product), "fixed-split", "central" or "time-lease".
  std::string name;
  const PeerView& view;
  /// Daemons of the fleet.
  int daemons = 9;
  budget::EscrowAgentOptions options;
  uint64_t seed = 1;
};

/// nullptr: there is no policy of that name.
std::unique_ptr<BudgetPolicy> MakeBudgetPolicy(const BudgetPolicySetup& setup);

}  // namespace fuchsiadrum::bench
