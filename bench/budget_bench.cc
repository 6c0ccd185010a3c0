#include "bench/budget_bench.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "bench/budget_run.h"

namespace fuchsiadrum::bench {
namespace {

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// Sums of all runs; times and shares are the worst of them.
struct BudgetTotals {
  WorldFigures world;
  BudgetRunFigures run;
  int violating_runs = 0;
  int first_violating_run = -1;

  void Add(const BudgetRunFigures& one) {
    this->world.violations += one.world.violations;
    this->world.overspend =
        std::max(this->world.overspend, one.world.overspend);
    this->world.double_bills += one.world.double_bills;
    this->world.requests += one.world.requests;
    this->world.refusals += one.world.refusals;
    this->world.false_refusals += one.world.false_refusals;
    this->world.capped += one.world.capped;
    this->world.overrun_calls += one.world.overrun_calls;
    this->world.unknown_calls += one.world.unknown_calls;
    this->world.kills += one.world.kills;

    BudgetRunFigures& sum = this->run;
    sum.stranded += one.stranded;
    sum.stranded_above_step += one.stranded_above_step;
    sum.stranded_of_fine_step =
        std::max(sum.stranded_of_fine_step, one.stranded_of_fine_step);
    sum.reclaim_s = std::max(sum.reclaim_s, one.reclaim_s);
    sum.top_up_s = std::max(sum.top_up_s, one.top_up_s);
    if (one.usable_share >= 0) {
      sum.usable_share = sum.usable_share < 0
                             ? one.usable_share
                             : std::min(sum.usable_share, one.usable_share);
    }
    sum.message_bytes_per_s =
        std::max(sum.message_bytes_per_s, one.message_bytes_per_s);
    sum.append_bytes_per_s =
        std::max(sum.append_bytes_per_s, one.append_bytes_per_s);
    sum.requests_cut_zone += one.requests_cut_zone;
    sum.false_refusals_cut_zone += one.false_refusals_cut_zone;
    sum.requests_elsewhere += one.requests_elsewhere;
    sum.false_refusals_elsewhere += one.false_refusals_elsewhere;
  }
};

class BudgetBench : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& options) override {
    if (!options.mutate.empty() && !budget::MutationByName(options.mutate)) {
      std::cerr << "bench: there is no mutation " << options.mutate << "\n";
      return {{"bench", "budget"}, {"violations", 1}};
    }

    BudgetTotals totals;
    for (int i = 0; i < options.runs; ++i) {
      const uint64_t seed = options.seed + static_cast<uint64_t>(i);
      const bool keep = !options.trace.empty() && i == 0;
      BudgetRun run(options, seed, seed, keep);
      const BudgetRunFigures one = run.Run();
      totals.Add(one);
      if (keep) std::ofstream(options.trace) << one.trace;
      if (one.world.violations == 0) continue;

      ++totals.violating_runs;
      if (totals.first_violating_run < 0) {
        totals.first_violating_run = i;
        this->Report(options, seed);
      }
      // A mutation is found; a fault of the product is reported once.
      if (options.policy.empty()) break;
    }
    return this->ToJson(options, totals);
  }

 private:
  /// Repeats the run with all events and prints the last ones.
  void Report(const BenchOptions& options, uint64_t seed) {
    BudgetRun run(options, seed, seed, true);
    const BudgetRunFigures one = run.Run();
    std::cerr << "budget: violation with seed " << seed << ", faults "
              << one.plan << "\n";
    std::istringstream trace(one.trace);
    for (std::string line; std::getline(trace, line);) {
      if (line.find(" violation at ") == std::string::npos) continue;
      std::cerr << "  " << line << "\n";
      break;
    }
    std::cerr << "last events:\n";
    for (const std::string& event : one.last_events) {
      std::cerr << "  " << event << "\n";
    }
    std::cerr << "repeat: fuchsiadrum-bench budget --runs 1 --seed " << seed
              << " --scenario " << options.scenario << " --deployment "
              << options.deployment
              << (options.policy.empty() ? "" : " --policy " + options.policy)
              << (options.mutate.empty() ? "" : " --mutate " + options.mutate)
              << " --trace budget.trace\n";
  }

  static nlohmann::json ToJson(const BenchOptions& options,
                               const BudgetTotals& totals) {
    const BudgetRunFigures& run = totals.run;
    nlohmann::json out = {
        {"bench", "budget"},
        {"scenario", options.scenario},
        {"deployment", options.deployment},
        {"seed", options.seed},
        {"runs", options.runs},
        {"policy", options.policy.empty() ? "escrow" : options.policy},
        {"violations", totals.world.violations},
        {"violating_runs", totals.violating_runs},
        {"overspend_tokens", totals.world.overspend},
        {"double_bills", totals.world.double_bills},
        {"requests", totals.world.requests},
        {"refusals", totals.world.refusals},
        {"false_refusals", totals.world.false_refusals},
        {"false_refusal_ratio",
         Ratio(totals.world.false_refusals, totals.world.requests)},
        {"capped", totals.world.capped},
        {"overrun_calls", totals.world.overrun_calls},
        {"unknown_calls", totals.world.unknown_calls},
        {"kills", totals.world.kills},
        {"stranded_tokens", run.stranded},
        {"stranded_above_step_tokens", run.stranded_above_step}};
    if (!options.mutate.empty()) {
      out["mutate"] = options.mutate;
      out["found_in_run"] = totals.first_violating_run + 1;
    }
    AddIfMeasured(out, "stranded_of_fine_step", run.stranded_of_fine_step);
    AddIfMeasured(out, "reclaim_s", run.reclaim_s);
    AddIfMeasured(out, "top_up_s", run.top_up_s);
    AddIfMeasured(out, "usable_share_of_last_5_percent", run.usable_share);
    if (run.message_bytes_per_s > 0 || run.append_bytes_per_s > 0) {
      out["message_bytes_per_s"] = run.message_bytes_per_s;
      out["append_bytes_per_s"] = run.append_bytes_per_s;
    }
    if (run.requests_cut_zone > 0) {
      out["false_refusal_ratio_cut_zone"] =
          Ratio(run.false_refusals_cut_zone, run.requests_cut_zone);
      out["false_refusal_ratio_elsewhere"] =
          Ratio(run.false_refusals_elsewhere, run.requests_elsewhere);
    }
    return out;
  }

  static void AddIfMeasured(nlohmann::json& out, const char* name,
                            double value) {
    if (value >= 0) out[name] = value;
  }
};

}  // namespace

std::unique_ptr<BenchCase> MakeBudgetBench() {
  return std::make_unique<BudgetBench>();
}

}  // namespace fuchsiadrum::bench
