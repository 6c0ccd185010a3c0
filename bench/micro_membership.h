#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Heartbeat traffic and tick time of one daemon by the size of the fleet.
nlohmann::json MeasureMembership();

}  // namespace fuchsiadrum::bench
