#pragma once

#include <memory>

#include "bench/bench_case.h"

namespace fuchsiadrum::bench {

/// Every fault at every step, on whole nodes over fakes.
std::unique_ptr<BenchCase> MakeMatrixBench();

}  // namespace fuchsiadrum::bench
