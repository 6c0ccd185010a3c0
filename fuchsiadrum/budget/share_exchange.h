#pragma once

#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/escrow_options.h"
#include "fuchsiadrum/budget/held_budget.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"

namespace fuchsiadrum::budget {

/// Shares between peers: asks for tokens that a waiting request needs, gives
/// and receives. The giver counts a share as used before it sends it; the id of
/// the transfer makes the message and both records idempotent.
class ShareExchange {
 public:
  ShareExchange(const Ledger& ledger, const PeerView& peers,
                const EscrowAgentOptions& options, HeldBudgets& budgets)
      : ledger(ledger), peers(peers), options(options), budgets(budgets) {}

  /// Asks peers if waiting requests lack tokens that the pool cannot give soon.
  void AskIfNeeded(TimePoint now, HeldBudget& budget, Outbox& out);
  /// Gives a share; an answer with amount 0 says that there is none.
  void OnAsk(TimePoint now, const VmRef& from, const pb::GrantAsk& ask,
             Outbox& out);
  /// Takes in a share or a refusal. Returns the budget concerned, or nullptr.
  HeldBudget* OnTransfer(TimePoint now, const VmRef& from,
                         const pb::Transfer& transfer, Outbox& out);
  void OnTransferAck(const pb::TransferAck& ack);
  /// A TransferRecord was folded.
  void OnRecorded(const pb::TransferRecord& record);
  /// Repeats what was not answered.
  void OnTick(TimePoint now, Outbox& out);
  /// True if no share is under way from this daemon.
  bool IsIdle() const { return this->unrecorded.empty(); }

 private:
  struct Pending {
    VmRef to;
    pb::Transfer transfer;
    TimePoint sent_at;
    bool acknowledged = false;
  };

  void StartSearch(HeldBudget& budget);
  void AskNext(TimePoint now, HeldBudget& budget, Tokens wanted, Outbox& out);
  Tokens Shortage(const HeldBudget& budget) const;
  /// Gives what can be spared, from a few grants. Returns how much that is.
  Tokens GiveUpTo(TimePoint now, HeldBudget& budget, const VmRef& from,
                  const pb::GrantAsk& ask, Outbox& out);
  HeldGrant* LargestGrant(HeldBudget& budget) const;
  void Give(TimePoint now, HeldGrant& grant, Tokens share, const VmRef& to,
            uint64_t ask_id, Outbox& out);
  bool IsNewTransfer(const VmRef& from, const pb::TransferRecord& record) const;
  void Receive(TimePoint now, const pb::Transfer& transfer);

  const Ledger& ledger;
  const PeerView& peers;
  const EscrowAgentOptions& options;
  HeldBudgets& budgets;
  uint64_t next_ask = 1;
  uint64_t next_transfer = 1;
  /// Shares that this daemon gave and whose record was not read yet.
  std::map<std::string, Pending> unrecorded;
};

}  // namespace fuchsiadrum::budget
