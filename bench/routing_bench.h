#pragma once

#include "bench/bench_case.h"
#include "bench/routing_fleet.h"

namespace fuchsiadrum::bench {

/// Compares the routing policies on fake engines and checks leaving, ejection
/// and placement under faults.
class RoutingBench final : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& options) override;
};

/// For the table of benches.
std::unique_ptr<BenchCase> MakeRoutingBench();

}  // namespace fuchsiadrum::bench
