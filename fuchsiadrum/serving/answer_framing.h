#pragma once

#include <string_view>

namespace fuchsiadrum::serving {

/// What marks the end of an answer's body.
enum class AnswerFraming {
  kLength,      // its length, which the head names; no body counts as length 0
  kChunks,      // the last chunk
  kConnection,  // only the end of the connection, whatever has caused it
};

/// True if the answer itself states where its body ends.
constexpr bool IsFramed(AnswerFraming framing) {
  return framing != AnswerFraming::kConnection;
}

/// Returns the name of a framing as used in log lines and metrics.
std::string_view AnswerFramingName(AnswerFraming framing);

}  // namespace fuchsiadrum::serving
