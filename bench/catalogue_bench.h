#pragma once

#include <memory>

#include "bench/bench_case.h"

namespace fuchsiadrum::bench {

/// Bench of the log, the catalogue and the membership under faults. Rules that
/// --mutate breaks: reuse-sequence, accept-older-revision,
/// trust-partial-snapshot, empty-log-is-empty-state, skip-unknown-record.
std::unique_ptr<BenchCase> MakeCatalogueBench();

}  // namespace fuchsiadrum::bench
