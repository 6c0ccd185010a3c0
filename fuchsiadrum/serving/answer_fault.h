#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace fuchsiadrum::serving {

/// Why bytes that came from a server are no whole answer. Sections are those of
/// RFC 9112 unless another is named.
enum class AnswerFault {
  kNone,
  kStatusLine,   // no status line of HTTP/1.0 or HTTP/1.1 (4)
  kStatusCode,   // a status code below 100 or above 599 (RFC 9110, 15)
  kFieldName,    // the name of a field is no token (5.1)
  kFieldValue,   // the value of a field has a control character
  kFoldedLine,   // the value of a field goes on in the next line (5.2)
  kLineEnd,      // a carriage return without a line feed (2.2)
  kFraming,      // length and transfer coding don't tell one end (6.1, 6.3)
  kChunk,        // a chunk or its size line is malformed (7.1)
  kTooLong,      // a head, a chunk-size line or a trailer exceeds its bound
  kUndelivered,  // only the end of the connection ends the answer, and it came
                 // before the server had taken the request (8)
};

namespace detail {
inline constexpr std::array<std::string_view, 11> kAnswerFaultNames = {
    "none",        "status-line", "status-code", "field-name",
    "field-value", "folded-line", "line-end",    "framing",
    "chunk",       "too-long",    "undelivered"};
}  // namespace detail

/// Name for log lines and metrics.
constexpr std::string_view AnswerFaultName(AnswerFault fault) {
  return detail::kAnswerFaultNames[static_cast<size_t>(fault)];
}

}  // namespace fuchsiadrum::serving
