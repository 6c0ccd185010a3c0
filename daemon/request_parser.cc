#include "daemon/request_parser.h"

#include <algorithm>

namespace fuchsiadrum::daemon {
namespace {

namespace http = boost::beast::http;

/// Bytes of one read. Ordinary heads take less than 2 KB, and a larger read of
/// a body saves system calls.
constexpr size_t kHeadReadBytes = 4096;
constexpr size_t kBodyReadBytes = 16384;
/// What a parsed field takes besides its text: nodes of the parser's lists, two
/// strings, and what the allocator adds.
constexpr size_t kFieldBytes = 100;

}  // namespace

RequestParser::RequestParser(const RequestBounds& request_bounds,
                             boost::beast::flat_buffer& connection_buffer)
    : bounds(request_bounds), buffer(connection_buffer) {
  // CountHead keeps the bound; this one only has to be no lower.
  this->parser.header_limit(
      static_cast<uint32_t>(this->bounds.head_bytes + kHeadReadBytes));
  this->parser.body_limit(this->bounds.body_bytes);
}

ParseStatus RequestParser::Parse() {
  return this->parser.is_header_done() ? this->ParseBody() : this->ParseHead();
}

bool RequestParser::CountHead() {
  const auto data = this->buffer.cdata();
  std::string_view text(static_cast<const char*>(data.data()), data.size());
  text.remove_prefix(this->counted);
  this->counted = data.size();
  while (!this->head_ended && !text.empty()) {
    const size_t end = text.find('\n');
    const bool has_end = end != std::string_view::npos;
    const size_t bytes = has_end ? end + 1 : text.size();
    this->head_bytes += bytes;
    this->line_bytes += bytes;
    text.remove_prefix(bytes);
    if (!has_end) break;
    // The head ends with an empty line; an end of line has two bytes.
    this->head_ended = this->line_bytes <= 2;
    if (!this->head_ended) ++this->head_lines;
    this->line_bytes = 0;
  }
  if (this->head_bytes > this->bounds.head_bytes) {
    this->fault = RequestFault::kHeadBytes;
    return false;
  }
  // The first line is no field.
  if (this->head_lines > this->bounds.fields + 1) {
    this->fault = RequestFault::kHeadFields;
    return false;
  }
  return true;
}

ParseStatus RequestParser::ParseHead() {
  if (this->buffer.size() == 0) return ParseStatus::kMore;
  if (!this->CountHead()) return ParseStatus::kRefused;
  ErrorCode error;
  this->buffer.consume(this->parser.put(this->buffer.cdata(), error));
  this->counted = this->buffer.size();
  if (error == http::error::need_more) return ParseStatus::kMore;
  if (error) return this->Refuse(error);
  this->parser.eager(true);
  return ParseStatus::kHead;
}

ParseStatus RequestParser::ParseBody() {
  ErrorCode error;
  if (!this->parser.is_done() && this->buffer.size() > 0) {
    this->buffer.consume(this->parser.put(this->buffer.cdata(), error));
  }
  if (error && error != http::error::need_more) return this->Refuse(error);
  if (this->parser.is_done()) return ParseStatus::kWhole;
  // What the parser leaves in the buffer is a chunk-size line or a trailer.
  if (this->buffer.size() > this->bounds.head_bytes) {
    return this->Refuse(RequestFault::kLineBytes);
  }
  return ParseStatus::kMore;
}

ParseStatus RequestParser::Refuse(RequestFault request_fault) {
  this->fault = request_fault;
  return ParseStatus::kRefused;
}

ParseStatus RequestParser::Refuse(ErrorCode error) {
  if (error == http::error::header_limit) {
    return this->Refuse(RequestFault::kHeadBytes);
  }
  if (error == http::error::body_limit) {
    return this->Refuse(RequestFault::kBodyBytes);
  }
  return this->Refuse(this->parser.is_header_done()
                          ? RequestFault::kMalformedBody
                          : RequestFault::kMalformedHead);
}

size_t RequestParser::MissingBytes() const {
  if (!this->parser.is_header_done() || this->parser.is_done()) return 0;
  const auto missing = this->parser.content_length_remaining();
  return missing ? *missing : 0;
}

std::optional<uint64_t> RequestParser::BodyBytes() const {
  if (this->parser.chunked()) return std::nullopt;
  const auto length = this->parser.content_length();
  return length ? *length : 0;
}

size_t RequestParser::ReadBytes() const {
  if (!this->parser.is_header_done()) return kHeadReadBytes;
  const size_t missing = this->MissingBytes();
  return missing > 0 ? std::min(missing, kBodyReadBytes) : kBodyReadBytes;
}

size_t RequestParser::HeldBytes() const {
  // A body whose length is known is stored in place, and only what has arrived
  // takes memory. Otherwise its string grows in steps.
  const std::string& body = this->parser.get().body();
  const bool is_chunked =
      this->parser.is_header_done() && !this->parser.content_length();
  return this->buffer.capacity() + this->head_bytes +
         this->head_lines * kFieldBytes +
         (is_chunked ? body.capacity() : body.size());
}

}  // namespace fuchsiadrum::daemon
