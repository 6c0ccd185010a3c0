#include "daemon/http_client_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>
#include <utility>

#include "daemon/answer_parser.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::daemon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr size_t kPieceBytes = 16384;
/// Maximum number of bytes of one read from the network, and of those buffered
/// for the parser: one read, and a head, a chunk-size line or a trailer.
constexpr size_t kMaxReadBytes = 65536;
constexpr size_t kMaxBufferedBytes =
    kMaxReadBytes + AnswerParser::kMaxHeadBytes;

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

HttpHead DecodeHead(const AnswerParser& parser) {
  const AnswerParser::Message& message = parser.Head();
  HttpHead head;
  head.status = static_cast<int>(message.result_int());
  head.content_type = message[http::field::content_type].to_string();
  head.not_run = OnlyValue(message, "X-Not-Run", head.ambiguous) == "true";
  head.request_id = OnlyValue(message, "X-Request-Id", head.ambiguous);
  head.attempt = OnlyValue(message, "X-Attempt", head.ambiguous);
  head.leaving = message["X-Leaving"] == "true";
  head.framing = parser.Framing();
  head.keep_alive = parser.KeepsAlive();
  return head;
}

}  // namespace

struct HttpClientConnection::Io {
  Io(asio::io_context& context, const AnswerFaultLog& fault_log)
      : socket(context), timer(context), faults(fault_log) {}

  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::optional<AnswerParser> parser;
  std::string address;
  AnswerFaultLog faults;
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

HttpClientConnection::HttpClientConnection(asio::io_context& context,
                                           const AnswerFaultLog& fault_log)
    : io(std::make_unique<Io>(context, fault_log)) {}

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
  state.address = address;
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
  state.parser.emplace(state.buffer);
  this->Arm(timeout);
  if (state.buffer.size() == 0) return this->ContinueHead(std::move(handler));
  this->Post([self = this->shared_from_this(), handler = std::move(handler)] {
    self->ContinueHead(handler);
  });
}

void HttpClientConnection::ContinueHead(OnHead handler) {
  AnswerParser& parser = *this->io->parser;
  const AnswerProgress progress = parser.ParseHead();
  if (progress == AnswerProgress::kMore) {
    return this->Fill([self = this->shared_from_this(),
                       handler = std::move(handler)](ErrorCode error) {
      if (!error) return self->ContinueHead(handler);
      handler(self->Disarm(error), {});
    });
  }
  if (progress == AnswerProgress::kBroken) {
    return handler(this->Disarm(this->OnBroken()), {});
  }
  handler(this->Disarm({}), DecodeHead(parser));
}

void HttpClientConnection::ReadSome(Duration timeout, OnPiece handler) {
  Io& state = *this->io;
  this->Arm(timeout);
  const bool must_read = !state.parser->IsDone() && state.buffer.size() == 0;
  if (must_read) return this->ContinueBody(std::move(handler));
  this->Post([self = this->shared_from_this(), handler = std::move(handler)] {
    self->ContinueBody(handler);
  });
}

void HttpClientConnection::ContinueBody(OnPiece handler) {
  Io& state = *this->io;
  size_t bytes = 0;
  const AnswerProgress progress =
      state.parser->ParseBody(asio::buffer(state.piece), bytes);
  if (progress == AnswerProgress::kMore && bytes == 0) {
    return this->Fill([self = this->shared_from_this(),
                       handler = std::move(handler)](ErrorCode error) {
      if (!error) return self->ContinueBody(handler);
      Io& read = *self->io;
      // Requests are sent whole before their answers are read.
      const bool is_last = error == asio::error::eof &&
                           read.parser->ParseEof(AnswerEof::kDelivered) ==
                               AnswerProgress::kWhole;
      read.idle = is_last;
      error = self->Disarm(is_last ? ErrorCode() : error);
      handler(error, {}, is_last);
    });
  }
  ErrorCode error;
  if (progress == AnswerProgress::kBroken) error = this->OnBroken();
  const bool is_last = progress == AnswerProgress::kWhole;
  state.idle = is_last;
  handler(this->Disarm(error), std::string_view(state.piece, bytes), is_last);
}

void HttpClientConnection::Fill(OnDone handler) {
  Io& state = *this->io;
  state.socket.async_read_some(
      state.buffer.prepare(beast::read_size(state.buffer, kMaxReadBytes)),
      [self = this->shared_from_this(), handler = std::move(handler)](
          ErrorCode error, size_t bytes) {
        if (self->io->closed) return;
        self->io->buffer.commit(bytes);
        handler(error);
      });
}

void HttpClientConnection::Post(std::function<void()> handler) {
  asio::post(this->io->socket.get_executor(),
             [self = this->shared_from_this(), handler = std::move(handler)] {
               if (!self->io->closed) handler();
             });
}

ErrorCode HttpClientConnection::OnBroken() {
  Io& state = *this->io;
  state.faults.Count(state.address, state.parser->Fault());
  return make_error_code(boost::system::errc::bad_message);
}

bool HttpClientConnection::IsReusable() {
  Io& state = *this->io;
  if (state.closed || !state.idle || !state.parser->KeepsAlive()) return false;
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
