#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace fuchsiadrum::report {

/// What a service-level objective speaks of.
enum class Indicator : size_t {
  kFirstToken,     // the first token came in time
  kBetweenTokens,  // the tokens came fast enough
  kCompleteness,   // an admitted request was answered completely
  kFalseRefusals,  // no refusal for budget while tokens were left
};

inline constexpr size_t kIndicators = 4;

/// Names in the order of Indicator.
inline constexpr std::array<std::string_view, kIndicators> kIndicatorNames = {
    "first token", "between tokens", "completeness", "false refusals"};

}  // namespace fuchsiadrum::report
