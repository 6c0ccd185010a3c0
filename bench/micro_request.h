#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Costs of the request parts: nanoseconds and bytes for one claim, memory for
/// each intent, cost of admission by number of organisations.
nlohmann::json MeasureRequest();

}  // namespace fuchsiadrum::bench
