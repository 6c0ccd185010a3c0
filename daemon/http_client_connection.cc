#include "daemon/http_client_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "settings/endpoint.h"

namespace fuchsiadrum::daemon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr size_t kPieceBytes = 16384;
constexpr uint32_t kMaxHeaderBytes = 65536;
/// Maximum number of bytes buffered for the parser: one read, and a head or a
/// chunk-size line, whose length the parser itself does not limit.
constexpr size_t kMaxBufferedBytes = size_t{2} * kMaxHeaderBytes;

/// Value of a field that must come once; sets `ambiguous` if it came with two
/// values.
template <typename Fields>
std::string OnlyValue(const Fields& fields, const char* name, bool& ambiguous) {
  const auto [begin, end] = fields.equal_range(name);
  if (begin == end) return {};
  std::string value = begin->value().to_string();
  for (auto field = begin; field != end; ++field) {
    if (field->value() != value) ambiguous = true;
  }
  return value;
}

}  // namespace

struct HttpClientConnection::Io {
  explicit Io(asio::io_context& context) : socket(context), timer(context) {}

  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::string outgoing;
  char piece[kPieceBytes];
  uint64_t timer_round = 0;
  bool timed_out = false;
  bool closed = false;
  bool idle = false;
  uint64_t exchanges = 0;
};

upstream::AnswerHead HttpHead::ToAnswerHead() const {
  return {.status = this->status,
          .request_id = this->request_id,
          .attempt = this->attempt,
          .is_ambiguous = this->ambiguous,
          .not_run = this->not_run};
}

HttpClientConnection::HttpClientConnection(asio::io_context& context)
    : io(std::make_unique<Io>(context)) {}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::Arm(Duration timeout) {
  Io& state = *this->io;
  state.timed_out = false;
  const uint64_t round = ++state.timer_round;
  state.timer.expires_after(timeout);
  state.timer.async_wait([weak = this->weak_from_this(), round](ErrorCode) {
    const auto self = weak.lock();
    if (!self || self->io->timer_round != round || self->io->closed) return;
    self->io->timed_out = true;
    ErrorCode ignored;
    self->io->socket.cancel(ignored);
  });
}

ErrorCode HttpClientConnection::Disarm(ErrorCode error) {
  Io& state = *this->io;
  ++state.timer_round;
  state.timer.cancel();
  if (error && state.timed_out) return asio::error::timed_out;
  return error;
}

void HttpClientConnection::Connect(const std::string& address, Duration timeout,
                                   OnDone handler) {
  Io& state = *this->io;
  const auto endpoint = settings::Endpoint::Parse(address);
  if (!endpoint) {
    asio::post(state.socket.get_executor(), [handler = std::move(handler)] {
      handler(asio::error::invalid_argument);
    });
    return;
  }

  this->Arm(timeout);
  const Tcp::endpoint target(asio::ip::make_address(endpoint->ip),
                             endpoint->port);
  state.socket.async_connect(
      target, [self = this->shared_from_this(),
               handler = std::move(handler)](ErrorCode error) {
        if (self->io->closed) return;
        error = self->Disarm(error);
        ErrorCode ignored;
        if (!error) self->io->socket.set_option(Tcp::no_delay(true), ignored);
        handler(error);
      });
}

void HttpClientConnection::Send(std::string text, Duration timeout,
                                OnSent handler) {
  Io& state = *this->io;
  state.idle = false;
  ++state.exchanges;
  state.outgoing = std::move(text);
  this->Arm(timeout);
  asio::async_write(
      state.socket, asio::buffer(state.outgoing),
      [self = this->shared_from_this(), handler = std::move(handler)](
          ErrorCode error, size_t sent) {
        if (self->io->closed) return;
        handler(self->Disarm(error), sent);
      });
}

void HttpClientConnection::ReadHead(Duration timeout, OnHead handler) {
  Io& state = *this->io;
  state.parser.emplace();
  state.parser->header_limit(kMaxHeaderBytes);
  // Beast 1.74 takes "no limit" for a limit of nothing when the answer has a
  // Content-Length. The readers of the body bound it themselves.
  state.parser->body_limit(std::numeric_limits<uint64_t>::max());
  this->Arm(timeout);
  http::async_read_header(
      state.socket, state.buffer, *state.parser,
      [self = this->shared_from_this(), handler = std::move(handler)](
          ErrorCode error, size_t) {
        if (self->io->closed) return;
        error = self->Disarm(error);
        HttpHead head;
        if (!error) {
          const auto& parser = *self->io->parser;
          const auto& message = parser.get();
          head.status = static_cast<int>(message.result_int());
          head.content_type = message[http::field::content_type].to_string();
          head.not_run =
              OnlyValue(message, "X-Not-Run", head.ambiguous) == "true";
          head.request_id = OnlyValue(message, "X-Request-Id", head.ambiguous);
          head.attempt = OnlyValue(message, "X-Attempt", head.ambiguous);
          head.leaving = message["X-Leaving"] == "true";
          head.framed = !message.need_eof();
          head.keep_alive = message.keep_alive();
        }
        handler(error, head);
      });
}

void HttpClientConnection::ReadSome(Duration timeout, OnPiece handler) {
  Io& state = *this->io;
  if (state.parser->is_done()) {
    state.idle = true;
    asio::post(state.socket.get_executor(),
               [self = this->shared_from_this(), handler = std::move(handler)] {
                 if (!self->io->closed) handler({}, {}, true);
               });
    return;
  }

  auto& body = state.parser->get().body();
  body.data = state.piece;
  body.size = sizeof state.piece;
  body.more = true;
  this->Arm(timeout);
  http::async_read_some(
      state.socket, state.buffer, *state.parser,
      [self = this->shared_from_this(), handler = std::move(handler)](
          ErrorCode error, size_t) {
        Io& read = *self->io;
        if (read.closed) return;
        error = self->Disarm(error);
        // The body filled the whole piece; the rest comes with the next call.
        if (error == http::error::need_buffer) error = {};
        const size_t size = sizeof read.piece - read.parser->get().body().size;
        const bool last = !error && read.parser->is_done();
        read.idle = last;
        handler(error, std::string_view(read.piece, size), last);
      });
}

bool HttpClientConnection::IsReusable() {
  Io& state = *this->io;
  if (state.closed || !state.idle || !state.parser->keep_alive()) return false;
  // Bytes that came with the last answer would be read as the next one.
  if (state.buffer.size() > 0) return false;

  // Readable while idle: closed by the other side, or bytes nobody asked for.
  char byte = 0;
  ErrorCode error;
  state.socket.non_blocking(true, error);
  state.socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek,
                       error);
  return error == asio::error::would_block;
}

uint64_t HttpClientConnection::Exchanges() const { return this->io->exchanges; }

void HttpClientConnection::Close() {
  Io& state = *this->io;
  if (state.closed) return;
  state.closed = true;
  ++state.timer_round;
  state.timer.cancel();
  ErrorCode ignored;
  state.socket.close(ignored);
}

}  // namespace fuchsiadrum::daemon
