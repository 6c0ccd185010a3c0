#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace fuchsiadrum {

/// Range of a whole number, both ends included.
struct WholeRange {
  int64_t min = 0;
  int64_t max = std::numeric_limits<int64_t>::max();

  constexpr bool Contains(int64_t number) const {
    return number >= this->min && number <= this->max;
  }
};

/// Ranges of numbers that other processes state, far above any that is meant.
/// Sums of as many as one process ever holds, and their products with a count
/// of events, fit into 64 bits.
namespace ranges {

/// Tokens of one request, or of one part of its prompt.
inline constexpr WholeRange kRequestTokens = {.max = 1'000'000'000'000};
/// Tokens of one budget, or of one holder's grant of it.
inline constexpr WholeRange kBudgetTokens = {.max = 1'000'000'000'000'000};
/// Tokens of all grants of one budget.
inline constexpr WholeRange kFleetTokens = {.max = 1'000'000'000'000'000'000};
inline constexpr WholeRange kMilliseconds = {.max = 1'000'000'000};
/// Numbers of a stream's events; each has a successor.
inline constexpr WholeRange kEventNumber = {
    .max = std::numeric_limits<int64_t>::max() - 1};

}  // namespace ranges

/// Returns the number that the text spells with decimal digits, after a minus
/// sign if it is negative; nullopt if the text has anything else or the number
/// is out of the range.
std::optional<int64_t> ParseWhole(std::string_view text,
                                  const WholeRange& range);

/// The same, but a number out of the range, of any length, is replaced by the
/// nearest one in it. Negative numbers are refused if the range has none.
std::optional<int64_t> ParseWholeClamped(std::string_view text,
                                         const WholeRange& range);

/// Returns the decimal number that the text spells, at most `max`; nullopt if
/// it spells none, a negative or an infinite one.
std::optional<double> ParseDecimal(std::string_view text, double max);

/// Returns the sum; nullopt if it does not fit into 64 bits.
std::optional<int64_t> CheckedSum(int64_t a, int64_t b);

/// Returns the whole part of the value, or the nearest 64-bit number; 0 for
/// NaN.
int64_t SaturatedWhole(double value);

}  // namespace fuchsiadrum
