#include <utility>

#include "bench/budget_world.h"

namespace fuchsiadrum::bench {

void BudgetWorld::Kill(int index) {
  const auto daemon = this->daemons[static_cast<size_t>(index)];
  if (!daemon->alive) return;
  daemon->alive = false;
  daemon->paused = false;
  daemon->deferred.clear();
  ++this->figures.kills;
  this->Trace("kill " + daemon->Ref().ToString());
  std::erase_if(this->waiting, [&](const auto& item) {
    return item.first.first == daemon->Ref();
  });

  budget::EscrowAgent* const agent = daemon->policy->ProductAgent();
  if (agent == nullptr) return;
  KillBound bound{.daemon = daemon->Ref(), .at = this->queue.Now()};
  for (const auto& held : agent->Budgets().All()) {
    bound.figures[held->organisation] = agent->Figures(held->organisation);
    for (const auto& grant : held->grants) {
      if (grant->recorded) this->dead_use[grant->id] = grant->Used();
    }
  }
  this->kills.push_back(std::move(bound));
}

void BudgetWorld::Restart(int index) {
  if (this->At(index).alive) return;
  uint64_t& incarnation = this->incarnations[static_cast<size_t>(index)];
  auto daemon = this->MakeDaemon(index, ++incarnation);
  this->Trace("start " + daemon->Ref().ToString());

  // Half of the starts use a snapshot, the others read the whole log.
  if (this->options.policy.empty() && this->rng.Chance(0.5)) {
    for (const auto& other : this->daemons) {
      if (!other->alive || other->next_offset == 0) continue;
      daemon->LoadState(this->queue.Now(), *other);
      break;
    }
  }
  this->daemons[static_cast<size_t>(index)] = daemon;
}

void BudgetWorld::Pause(int index) {
  BudgetDaemon& daemon = this->At(index);
  if (!daemon.alive || daemon.paused) return;
  daemon.paused = true;
  this->Trace("pause " + daemon.Ref().ToString());
}

void BudgetWorld::Resume(int index, bool clock_stood_still) {
  const auto daemon = this->daemons[static_cast<size_t>(index)];
  if (!daemon->alive || !daemon->paused) return;
  daemon->paused = false;
  this->Trace("resume " + daemon->Ref().ToString());
  if (clock_stood_still) daemon->clock_offset -= std::chrono::seconds(10);

  auto deferred = std::exchange(daemon->deferred, {});
  for (const auto& action : deferred) action();
}

void BudgetWorld::BeginDrain(int index) {
  const auto daemon = this->daemons[static_cast<size_t>(index)];
  if (!daemon->alive) return;
  daemon->draining = true;
  this->Trace("drain " + daemon->Ref().ToString());
  this->In(daemon, [this, daemon] {
    daemon->policy->BeginDrain(this->LocalNow(*daemon), daemon->out);
    this->AfterCall(daemon);
  });
}

void BudgetWorld::HealAll() {
  this->Trace("heal");
  this->faults = {};
  this->network.HealAll();
  for (int i = 0; i < kDaemons; ++i) {
    this->Resume(i, false);
    this->Restart(i);
  }
}

}  // namespace fuchsiadrum::bench
