#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Nanoseconds of a routing decision (Choose) and of its feedback at 30, 1,000
/// and 10,000 upstreams, and bytes for each upstream and prefix.
nlohmann::json MeasureRouting();

}  // namespace fuchsiadrum::bench
