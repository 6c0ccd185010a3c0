#include "bench/catalogue_bench.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <numeric>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "bench/catalogue_run.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int64_t kInForceBoundMs = 3000;
constexpr size_t kShownViolations = 10;

struct MutationName {
  std::string_view name;
  log::Mutation mutation;
};

constexpr std::array<MutationName, 6> kMutations = {{
    {"", log::Mutation::kNone},
    {"reuse-sequence", log::Mutation::kReuseSequence},
    {"accept-older-revision", log::Mutation::kAcceptOlderRevision},
    {"trust-partial-snapshot", log::Mutation::kTrustPartialSnapshot},
    {"empty-log-is-empty-state", log::Mutation::kEmptyLogIsEmptyState},
    {"skip-unknown-record", log::Mutation::kSkipUnknownRecord},
}};

log::Mutation FindMutation(const std::string& name) {
  for (const MutationName& one : kMutations) {
    if (one.name == name) return one.mutation;
  }
  throw std::invalid_argument("catalogue: there is no mutation " + name);
}

/// Smallest value that at least `share` of all values do not exceed.
int64_t Quantile(std::vector<int64_t> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<size_t>(
      std::lround(share * static_cast<double>(values.size() - 1)));
  return values[rank];
}

class CatalogueBench : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& options) override {
    const log::Mutation mutation = FindMutation(options.mutate);
    std::ofstream trace;
    if (!options.trace.empty()) trace.open(options.trace);

    for (int run = 0; run < options.runs; ++run) {
      CatalogueRunOptions one{
          .seed = options.seed + static_cast<uint64_t>(run),
          .scenario = options.scenario,
          .zone_delay =
              Duration(options.deployment == "darilni-zreb" ? 500 : 1500),
          .mutation = mutation,
          .trace = {}};
      if (trace) {
        one.trace = [&](TimePoint now, const std::string& text) {
          trace << one.seed << " " << now.us / 1000 << " ms " << text << "\n";
        };
      }
      this->Add(one.seed, CatalogueRun(one).Run());
    }
    return this->Report(options);
  }

 private:
  void Add(uint64_t seed, const CatalogueRunResult& run) {
    if (!run.violations.empty()) ++this->bad_runs;
    if (run.blocked) ++this->blocked_runs;
    for (const std::string& text : run.violations) {
      if (this->shown.size() < kShownViolations) {
        this->shown.push_back("seed " + std::to_string(seed) + ": " + text);
      }
    }

    this->violations += run.violations.size();
    this->total.reverted += run.reverted;
    this->total.edits += run.edits;
    this->total.accepted += run.accepted;
    this->total.rejected += run.rejected;
    this->total.refused += run.refused;
    this->total.unlearned_while_blocked += run.unlearned_while_blocked;
    this->total.gaps_given_up += run.gaps_given_up;
    this->total.snapshots += run.snapshots;
    this->total.appends += run.appends;
    this->total.seconds += run.seconds;
    this->total.peak_appends =
        std::max(this->total.peak_appends, run.peak_appends);
    this->total.in_force_ms.insert(this->total.in_force_ms.end(),
                                   run.in_force_ms.begin(),
                                   run.in_force_ms.end());
    this->total.learned_ms.insert(this->total.learned_ms.end(),
                                  run.learned_ms.begin(), run.learned_ms.end());
  }

  nlohmann::json Report(const BenchOptions& options) {
    const int64_t in_force = Quantile(this->total.in_force_ms, 0.99);
    if (in_force > kInForceBoundMs) {
      ++this->violations;
      this->shown.push_back("changes are in force too late");
    }

    nlohmann::json out;
    out["bench"] = "catalogue";
    out["seed"] = options.seed;
    out["runs"] = options.runs;
    out["policy"] = "log-fold";
    out["violations"] = this->violations;
    out["bad_runs"] = this->bad_runs;
    out["reverted_changes"] = this->total.reverted;
    out["in_force_p99_ms"] = in_force;
    out["in_force_p50_ms"] = Quantile(this->total.in_force_ms, 0.5);
    out["verdict_p99_ms"] = Quantile(this->total.learned_ms, 0.99);
    out["appends_per_s"] =
        static_cast<double>(this->total.appends) /
        static_cast<double>(std::max<uint64_t>(1, this->total.seconds));
    out["appends_peak_per_s"] = this->total.peak_appends;
    out["edits"] = this->total.edits;
    out["accepted"] = this->total.accepted;
    out["rejected"] = this->total.rejected;
    out["refused_before_append"] = this->total.refused;
    out["snapshots"] = this->total.snapshots;
    out["gaps_given_up"] = this->total.gaps_given_up;
    out["blocked_runs"] = this->blocked_runs;
    out["unlearned_while_blocked"] = this->total.unlearned_while_blocked;
    out["first_violations"] = this->shown;
    return out;
  }

  CatalogueRunResult total;
  uint64_t violations = 0;
  uint64_t bad_runs = 0;
  uint64_t blocked_runs = 0;
  std::vector<std::string> shown;
};

}  // namespace

std::unique_ptr<BenchCase> MakeCatalogueBench() {
  return std::make_unique<CatalogueBench>();
}

}  // namespace fuchsiadrum::bench
