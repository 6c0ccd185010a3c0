#include "fuchsiadrum/core/whole_number.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace fuchsiadrum {
namespace {

struct Parsed {
  std::errc error = std::errc::invalid_argument;
  int64_t value = 0;
};

/// An error if the text is not one number from its first to its last byte.
Parsed Parse(std::string_view text) {
  Parsed parsed;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] =
      std::from_chars(text.data(), text_end, parsed.value);
  parsed.error = end == text_end ? error : std::errc::invalid_argument;
  return parsed;
}

}  // namespace

std::optional<int64_t> ParseWhole(std::string_view text,
                                  const WholeRange& range) {
  const Parsed parsed = Parse(text);
  if (parsed.error != std::errc() || !range.Contains(parsed.value)) {
    return std::nullopt;
  }
  return parsed.value;
}

std::optional<int64_t> ParseWholeClamped(std::string_view text,
                                         const WholeRange& range) {
  const bool is_negative = text.starts_with('-');
  if (is_negative && range.min >= 0) return std::nullopt;
  const Parsed parsed = Parse(text);
  if (parsed.error == std::errc::result_out_of_range) {
    return is_negative ? range.min : range.max;
  }
  if (parsed.error != std::errc()) return std::nullopt;
  return std::clamp(parsed.value, range.min, range.max);
}

std::optional<double> ParseDecimal(std::string_view text, double max) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  // The negated comparison also rejects NaN.
  if (error != std::errc() || end != text_end || !(value >= 0) ||
      std::isinf(value)) {
    return std::nullopt;
  }
  return std::min(value, max);
}

std::optional<int64_t> CheckedSum(int64_t a, int64_t b) {
  int64_t sum = 0;
  if (__builtin_add_overflow(a, b, &sum)) return std::nullopt;
  return sum;
}

int64_t SaturatedWhole(double value) {
  // The largest 64-bit numbers are no doubles; this is the next one above.
  constexpr double kAboveMax = 9223372036854775808.0;
  if (std::isnan(value)) return 0;
  if (value >= kAboveMax) return std::numeric_limits<int64_t>::max();
  if (value < -kAboveMax) return std::numeric_limits<int64_t>::min();
  return static_cast<int64_t>(value);
}

}  // namespace fuchsiadrum
