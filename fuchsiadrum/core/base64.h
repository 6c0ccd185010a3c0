#pragma once

#include <optional>
#include <string>

namespace fuchsiadrum {

/// Base64 text with padding.
std::string ToBase64(const std::string& bytes);

/// Bytes of a base64 text with padding; nullopt if it is malformed.
std::optional<std::string> FromBase64(const std::string& text);

}  // namespace fuchsiadrum
