#include "daemon/http_server_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace fuchsiadrum::daemon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// An idle connection is kept this long between two requests.
constexpr Duration kKeepAlive = std::chrono::seconds(60);
// After a refusal, unread input is thrown away for this long, since closing
// with unread input resets the connection before the answer is read.
// At most as many bytes as a body may have are read.
constexpr Duration kLinger = std::chrono::seconds(1);
constexpr size_t kScratchBytes = 4096;
/// One read of a body. With the limit of the head it bounds the bytes that are
/// buffered for the parser, which does not limit the length of a chunk-size
/// line itself.
constexpr size_t kReadBytes = 65536;

BadInput BadInputOf(ErrorCode error) {
  if (error == http::error::header_limit) {
    return {431, "header-too-large", "the header is too large"};
  }
  if (error == http::error::body_limit) {
    return {413, "body-too-large", "the body is too large"};
  }
  return {400, "malformed-http", "the request is not valid HTTP"};
}

}  // namespace

struct HttpServerConnection::Io {
  Io(Tcp::socket accepted, size_t max_header_bytes)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        buffer(max_header_bytes + kReadBytes) {}

  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::string outgoing;
  char scratch[kScratchBytes];
  size_t lingered_bytes = 0;
  uint64_t timer_round = 0;
  bool timed_out = false;
  bool first_request = true;
  bool watching = false;
  bool closed = false;
  // Keeps the connection while its answer is awaited and nothing is read.
  std::shared_ptr<HttpServerConnection> held;
};

HttpServerConnection::HttpServerConnection(Tcp::socket socket,
                                           const HttpLimits& connection_limits)
    : io(std::make_unique<Io>(std::move(socket),
                              connection_limits.header_bytes)),
      limits(connection_limits) {
  ErrorCode ignored;
  this->io->socket.set_option(Tcp::no_delay(true), ignored);
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::Arm(Duration timeout) {
  Io& state = *this->io;
  state.timed_out = false;
  const uint64_t round = ++state.timer_round;
  state.timer.expires_after(timeout);
  state.timer.async_wait([self = this->shared_from_this(), round](ErrorCode) {
    Io& armed = *self->io;
    if (round != armed.timer_round || armed.closed) return;
    armed.timed_out = true;
    ErrorCode ignored;
    armed.socket.cancel(ignored);
  });
}

void HttpServerConnection::Disarm() {
  ++this->io->timer_round;
  this->io->timer.cancel();
}

void HttpServerConnection::ReadNext() {
  Io& state = *this->io;
  const auto released = std::exchange(state.held, nullptr);
  if (state.closed) return;

  // A watch for the close of the connection must not read beside the parser.
  if (state.watching) {
    state.watching = false;
    ErrorCode ignored;
    state.socket.cancel(ignored);
  }

  state.parser.emplace();
  state.parser->header_limit(static_cast<uint32_t>(this->limits.header_bytes));
  state.parser->body_limit(this->limits.body_bytes);
  this->Arm(state.first_request ? this->limits.header_timeout : kKeepAlive);
  state.first_request = false;
  http::async_read_header(
      state.socket, state.buffer, *state.parser,
      [self = this->shared_from_this()](ErrorCode error, size_t) {
        if (self->io->closed) return;
        if (error) return self->FailRead(error);
        self->ReadBody();
      });
}

void HttpServerConnection::ReadBody() {
  Io& state = *this->io;
  if (state.parser->is_done()) return this->Deliver();

  // Without this answer some callers wait before they send the body.
  if (beast::iequals(state.parser->get()[http::field::expect],
                     "100-continue")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    state.socket.non_blocking(true, ignored);
    state.socket.write_some(asio::buffer(kContinue), ignored);
  }

  this->Arm(this->limits.body_timeout);
  http::async_read(state.socket, state.buffer, *state.parser,
                   [self = this->shared_from_this()](ErrorCode error, size_t) {
                     if (self->io->closed) return;
                     if (error) return self->FailRead(error);
                     self->Deliver();
                   });
}

void HttpServerConnection::FailRead(ErrorCode error) {
  Io& state = *this->io;
  this->Disarm();
  const bool started = state.parser->got_some() || state.buffer.size() > 0;
  if (state.timed_out) {
    if (!started) return this->Close();
    return this->OnBadInput(
        {408, "request-timeout", "the request did not arrive in time"});
  }
  if (error == http::error::end_of_stream || !error.category().name() ||
      error.category() == asio::error::get_system_category() ||
      error.category() == asio::error::get_misc_category()) {
    return this->Close();
  }
  this->OnBadInput(BadInputOf(error));
}

void HttpServerConnection::Deliver() {
  this->Disarm();
  this->io->held = this->shared_from_this();
  auto message = this->io->parser->release();
  HttpRequest request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  request.keep_alive = message.keep_alive();
  request.version = static_cast<int>(message.version());
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string().to_string(),
                                 field.value().to_string());
  }
  request.body = std::move(message.body());
  this->OnRequest(std::move(request));
}

void HttpServerConnection::Write(std::string text) {
  Io& state = *this->io;
  if (state.closed) return;
  state.outgoing = std::move(text);
  this->Arm(this->limits.write_timeout);
  asio::async_write(state.socket, asio::buffer(state.outgoing),
                    [self = this->shared_from_this()](ErrorCode error, size_t) {
                      if (self->io->closed) return;
                      self->Disarm();
                      if (error) self->Close();
                      self->OnWritten(!error);
                    });
}

void HttpServerConnection::FinishAndClose(std::string text) {
  Io& state = *this->io;
  if (state.closed) return;
  state.outgoing = std::move(text);
  this->Arm(this->limits.write_timeout);
  asio::async_write(state.socket, asio::buffer(state.outgoing),
                    [self = this->shared_from_this()](ErrorCode error, size_t) {
                      if (self->io->closed) return;
                      if (error) return self->Close();
                      ErrorCode ignored;
                      self->io->socket.shutdown(Tcp::socket::shutdown_send,
                                                ignored);
                      self->Arm(kLinger);
                      self->Linger();
                    });
}

void HttpServerConnection::Linger() {
  this->io->socket.async_read_some(
      asio::buffer(this->io->scratch),
      [self = this->shared_from_this()](ErrorCode error, size_t size) {
        self->io->lingered_bytes += size;
        const bool is_endless =
            self->io->lingered_bytes > self->limits.body_bytes;
        if (error || self->io->timed_out || is_endless) return self->Close();
        self->Linger();
      });
}

void HttpServerConnection::WatchForClose() {
  Io& state = *this->io;
  if (state.closed || state.watching) return;
  state.watching = true;
  state.socket.async_wait(Tcp::socket::wait_read,
                          [self = this->shared_from_this()](ErrorCode error) {
                            Io& watched = *self->io;
                            if (error || watched.closed || !watched.watching) {
                              return;
                            }
                            watched.watching = false;
                            self->CheckClosed();
                          });
}

void HttpServerConnection::CheckClosed() {
  // Bytes of a next request stay unread; only the end is of interest.
  Io& state = *this->io;
  char byte = 0;
  ErrorCode error;
  state.socket.non_blocking(true, error);
  state.socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek,
                       error);
  if (error && error != asio::error::would_block) this->OnGone();
}

void HttpServerConnection::Close() {
  Io& state = *this->io;
  if (state.closed) return;
  state.closed = true;
  const auto released = std::exchange(state.held, nullptr);
  this->Disarm();
  ErrorCode ignored;
  state.socket.close(ignored);
}

}  // namespace fuchsiadrum::daemon
