#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum {

/// Returns a JSON value as a whole number; nullopt if it is not a number, has a
/// fraction or lies outside the range. Casting such a number is undefined.
std::optional<int64_t> WholeNumber(const nlohmann::json& value,
                                   const WholeRange& range = {});

/// Returns a JSON number as the nearest whole number of the range; nullopt if
/// the value is not a number.
std::optional<int64_t> ClampedNumber(const nlohmann::json& value,
                                     const WholeRange& range);

}  // namespace fuchsiadrum
