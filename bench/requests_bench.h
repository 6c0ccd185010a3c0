#pragma once

#include <memory>

#include "bench/bench_case.h"

namespace fuchsiadrum::bench {

/// Bench `requests`: claims, admission and retries of nine daemons under
/// faults, compared with what the upstreams really ran.
std::unique_ptr<BenchCase> MakeRequestsBench();

}  // namespace fuchsiadrum::bench
