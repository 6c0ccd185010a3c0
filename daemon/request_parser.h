#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/asio.h"

namespace fuchsiadrum::daemon {

/// Bounds of one request.
struct RequestBounds {
  /// Bytes of the head, and of a chunk-size line or trailer.
  size_t head_bytes = 16384;
  /// Fields of the head.
  size_t fields = 256;
  size_t body_bytes = 4194304;
};

/// What RequestParser::Parse has found.
enum class ParseStatus {
  kMore,     // further bytes are needed
  kHead,     // the head is complete
  kWhole,    // head and body are complete
  kRefused,  // the request is not acceptable, see Fault
};

/// Why a request is not acceptable.
enum class RequestFault {
  kNone,
  kMalformedHead,
  kMalformedBody,
  kHeadBytes,   // the head has too many bytes
  kHeadFields,  // the head has too many fields
  kBodyBytes,   // the body has too many bytes
  kLineBytes,   // a chunk-size line or the trailer has too many bytes
};

/// Parses one request within its bounds from a buffer that the owner fills.
/// Counts the bytes and the fields of the head itself: Beast compares its limit
/// with the bytes that it has not consumed, so that complete fields are never
/// counted, and it has no limit on their number.
class RequestParser {
 public:
  using Head = boost::beast::http::request<boost::beast::http::string_body>;

  /// `connection_buffer` may hold bytes of the request and of further ones.
  RequestParser(const RequestBounds& request_bounds,
                boost::beast::flat_buffer& connection_buffer);

  /// Parses what the buffer holds. Returns kHead once, then kMore or kWhole.
  ParseStatus Parse();
  const Head& Message() const { return this->parser.get(); }
  /// True if bytes of the request have arrived.
  bool HasBegun() const { return this->head_bytes > 0; }
  RequestFault Fault() const { return this->fault; }
  /// Bytes that the next read should take at most.
  size_t ReadBytes() const;
  /// Bytes of the body that have not arrived; 0 if they are not known.
  size_t MissingBytes() const;
  /// Bytes of the head.
  size_t HeadBytes() const { return this->head_bytes; }
  /// Length of the body as the head states it; nullopt: it comes in chunks.
  std::optional<uint64_t> BodyBytes() const;
  /// Memory held for the request and the buffer.
  size_t HeldBytes() const;
  /// Frees the parsed fields; they have been decoded.
  void DropFields() { this->parser.get().clear(); }
  std::string TakeBody() { return std::move(this->parser.get().body()); }

 private:
  ParseStatus ParseHead();
  ParseStatus ParseBody();
  /// Counts what has arrived of the head. Returns false if it is too large.
  bool CountHead();
  ParseStatus Refuse(RequestFault request_fault);
  ParseStatus Refuse(ErrorCode error);

  RequestBounds bounds;
  boost::beast::flat_buffer& buffer;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  RequestFault fault = RequestFault::kNone;
  /// Bytes of the buffer that CountHead has seen.
  size_t counted = 0;
  size_t head_bytes = 0;
  size_t head_lines = 0;
  /// Bytes of the head's last line, which has not ended.
  size_t line_bytes = 0;
  bool head_ended = false;
};

}  // namespace fuchsiadrum::daemon
