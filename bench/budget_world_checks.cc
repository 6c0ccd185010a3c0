#include <algorithm>
#include <utility>

#include "bench/budget_world.h"

namespace fuchsiadrum::bench {

void BudgetWorld::CheckAlways() {
  if (!this->options.policy.empty()) return;
  for (const auto& daemon : this->daemons) {
    if (daemon->alive) this->CheckLimits(*daemon);
  }
  for (const auto& [id, used] : this->dead_use) {
    const budget::Grant* const grant = this->reference.FindGrant(id);
    if (grant != nullptr && used > grant->amount) {
      this->Violation("grant " + id.ToString() +
                          " was used above its amount by a dead holder",
                      grant->holder.ToString());
    }
  }
}

void BudgetWorld::CheckLimits(const BudgetDaemon& daemon) {
  for (const auto& held : daemon.policy->ProductAgent()->Budgets().All()) {
    for (const auto& grant : held->grants) {
      if (!grant->recorded) continue;
      const budget::Grant* const folded = this->reference.FindGrant(grant->id);
      const Tokens bound = std::max(
          grant->Used(), grant->IsUsable() ? grant->Limit() : Tokens(0));
      if (folded != nullptr && bound > folded->amount) {
        this->Violation("holder may use " + std::to_string(bound.count) +
                            " of grant " + grant->id.ToString() + " with " +
                            std::to_string(folded->amount.count),
                        daemon.Ref().ToString());
      }
      this->CheckCeiling(daemon, *grant, grant->fine);
      this->CheckCeiling(daemon, *grant, grant->coarse);
    }
  }
}

void BudgetWorld::CheckCeiling(const BudgetDaemon& holder,
                               const budget::HeldGrant& grant,
                               const budget::HeldCeiling& ceiling) {
  if (!grant.witnessed || !grant.IsUsable()) return;
  for (const auto& daemon : this->daemons) {
    if (!daemon->alive || daemon->Ref() != ceiling.witness) continue;
    const auto known = daemon->policy->ProductAgent()->WitnessedCeiling(
        grant.id, ceiling.term);
    if (known && *known < std::min(ceiling.ceiling, grant.amount)) {
      this->Violation("the witness of grant " + grant.id.ToString() +
                          " acknowledged " + std::to_string(known->count) +
                          " but the holder uses " +
                          std::to_string(ceiling.ceiling.count),
                      holder.Ref().ToString());
    }
  }
}

void BudgetWorld::Violation(const std::string& what, const std::string& peer) {
  ++this->figures.violations;
  this->Trace("violation at " + peer + ": " + what);
}

void BudgetWorld::Trace(const std::string& text) {
  std::string line =
      std::to_string((this->queue.Now().us - 3'600'000'000) / 1000) + " ms " +
      text;
  if (this->keep_trace) this->trace_text += line + "\n";
  this->events.push_back(std::move(line));
  if (this->events.size() > 40) this->events.pop_front();
}

void BudgetWorld::TraceHoldings(const std::string& organisation) {
  if (!this->options.policy.empty()) return;
  const budget::Account& account = *this->reference.Find(organisation);
  std::string line = "  pool " + std::to_string(account.available.count);
  for (const auto& daemon : this->daemons) {
    if (!daemon->alive) continue;
    const budget::EscrowFigures figures =
        daemon->policy->ProductAgent()->Figures(organisation);
    line += ", " + daemon->Ref().vm + " room " +
            std::to_string(figures.room.count) + " above " +
            std::to_string(figures.above_ceilings.count) + " reserved " +
            std::to_string(figures.reserved.count) + " held " +
            std::to_string(figures.unconfirmed.count);
  }
  this->Trace(line);
}

}  // namespace fuchsiadrum::bench
