#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "bench/budget_demand.h"
#include "bench/budget_world.h"

namespace fuchsiadrum::bench {

/// Figures of one run besides those that the world counts.
struct BudgetRunFigures {
  WorldFigures world;
  std::string plan;
  std::vector<std::string> last_events;
  std::string trace;
  /// Tokens written off because of lost daemons, and the part of these that
  /// was above the steps.
  int64_t stranded = 0;
  int64_t stranded_above_step = 0;
  /// Largest share of its fine step that a killed daemon stranded, in runs with
  /// one kill and no other fault; -1: no such run.
  double stranded_of_fine_step = -1;
  /// Seconds from a kill to its last seal, same runs; -1: none.
  double reclaim_s = -1;
  /// Longest time from a top-up to the next reservation; -1: not measured.
  double top_up_s = -1;
  /// Smallest usable share of the last 5% of a budget; -1: not measured.
  double usable_share = -1;
  double message_bytes_per_s = 0;
  double append_bytes_per_s = 0;
  int64_t requests_cut_zone = 0;
  int64_t false_refusals_cut_zone = 0;
  int64_t requests_elsewhere = 0;
  int64_t false_refusals_elsewhere = 0;
};

/// One run of one scenario with one seed.
class BudgetRun {
 public:
  BudgetRun(const BenchOptions& options, uint64_t seed, uint64_t number,
            bool keep_trace);

  BudgetRunFigures Run();

 private:
  void RunMixed();
  void RunHealthy();
  void RunZoneCut();
  void RunLogDown();
  void RunDrainToZero();
  void MakeDemand(std::vector<OrganisationDemand> demands);
  std::vector<OrganisationDemand> TenOrganisations() const;
  void TopUpFor(Duration horizon);
  /// Runs on in steps with the checks that hold always; false after a
  /// violation.
  bool Advance(Duration span);
  /// Heals, waits and checks that every token is accounted for.
  void CheckAfterHealing();
  /// Waits until every daemon has read the whole log.
  bool AwaitReaders();
  void CheckAccounts();
  void CheckOpenGrants();
  void CheckBilling(bool drained);
  void CheckStranded();
  void CheckReclaim();
  /// Notes when the last grant of a killed daemon was sealed.
  void WatchReclaim();
  void CountBytes(Duration span);
  bool IsProduct() const { return this->options.policy.empty(); }

  const BenchOptions& options;
  uint64_t seed;
  uint64_t number;
  BudgetRunFigures figures;
  std::unique_ptr<BudgetWorld> world;
  std::unique_ptr<BudgetDemand> demand;
  TimePoint trimmed;
  /// Last moment at which a killed daemon still had an unsealed grant.
  TimePoint unsealed_at;
};

}  // namespace fuchsiadrum::bench
