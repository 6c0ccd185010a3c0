#include "bench/routing_bench.h"

#include <algorithm>
#include <iostream>
#include <map>

#include "bench/routing_placement.h"

namespace fuchsiadrum::bench {
namespace {

/// Sums of the runs of one policy.
struct PolicyFigures {
  std::vector<double> ttft_ms;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  double new_work_after_leave_max_s = 0;
  double busy_share = 0;
  int refused = 0;
  int failed = 0;
  int retries = 0;
  int arrivals = 0;
  std::map<std::string, int> violations;

  void Add(const FleetFigures& run) {
    this->ttft_ms.insert(this->ttft_ms.end(), run.ttft_ms.begin(),
                         run.ttft_ms.end());
    this->prompt_tokens += run.prompt_tokens;
    this->cached_tokens += run.cached_tokens;
    this->new_work_after_leave_max_s = std::max(
        this->new_work_after_leave_max_s, run.new_work_after_leave_max_s);
    this->busy_share += run.busy_share;
    this->refused += run.refused;
    this->failed += run.failed;
    this->retries += run.retries;
    this->arrivals += run.arrivals;
    for (const std::string& text : run.violations) ++this->violations[text];
  }

  double Quantile(double ratio) {
    if (this->ttft_ms.empty()) return 0;
    const auto place = static_cast<size_t>(
        ratio * static_cast<double>(this->ttft_ms.size() - 1));
    const auto at = this->ttft_ms.begin() + static_cast<int64_t>(place);
    std::nth_element(this->ttft_ms.begin(), at, this->ttft_ms.end());
    return *at;
  }
  double HitRatio() const {
    return this->prompt_tokens == 0
               ? 0
               : static_cast<double>(this->cached_tokens) /
                     static_cast<double>(this->prompt_tokens);
  }
  nlohmann::json ToJson(int runs) {
    return {{"ttft_p50_ms", this->Quantile(0.5)},
            {"ttft_p95_ms", this->Quantile(0.95)},
            {"ttft_p99_ms", this->Quantile(0.99)},
            {"prefix_hit_ratio", this->HitRatio()},
            {"busy_share", this->busy_share / runs},
            {"arrivals", this->arrivals},
            {"refused", this->refused},
            {"failed", this->failed},
            {"retries", this->retries},
            {"new_work_after_leave_max_s", this->new_work_after_leave_max_s},
            {"violations", this->violations}};
  }
};

PolicyFigures RunPolicy(const BenchOptions& options,
                        const std::string& policy) {
  PolicyFigures figures;
  for (int run = 0; run < options.runs; ++run) {
    FleetRun fleet({.deployment = options.deployment,
                    .scenario = options.scenario,
                    .policy = policy,
                    .mutate = options.mutate,
                    .seed = options.seed + static_cast<uint64_t>(run)});
    figures.Add(fleet.Run());
  }
  return figures;
}

/// Runs the placement agents and adds their figures; returns the violations.
int RunPlacement(const BenchOptions& options, nlohmann::json& out) {
  std::map<std::string, int> violations;
  int all = 0;
  int orders = 0;
  int loads = 0;
  for (int run = 0; run < options.runs; ++run) {
    PlacementRun placement(options.seed + static_cast<uint64_t>(run),
                           options.mutate);
    const PlacementFigures figures = placement.Run();
    orders += figures.orders;
    loads += figures.loads;
    for (const std::string& text : figures.violations) ++violations[text];
    all += static_cast<int>(figures.violations.size());
  }
  out["placement"] = {
      {"orders", orders}, {"loads", loads}, {"violations", violations}};
  return all;
}

}  // namespace

nlohmann::json RoutingBench::Run(const BenchOptions& options) {
  const std::string main = options.policy.empty() ? "cost" : options.policy;
  std::vector<std::string> policies = {main};
  if (options.policy.empty() && options.mutate.empty()) {
    policies = {"cost",     "random",     "round-robin",      "least-reported",
                "affinity", "omniscient", "omniscient-greedy"};
  }

  nlohmann::json out = {{"bench", "routing"},
                        {"seed", options.seed},
                        {"runs", options.runs},
                        {"policy", main},
                        {"deployment", options.deployment},
                        {"scenario", options.scenario}};
  int violations = 0;
  for (const std::string& policy : policies) {
    PolicyFigures figures = RunPolicy(options, policy);
    out["policies"][policy] = figures.ToJson(options.runs);
    // Baselines and the omniscient scheduler show theirs below `policies`.
    if (policy != main) continue;
    for (const auto& [text, count] : figures.violations) violations += count;
  }
  if (options.scenario == "mixed") violations += RunPlacement(options, out);
  const nlohmann::json& chosen = out["policies"][main];
  for (const char* key :
       {"ttft_p95_ms", "prefix_hit_ratio", "new_work_after_leave_max_s"}) {
    out[key] = chosen[key];
  }
  if (out["policies"].contains("omniscient")) {
    out["omniscient_ttft_p95_ms"] =
        out["policies"]["omniscient"]["ttft_p95_ms"];
  }
  out["violations"] = violations;
  return out;
}

std::unique_ptr<BenchCase> MakeRoutingBench() {
  return std::make_unique<RoutingBench>();
}

}  // namespace fuchsiadrum::bench
