#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Processor time of the limits of upstreams at 1, 10 and 100 limited
/// upstreams: nanoseconds for each permit, and for each check for due writes;
/// bytes of the records that all gateways read.
nlohmann::json MeasureLimits();

}  // namespace fuchsiadrum::bench
