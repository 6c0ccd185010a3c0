#include "bench/budget_demand.h"

#include <algorithm>

namespace fuchsiadrum::bench {

void BudgetDemand::Start() {
  // The first top-ups have to be read before the first request.
  this->world.queue.After(std::chrono::seconds(1), [this] {
    for (size_t i = 0; i < this->demands.size(); ++i) this->Next(i);
  });
}

void BudgetDemand::Next(size_t organisation) {
  const double gap =
      this->rng.Exponential(1e6 / this->demands[organisation].rate);
  this->world.queue.After(
      Duration(static_cast<int64_t>(gap)), [this, organisation] {
        if (this->stopped) return;
        const OrganisationDemand& demand = this->demands[organisation];
        const int64_t worst =
            this->rng.Between(demand.smallest.count, demand.largest.count);
        const double share = demand.mean_use + (this->rng.Unit() - 0.5) * 0.6;
        const Tokens used(std::max<int64_t>(
            1, static_cast<int64_t>(static_cast<double>(worst) * share)));
        const bool may_cap = this->rng.Chance(this->world.options.may_cap);
        const Tokens minimum(may_cap ? std::max<int64_t>(1, worst / 3) : worst);
        const Duration run_time(static_cast<int64_t>(
            std::min(2e5 + this->rng.Exponential(8e5), 8e6)));
        this->world.Request(demand.name, this->PickZone(), Tokens(worst),
                            minimum, used, run_time);
        this->Next(organisation);
      });
}

std::string BudgetDemand::PickZone() {
  double total = 0;
  for (const double weight : this->zone_weights) total += weight;
  double point = this->rng.Unit() * total;
  for (size_t i = 0; i + 1 < this->zone_weights.size(); ++i) {
    if (point < this->zone_weights[i]) return kZones[i];
    point -= this->zone_weights[i];
  }
  return kZones.back();
}

}  // namespace fuchsiadrum::bench
