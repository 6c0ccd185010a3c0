#include "daemon/answer_parser.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace fuchsiadrum::daemon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using serving::AnswerFault;

constexpr std::string_view kLineEnd = "\r\n";

/// What Beast reports of bytes that are no answer; other errors are those of a
/// chunk.
constexpr std::array<std::pair<http::error, AnswerFault>, 9> kFaults = {{
    {http::error::bad_version, AnswerFault::kStatusLine},
    {http::error::bad_reason, AnswerFault::kStatusLine},
    {http::error::bad_status, AnswerFault::kStatusCode},
    {http::error::bad_field, AnswerFault::kFieldName},
    {http::error::bad_value, AnswerFault::kFieldValue},
    {http::error::bad_line_ending, AnswerFault::kLineEnd},
    {http::error::bad_content_length, AnswerFault::kFraming},
    {http::error::bad_transfer_encoding, AnswerFault::kFraming},
    {http::error::body_limit, AnswerFault::kFraming},
}};

AnswerFault FaultOf(ErrorCode error) {
  for (const auto& [known, fault] : kFaults) {
    if (error == known) return fault;
  }
  return AnswerFault::kChunk;
}

/// Beast takes any byte in a quoted value of a chunk extension.
void CheckExtensions(uint64_t /*size*/, beast::string_view extensions,
                     ErrorCode& error) {
  const bool has_control =
      std::ranges::any_of(extensions, [](unsigned char byte) {
        constexpr unsigned char kDelete = 0x7f;
        return (byte < ' ' && byte != '\t') || byte == kDelete;
      });
  if (has_control) error = http::error::bad_chunk_extension;
}

std::string_view Text(const beast::flat_buffer& buffer) {
  const auto data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace

AnswerParser::AnswerParser(beast::flat_buffer& connection_buffer)
    : buffer(connection_buffer) {
  // The whole head is handed over at once; its bound is that of ParseHead.
  this->parser.header_limit(std::numeric_limits<uint32_t>::max());
  // If no limit is set, Beast 1.74 refuses every body with a length. The
  // readers of the body bound it themselves.
  this->parser.body_limit(std::numeric_limits<uint64_t>::max());
  this->parser.on_chunk_header(CheckExtensions);
}

AnswerProgress AnswerParser::ParseHead() {
  const std::string_view text = Text(this->buffer);
  this->scanned += this->scanner.Scan(text.substr(this->scanned));
  if (this->scanner.Fault() != AnswerFault::kNone) {
    return this->Fail(this->scanner.Fault());
  }
  if (this->scanned > kMaxHeadBytes) return this->Fail(AnswerFault::kTooLong);
  if (!this->scanner.IsDone()) return AnswerProgress::kMore;

  ErrorCode error;
  this->buffer.consume(
      this->parser.put(asio::buffer(text.data(), this->scanned), error));
  if (error) return this->Fail(FaultOf(error));
  if (!this->HasKnownCoding()) return this->Fail(AnswerFault::kFraming);
  return AnswerProgress::kHead;
}

bool AnswerParser::HasKnownCoding() const {
  const Message& head = this->parser.get();
  const size_t codings = head.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  // HTTP/1.0 has none, and no request asks for another one than chunks.
  constexpr unsigned int kHttp11 = 11;
  return codings == 1 && head.version() == kHttp11 &&
         beast::iequals(head[http::field::transfer_encoding], "chunked");
}

serving::AnswerFraming AnswerParser::Framing() const {
  if (this->parser.chunked()) return serving::AnswerFraming::kChunks;
  return this->parser.need_eof() ? serving::AnswerFraming::kConnection
                                 : serving::AnswerFraming::kLength;
}

AnswerProgress AnswerParser::ParseBody(asio::mutable_buffer piece,
                                       size_t& bytes) {
  auto& body = this->parser.get().body();
  body.data = piece.data();
  body.size = piece.size();
  body.more = true;
  ErrorCode error;
  while (!error && !this->parser.is_done() && this->buffer.size() > 0) {
    const size_t used = this->parser.put(this->buffer.cdata(), error);
    if (!error && this->parser.is_done() && this->parser.chunked()) {
      // One call takes the last chunk together with the trailer.
      this->fault = CheckTrailer(Text(this->buffer).substr(0, used));
    }
    this->buffer.consume(used);
  }
  bytes = piece.size() - body.size;
  if (this->fault != AnswerFault::kNone) return AnswerProgress::kBroken;
  if (error && error != http::error::need_more &&
      error != http::error::need_buffer) {
    return this->Fail(FaultOf(error));
  }
  if (this->parser.is_done()) return AnswerProgress::kWhole;
  // What waits for further bytes is a chunk-size line or a trailer.
  if (error == http::error::need_more && this->buffer.size() > kMaxHeadBytes) {
    return this->Fail(AnswerFault::kTooLong);
  }
  return AnswerProgress::kMore;
}

AnswerFault AnswerParser::CheckTrailer(std::string_view last_chunk) {
  // The line end of the chunk before belongs to it.
  if (last_chunk.starts_with(kLineEnd)) last_chunk.remove_prefix(2);
  last_chunk.remove_prefix(last_chunk.find(kLineEnd) + kLineEnd.size());
  serving::HeadScanner trailer = serving::HeadScanner::ForTrailer();
  trailer.Scan(last_chunk);
  return trailer.Fault();
}

AnswerProgress AnswerParser::ParseEof(AnswerEof eof) {
  if (!this->parser.is_header_done() || serving::IsFramed(this->Framing())) {
    return AnswerProgress::kBroken;
  }
  if (eof == AnswerEof::kUndelivered) {
    return this->Fail(AnswerFault::kUndelivered);
  }
  ErrorCode ignored;
  this->parser.put_eof(ignored);
  return AnswerProgress::kWhole;
}

AnswerProgress AnswerParser::Fail(AnswerFault found) {
  this->fault = found;
  return AnswerProgress::kBroken;
}

}  // namespace fuchsiadrum::daemon
