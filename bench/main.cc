#include <CLI/CLI.hpp>
#include <iostream>

#include "bench/bench_case.h"
#include "bench/budget_bench.h"
#include "bench/catalogue_bench.h"
#include "bench/matrix_bench.h"
#include "bench/micro_bench.h"
#include "bench/requests_bench.h"
#include "bench/routing_bench.h"
#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench {
namespace {

BenchTable AllBenches() {
  BenchTable table;
  table["budget"] = MakeBudgetBench;
  table["catalogue"] = MakeCatalogueBench;
  table["matrix"] = MakeMatrixBench;
  table["micro"] = MakeMicroBench;
  table["requests"] = MakeRequestsBench;
  table["routing"] = MakeRoutingBench;
  return table;
}

int Main(int argc, char** argv) {
  CLI::App app("Measures the decision core of fuchsiadrum.");
  BenchOptions options;
  std::string name;
  app.add_option("bench", name, "which measurement")->required();
  app.add_option("--seed", options.seed);
  app.add_option("--runs", options.runs);
  app.add_option("--policy", options.policy);
  app.add_option("--deployment", options.deployment)
      ->check(CLI::IsMember({"coral-andina", "darilni-zreb"}));
  app.add_option("--scenario", options.scenario)
      ->check(CLI::IsMember(
          {"mixed", "healthy", "zone-cut-1h", "log-down-1h", "drain-to-zero"}));
  app.add_option("--mutate", options.mutate, "break one rule on purpose");
  app.add_option("--trace", options.trace, "file for the events of a run");
  app.add_flag("--json", options.json);
  CLI11_PARSE(app, argc, argv);

  SetAssertHandler(ThrowOnAssert);
  const BenchTable benches = AllBenches();
  const auto found = benches.find(name);
  if (found == benches.end()) {
    std::cerr << "bench: there is no bench " << name << "\n";
    return 2;
  }
  const nlohmann::json result = found->second()->Run(options);
  std::cout << (options.json ? result.dump() : result.dump(2)) << "\n";
  return result.value("violations", 1) == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fuchsiadrum::bench

int main(int argc, char** argv) { return fuchsiadrum::bench::Main(argc, argv); }
