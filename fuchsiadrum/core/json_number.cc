#include "fuchsiadrum/core/json_number.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fuchsiadrum {
namespace {

/// Whole numbers up to this size are exact in a double.
constexpr double kMaxExact = 9007199254740992.0;

}  // namespace

std::optional<int64_t> WholeNumber(const nlohmann::json& value,
                                   const WholeRange& range) {
  std::optional<int64_t> number;
  if (value.is_number_unsigned()) {
    const auto whole = value.get<uint64_t>();
    if (whole <= uint64_t{std::numeric_limits<int64_t>::max()}) {
      number = static_cast<int64_t>(whole);
    }
  } else if (value.is_number_integer()) {
    number = value.get<int64_t>();
  } else if (value.is_number_float()) {
    const auto real = value.get<double>();
    if (std::abs(real) <= kMaxExact && std::trunc(real) == real) {
      number = static_cast<int64_t>(real);
    }
  }
  if (!number || !range.Contains(*number)) return std::nullopt;
  return number;
}

std::optional<int64_t> ClampedNumber(const nlohmann::json& value,
                                     const WholeRange& range) {
  if (!value.is_number()) return std::nullopt;
  if (const auto exact = WholeNumber(value, range)) return exact;
  const auto real = value.get<double>();
  if (!(real > static_cast<double>(range.min))) return range.min;
  if (real >= static_cast<double>(range.max)) return range.max;
  return std::clamp(static_cast<int64_t>(real), range.min, range.max);
}

}  // namespace fuchsiadrum
