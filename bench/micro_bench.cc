#include "bench/micro_bench.h"

#include "bench/micro_budget.h"
#include "bench/micro_limits.h"
#include "bench/micro_membership.h"
#include "bench/micro_request.h"
#include "bench/micro_routing.h"
#include "bench/micro_state.h"

namespace fuchsiadrum::bench {
namespace {

/// Runs the measurements of all subsystems. Times depend on the machine and
/// decide nothing.
class MicroBench : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& options) override {
    return {{"bench", "micro"},
            {"seed", options.seed},
            {"violations", 0},
            {"budget", MeasureBudget()},
            {"request", MeasureRequest()},
            {"membership", MeasureMembership()},
            {"routing", MeasureRouting()},
            {"limits", MeasureLimits()},
            {"state", MeasureState()}};
  }
};

}  // namespace

std::unique_ptr<BenchCase> MakeMicroBench() {
  return std::make_unique<MicroBench>();
}

}  // namespace fuchsiadrum::bench
