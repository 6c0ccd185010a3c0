#include "fuchsiadrum/core/bounded_json.h"

namespace fuchsiadrum {
namespace {

bool IsShallow(std::string_view text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;  // the next one ends no string
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

}  // namespace

nlohmann::json ParseBoundedJson(std::string_view text) {
  if (!IsShallow(text)) return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace fuchsiadrum
