#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>

#include "daemon/asio.h"
#include "fuchsiadrum/serving/answer_fault.h"
#include "fuchsiadrum/serving/answer_framing.h"
#include "fuchsiadrum/serving/head_scanner.h"

namespace fuchsiadrum::daemon {

/// What AnswerParser has found.
enum class AnswerProgress {
  kMore,    // further bytes are needed
  kHead,    // the head is complete
  kWhole,   // head and body are complete
  kBroken,  // no whole answer can follow, see Fault
};

/// How the connection has ended on which an answer was read.
enum class AnswerEof {
  kDelivered,    // the server has taken the whole request
  kUndelivered,  // it has not, or nothing shows that it has
};

/// Parses one answer within its bounds from a buffer that the owner fills. All
/// answers are read with it: those of upstreams, of the store, of load reports.
/// Head and trailer are checked by HeadScanner, since Beast takes status codes
/// that HTTP doesn't know, joins folded lines, and leaves transfer codings
/// other than chunked to its user.
class AnswerParser {
 public:
  using Message = boost::beast::http::response<boost::beast::http::buffer_body>;

  /// Bytes of a head, of a chunk-size line, or of a trailer.
  static constexpr size_t kMaxHeadBytes = 65536;

  /// `connection_buffer` may hold bytes of the answer and of further ones.
  explicit AnswerParser(boost::beast::flat_buffer& connection_buffer);
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;

  /// Parses what the buffer holds of the head. Returns kMore, kHead or kBroken.
  AnswerProgress ParseHead();
  /// Parses what the buffer holds of the body into `piece` and sets `bytes` to
  /// the number written. Returns kMore, kWhole or kBroken; bytes may have been
  /// written with each of them.
  AnswerProgress ParseBody(asio::mutable_buffer piece, size_t& bytes);
  /// The connection has ended, and the buffer holds nothing that was not
  /// parsed. Returns kWhole or kBroken.
  AnswerProgress ParseEof(AnswerEof eof);

  /// The head, once it is complete.
  const Message& Head() const { return this->parser.get(); }
  /// True if the body is complete.
  bool IsDone() const { return this->parser.is_done(); }
  /// What marks the end of the body (RFC 9112, section 6.3). An answer with a
  /// length or chunks states its end itself, whether or not it also announces
  /// that the connection closes; Beast's message does not tell the two apart.
  serving::AnswerFraming Framing() const;
  /// True if the connection may carry another exchange (RFC 9112, section 9.3).
  bool KeepsAlive() const { return this->parser.keep_alive(); }
  /// True if bytes of the answer have arrived.
  bool HasBegun() const { return this->parser.got_some() || this->scanned > 0; }
  /// What is wrong with the bytes of the answer; kNone if it was only cut off.
  serving::AnswerFault Fault() const { return this->fault; }

 private:
  AnswerProgress Fail(serving::AnswerFault found);
  /// True if the transfer coding, if there is one, is chunks alone.
  bool HasKnownCoding() const;
  /// Returns what is wrong with the last chunk and the trailer.
  static serving::AnswerFault CheckTrailer(std::string_view last_chunk);

  boost::beast::flat_buffer& buffer;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser;
  serving::HeadScanner scanner = serving::HeadScanner::ForHead();
  /// Bytes of the buffer that the scanner has seen.
  size_t scanned = 0;
  serving::AnswerFault fault = serving::AnswerFault::kNone;
};

}  // namespace fuchsiadrum::daemon
