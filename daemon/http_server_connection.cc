#include "daemon/http_server_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "daemon/clock.h"

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
/// Memory of a connection: its objects, its timer and its scratch.
constexpr size_t kConnectionBytes = 8192;

BadInput BadInputOf(RequestFault fault) {
  switch (fault) {
    case RequestFault::kHeadBytes:
      return {431, "header-too-large", "the header is too large"};
    case RequestFault::kHeadFields:
      return {431, "too-many-fields", "the header has too many fields"};
    case RequestFault::kBodyBytes:
      return {413, "body-too-large", "the body is too large"};
    case RequestFault::kLineBytes:
    case RequestFault::kMalformedHead:
    case RequestFault::kMalformedBody:
    case RequestFault::kNone:
      break;
  }
  return {400, "malformed-http", "the request is not valid HTTP"};
}

}  // namespace

struct HttpServerConnection::Io {
  explicit Io(Tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<RequestParser> parser;
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

HttpServerConnection::HttpServerConnection(
    Tcp::socket socket, const HttpLimits& connection_limits,
    std::shared_ptr<ClientShare> client_share)
    : limits(connection_limits),
      share(std::move(client_share)),
      held_bytes(this->share->Bytes()),
      io(std::make_unique<Io>(std::move(socket))) {
  ErrorCode ignored;
  this->io->socket.set_option(Tcp::no_delay(true), ignored);
  this->share->Gate().Queue().Add(*this, Now());
  this->held_bytes.Set(kConnectionBytes);
}

HttpServerConnection::~HttpServerConnection() {
  this->share->Gate().Queue().Remove(*this);
}

bool HttpServerConnection::HasUnreadBytes() {
  ErrorCode error;
  return !this->io->closed && this->io->socket.available(error) > 0;
}

void HttpServerConnection::CloseForOthers() {
  if (this->Phase() != serving::ClientPhase::kUnread) return this->Close();
  // The write that waits for the client fails, and the request is given up.
  ErrorCode ignored;
  this->io->socket.cancel(ignored);
}

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

  state.parser.reset();
  if (state.buffer.size() == 0) state.buffer.shrink_to_fit();
  this->held_bytes.Set(kConnectionBytes);
  const RequestBounds bounds = {.head_bytes = this->limits.header_bytes,
                                .fields = this->limits.header_fields,
                                .body_bytes = this->limits.body_bytes};
  state.parser.emplace(bounds, state.buffer);
  this->share->Gate().Queue().SetPhase(*this,
                                       state.first_request
                                           ? serving::ClientPhase::kReading
                                           : serving::ClientPhase::kIdle,
                                       Now());
  this->Arm(state.first_request ? this->limits.header_timeout : kKeepAlive);
  state.first_request = false;
  if (state.buffer.size() == 0) return this->ReadSome();
  // Not at once: the caller of this may still be at work for the last request.
  asio::post(state.socket.get_executor(), [self = this->shared_from_this()] {
    if (!self->io->closed) self->Continue();
  });
}

void HttpServerConnection::Continue() {
  Io& state = *this->io;
  ParseStatus status = state.parser->Parse();
  if (status == ParseStatus::kHead) {
    if (!this->Hold(state.parser->HeldBytes() + state.parser->MissingBytes())) {
      return this->RefuseMemory();
    }
    status = state.parser->Parse();
    if (status == ParseStatus::kMore) this->OnHead();
  }
  if (status == ParseStatus::kRefused) {
    this->Disarm();
    return this->OnBadInput(BadInputOf(state.parser->Fault()));
  }
  const size_t next =
      status == ParseStatus::kMore ? state.parser->ReadBytes() : 0;
  if (!this->Hold(state.parser->HeldBytes() + next)) {
    return this->RefuseMemory();
  }
  if (status == ParseStatus::kWhole) return this->Deliver();
  this->ReadSome();
}

void HttpServerConnection::OnHead() {
  Io& state = *this->io;
  // Without this answer some callers wait before they send the body.
  if (beast::iequals(state.parser->Message()[http::field::expect],
                     "100-continue")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    state.socket.non_blocking(true, ignored);
    state.socket.write_some(asio::buffer(kContinue), ignored);
  }
  this->Arm(this->limits.body_timeout);
}

void HttpServerConnection::ReadSome() {
  Io& state = *this->io;
  state.socket.async_read_some(
      state.buffer.prepare(state.parser->ReadBytes()),
      [self = this->shared_from_this()](ErrorCode error, size_t bytes) {
        Io& read = *self->io;
        if (read.closed) return;
        if (error) return self->FailRead();
        read.buffer.commit(bytes);
        serving::ClientQueue& queue = self->share->Gate().Queue();
        if (self->Phase() == serving::ClientPhase::kIdle) {
          queue.SetPhase(*self, serving::ClientPhase::kReading, Now());
        }
        queue.OnBytes(*self, bytes, Now());
        self->Continue();
      });
}

bool HttpServerConnection::Hold(size_t bytes) {
  const size_t total = kConnectionBytes + bytes;
  const size_t bound = this->share->BoundFor(total);
  while (!this->held_bytes.Resize(total, bound)) {
    if (!this->share->Gate().FreeMemory(*this, Now())) return false;
  }
  return true;
}

void HttpServerConnection::RefuseMemory() {
  this->Disarm();
  this->share->CountMemory();
  this->OnBadInput(
      {503, "request-memory", "the memory for requests is in use"});
}

void HttpServerConnection::FailRead() {
  Io& state = *this->io;
  this->Disarm();
  if (!state.timed_out || !state.parser->HasBegun()) return this->Close();
  this->OnBadInput(
      {408, "request-timeout", "the request did not arrive in time"});
}

void HttpServerConnection::Deliver() {
  this->Disarm();
  this->io->held = this->shared_from_this();
  this->share->Gate().Queue().SetPhase(*this, serving::ClientPhase::kServed,
                                       Now());
  const RequestParser::Head& message = this->io->parser->Message();
  HttpRequest request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  request.keep_alive = message.keep_alive();
  request.version = static_cast<int>(message.version());
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string().to_string(),
                                 field.value().to_string());
  }
  request.body = this->io->parser->TakeBody();
  this->io->parser->DropFields();
  this->OnRequest(std::move(request));
}

void HttpServerConnection::Write(std::string text) {
  Io& state = *this->io;
  if (state.closed) return;
  state.outgoing = std::move(text);
  this->Arm(this->limits.write_timeout);
  this->share->Gate().Queue().SetPhase(*this, serving::ClientPhase::kUnread,
                                       Now());
  asio::async_write(state.socket, asio::buffer(state.outgoing),
                    [self = this->shared_from_this()](ErrorCode error, size_t) {
                      if (self->io->closed) return;
                      self->Disarm();
                      self->share->Gate().Queue().SetPhase(
                          *self, serving::ClientPhase::kServed, Now());
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
  this->share->Gate().Queue().Remove(*this);
  this->held_bytes.Set(0);
  const auto released = std::exchange(state.held, nullptr);
  this->Disarm();
  ErrorCode ignored;
  state.socket.close(ignored);
}

}  // namespace fuchsiadrum::daemon
