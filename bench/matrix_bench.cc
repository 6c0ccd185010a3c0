#include "bench/matrix_bench.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/fleet/fleet_run.h"

namespace fuchsiadrum::bench {
namespace {

/// One cell of the matrix: a step, one or two faults, and its seed.
struct Cell {
  std::string step;
  std::vector<Fault> faults;
  uint64_t seed = 0;
  FleetRunResult result;
};

std::string NameOf(const std::vector<Fault>& faults) {
  std::string out;
  for (const Fault fault : faults) {
    out += (out.empty() ? "" : "+") + std::string(FaultName(fault));
  }
  return out;
}

/// Runs cells on all cores; each is deterministic by its own seed.
class MatrixBench : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& bench_options) override {
    this->options = bench_options;
    std::vector<Cell> cells = this->MakeCells();
    this->RunAll(cells);
    if (!this->options.json) this->PrintTable(cells);
    return this->Sum(cells);
  }

 private:
  /// `runs` 1 gives every fault at every step once; each further run adds the
  /// same number of random pairs.
  std::vector<Cell> MakeCells() const {
    std::vector<Cell> cells;
    Rng rng(this->options.seed);
    for (size_t f = 0; f < kFaultCount; ++f) {
      for (const std::string& step : FleetSteps()) {
        cells.push_back({.step = step,
                         .faults = {static_cast<Fault>(f)},
                         .seed = rng.Next()});
      }
    }
    const size_t single = cells.size();
    for (size_t i = 0; i + 1 < static_cast<size_t>(this->options.runs) &&
                       i < this->kMaxPairRounds;
         ++i) {
      for (size_t n = 0; n < single; ++n) {
        const auto& steps = FleetSteps();
        cells.push_back({.step = steps[rng.Below(steps.size())],
                         .faults = {static_cast<Fault>(rng.Below(kFaultCount)),
                                    static_cast<Fault>(rng.Below(kFaultCount))},
                         .seed = rng.Next()});
      }
    }
    return cells;
  }

  void RunAll(std::vector<Cell>& cells) const {
    std::atomic<size_t> next = 0;
    const auto work = [&] {
      for (size_t i = next++; i < cells.size(); i = next++) {
        cells[i].result = RunFleet({.seed = cells[i].seed,
                                    .preset = this->options.deployment,
                                    .zone_delay = this->ZoneDelay(),
                                    .step = cells[i].step,
                                    .faults = cells[i].faults});
      }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < kThreads; ++i) threads.emplace_back(work);
    for (std::thread& thread : threads) thread.join();
  }

  Duration ZoneDelay() const {
    return Duration(this->options.deployment == "darilni-zreb" ? 500 : 1500);
  }

  void PrintTable(const std::vector<Cell>& cells) const {
    std::cout << "| fault |";
    for (const std::string& step : FleetSteps()) {
      std::cout << " " << step << " |";
    }
    std::cout << "\n| --- |";
    for (size_t i = 0; i < FleetSteps().size(); ++i) std::cout << " --- |";
    for (size_t i = 0; i < kFaultCount * FleetSteps().size(); ++i) {
      const Cell& cell = cells[i];
      if (i % FleetSteps().size() == 0) {
        std::cout << "\n| " << NameOf(cell.faults) << " |";
      }
      std::cout << " "
                << (!cell.result.violations.empty() ? "FAILED"
                    : cell.result.step_reached      ? "held"
                                                    : "not reached")
                << " |";
    }
    std::cout << "\n";
  }

  nlohmann::json Sum(const std::vector<Cell>& cells) const {
    int64_t violations = 0;
    int64_t reached = 0;
    CallerFindings total;
    nlohmann::json failures = nlohmann::json::array();
    for (const Cell& cell : cells) {
      violations += static_cast<int64_t>(cell.result.violations.size());
      reached += cell.result.step_reached ? 1 : 0;
      const CallerFindings& c = cell.result.calls;
      total.calls += c.calls;
      total.replies += c.replies;
      total.complete += c.complete;
      total.unknown += c.unknown;
      total.double_runs += c.double_runs;
      total.false_not_run += c.false_not_run;
      total.mixed_up += c.mixed_up;
      if (!cell.result.violations.empty() && failures.size() < kShownFailures) {
        failures.push_back(
            {{"fault", NameOf(cell.faults)},
             {"step", cell.step},
             {"seed", cell.seed},
             {"violations", cell.result.violations},
             {"trace", this->options.json
                           ? nlohmann::json()
                           : nlohmann::json(cell.result.trace)}});
      }
    }
    const double replies =
        static_cast<double>(std::max<int64_t>(1, total.replies));
    return {{"bench", "matrix"},
            {"seed", this->options.seed},
            {"runs", this->options.runs},
            {"cells", cells.size()},
            {"cells_reached", reached},
            {"violations", violations},
            {"calls", total.calls},
            {"complete", total.complete},
            {"unknown_ratio", static_cast<double>(total.unknown) / replies},
            {"double_runs", total.double_runs},
            {"false_not_run", total.false_not_run},
            {"mixed_up", total.mixed_up},
            {"failures", failures}};
  }

  static constexpr unsigned kThreads = 8;
  static constexpr size_t kMaxPairRounds = 50;
  static constexpr size_t kShownFailures = 20;
  BenchOptions options;
};

}  // namespace

std::unique_ptr<BenchCase> MakeMatrixBench() {
  return std::make_unique<MatrixBench>();
}

}  // namespace fuchsiadrum::bench
