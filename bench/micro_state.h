#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Measures the folded state at the target size (6,000 organisations, 11,000
/// budgets, 10,000 upstreams): fold rate on one core, start from a snapshot
/// and memory. Uses the wall clock and the heap statistics of this process.
nlohmann::json MeasureState();

}  // namespace fuchsiadrum::bench
