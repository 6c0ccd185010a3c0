#include <algorithm>
#include <set>

#include "bench/budget_run.h"

namespace fuchsiadrum::bench {

void BudgetRun::CheckAfterHealing() {
  BudgetWorld& world = *this->world;
  if (!this->IsProduct()) return;
  world.HealAll();
  if (!this->Advance(std::chrono::seconds(10))) return;
  this->demand->Stop();
  // Dead holders are sealed after 15 s of silence, replaced ones at once.
  if (!this->Advance(std::chrono::seconds(50))) return;

  if (!this->AwaitReaders()) return;
  this->CheckAccounts();
  this->CheckOpenGrants();
  this->CheckBilling(false);
  this->CheckStranded();
  this->CheckReclaim();
  if (world.figures.violations > 0) return;

  for (int i = 0; i < kDaemons; ++i) world.BeginDrain(i);
  if (!this->Advance(std::chrono::seconds(15))) return;
  if (!this->AwaitReaders()) return;
  for (int i = 0; i < kDaemons; ++i) {
    if (!world.At(i).policy->IsDrained()) {
      world.Violation("a planned stop does not end",
                      world.At(i).Ref().ToString());
    }
  }
  this->CheckAccounts();
  this->CheckBilling(true);
}

bool BudgetRun::AwaitReaders() {
  BudgetWorld& world = *this->world;
  const auto all_read = [&] {
    for (int i = 0; i < kDaemons; ++i) {
      if (world.At(i).next_offset != world.log.End()) return false;
    }
    return true;
  };

  // Records are written all the time; a moment without unread ones comes soon.
  for (int i = 0; i < 1000; ++i) {
    if (all_read()) return true;
    if (!this->Advance(std::chrono::milliseconds(10))) return false;
  }
  world.Violation("a daemon does not read the log", "");
  return false;
}

void BudgetRun::CheckAccounts() {
  BudgetWorld& world = *this->world;
  const uint64_t digest = world.reference.Digest();
  for (int i = 0; i < kDaemons; ++i) {
    const budget::Ledger& ledger = *world.At(i).policy->ProductLedger();
    if (!ledger.Verify() || ledger.Digest() != digest) {
      world.Violation("the fold differs from the log",
                      world.At(i).Ref().ToString());
    }
  }
}

void BudgetRun::CheckOpenGrants() {
  BudgetWorld& world = *this->world;
  std::set<LogPosition> held;
  for (int i = 0; i < kDaemons; ++i) {
    const budget::EscrowAgent& agent = *world.At(i).policy->ProductAgent();
    for (const auto& budget : agent.Budgets().All()) {
      for (const auto& grant : budget->grants) held.insert(grant->id);
    }
  }

  for (const auto& [name, account] : world.reference.Accounts()) {
    for (const auto& [id, grant] : account.grants) {
      if (grant.written_off) {
        if (grant.cause.empty()) {
          world.Violation("a write-off has no cause", id.ToString());
        }
        continue;
      }
      if (!held.contains(id)) {
        world.Violation("open grant " + id.ToString() + " has no holder",
                        grant.holder.ToString());
      }
      if (grant.sealed) {
        world.Violation("sealed grant " + id.ToString() + " is not settled",
                        grant.holder.ToString());
      }
    }
  }
}

void BudgetRun::CheckBilling(bool drained) {
  BudgetWorld& world = *this->world;
  for (const auto& [name, account] : world.reference.Accounts()) {
    const TrueAccount& truth = world.truth[name];
    if (account.topped_up != truth.topped_up) {
      world.Violation("a top-up was folded twice for " + name, "fold");
    }
    if (account.billed > truth.confirmed) {
      ++world.figures.double_bills;
      world.Violation("more billed than confirmed for " + name, "fold");
    }
    // What really ran is billed or written off, never available again.
    const Tokens gone = account.billed + account.written_off;
    if (drained && gone < truth.committed) {
      world.Violation("used tokens became available for " + name, "fold");
    }
    if (drained && account.open != Tokens(0)) {
      world.Violation("planned stops left a grant open for " + name, "fold");
    }
    if (drained && world.figures.kills == 0 &&
        (account.billed != truth.confirmed ||
         account.written_off != truth.unknown)) {
      world.Violation("billed or written off is wrong for " + name, "fold");
    }
  }
}

void BudgetRun::WatchReclaim() {
  // Only where nothing else than one kill delays it.
  if (this->figures.plan != "kill" || this->world->kills.empty()) return;
  const KillBound& kill = this->world->kills.front();
  for (const auto& [name, account] : this->world->reference.Accounts()) {
    for (const auto& [id, grant] : account.grants) {
      const bool open =
          !grant.sealed && !grant.written_off && grant.IsWitnessed();
      if (grant.holder != kill.daemon || !open) continue;
      this->unsealed_at = this->world->queue.Now();
    }
  }
}

void BudgetRun::CheckReclaim() {
  if (this->figures.plan != "kill" || this->world->kills.empty()) return;
  const KillBound& kill = this->world->kills.front();
  if (this->unsealed_at < kill.at) return;

  const Duration took = this->unsealed_at - kill.at;
  this->figures.reclaim_s = static_cast<double>(took.count()) / 1e6;
  if (took >= std::chrono::seconds(30)) {
    this->world->Violation("tokens of a dead holder are not back in 30 s",
                           kill.daemon.ToString());
  }
}

void BudgetRun::CheckStranded() {
  BudgetWorld& world = *this->world;
  const bool only_kill = this->figures.plan == "kill";

  for (const KillBound& kill : world.kills) {
    std::map<std::string, Tokens> stranded;
    for (const auto& [name, account] : world.reference.Accounts()) {
      for (const auto& [id, grant] : account.grants) {
        if (grant.written_off && grant.holder == kill.daemon) {
          stranded[name] += grant.Remainder();
        }
      }
    }
    for (const auto& [name, tokens] : stranded) {
      const auto found = kill.figures.find(name);
      const budget::EscrowFigures bound =
          found == kill.figures.end() ? budget::EscrowFigures{} : found->second;
      const Tokens step = only_kill ? bound.fine_step : bound.coarse_step;
      this->figures.stranded += tokens.count;
      if (tokens > step) {
        this->figures.stranded_above_step += (tokens - step).count;
        if (only_kill) {
          world.Violation("a killed daemon stranded " +
                              std::to_string(tokens.count) +
                              " tokens with a fine step of " +
                              std::to_string(step.count) + " for " + name,
                          kill.daemon.ToString());
        }
      }
      if (only_kill && step > Tokens(0)) {
        this->figures.stranded_of_fine_step =
            std::max(this->figures.stranded_of_fine_step,
                     static_cast<double>(tokens.count) /
                         static_cast<double>(step.count));
      }
    }
  }
}

}  // namespace fuchsiadrum::bench
