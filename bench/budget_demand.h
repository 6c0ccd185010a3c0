#pragma once

#include <string>
#include <vector>

#include "bench/budget_world.h"

namespace fuchsiadrum::bench {

/// Demand of one organisation.
struct OrganisationDemand {
  std::string name;
  /// Requests/s over the fleet.
  double rate = 1;
  /// Bounds of a request's worst case.
  Tokens smallest{200};
  Tokens largest{2000};
  /// Mean use as a share of the worst case.
  double mean_use = 0.6;

  /// Expected spend, tokens/s.
  double TokensPerSecond() const {
    const double mean =
        static_cast<double>(this->smallest.count + this->largest.count) / 2;
    return this->rate * mean * this->mean_use;
  }
};

/// Generates requests: Poisson arrivals by organisation, zones by weight.
class BudgetDemand {
 public:
  BudgetDemand(BudgetWorld& world, std::vector<OrganisationDemand> demands,
               Rng rng)
      : world(world), demands(std::move(demands)), rng(rng) {}

  /// Starts the arrivals; they go on until Stop.
  void Start();
  void Stop() { this->stopped = true; }
  const std::vector<OrganisationDemand>& Demands() const {
    return this->demands;
  }

  /// Share of the requests that come in through each zone.
  std::vector<double> zone_weights = {1, 1, 1};

 private:
  void Next(size_t organisation);
  std::string PickZone();

  BudgetWorld& world;
  std::vector<OrganisationDemand> demands;
  Rng rng;
  bool stopped = false;
};

}  // namespace fuchsiadrum::bench
