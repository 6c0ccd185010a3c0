#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace fuchsiadrum::gateway {

/// A bound on what is read of an answer.
enum class AnswerLimit {
  kNone,     // no bound was exceeded
  kHead,     // head, chunk-size line or trailer
  kBody,     // body that is read whole
  kEvent,    // one event of a stream
  kAnswers,  // answers that are not the one to the request
  kMemory,   // memory for the bodies of all requests and answers
};

namespace detail {
inline constexpr std::array<std::string_view, 6> kAnswerLimitNames = {
    "none", "head", "body", "event", "answers", "memory"};
}  // namespace detail

/// Name for log lines and metrics.
constexpr std::string_view AnswerLimitName(AnswerLimit limit) {
  return detail::kAnswerLimitNames[static_cast<size_t>(limit)];
}

}  // namespace fuchsiadrum::gateway
