#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fuchsiadrum {

/// Deepest nesting of a document that is read from a connection. Copying and
/// writing a value take stack for each level.
constexpr size_t kMaxJsonDepth = 100;

/// Returns the parsed text; a discarded value if it is malformed or nests
/// deeper than kMaxJsonDepth.
nlohmann::json ParseBoundedJson(std::string_view text);

}  // namespace fuchsiadrum
