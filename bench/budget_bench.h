#pragma once

#include <memory>

#include "bench/bench_case.h"

namespace fuchsiadrum::bench {

/// The bench `budget`: nine daemons on a fake log, network and upstream, an
/// omniscient ledger, five scenarios, three baselines and mutations.
std::unique_ptr<BenchCase> MakeBudgetBench();

}  // namespace fuchsiadrum::bench
