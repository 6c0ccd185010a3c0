#pragma once

#include <memory>

#include "bench/bench_case.h"

namespace fuchsiadrum::bench {

/// Nanoseconds and bytes of each decision, and their slopes.
std::unique_ptr<BenchCase> MakeMicroBench();

}  // namespace fuchsiadrum::bench
