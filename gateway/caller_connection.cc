#include "gateway/caller_connection.h"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <vector>

#include "gateway/clock.h"
#include "gateway/gateway_core.h"
#include "gateway/request_admission.h"
#include "gateway/request_task.h"
#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Maximum number of bytes buffered for the parser: a head and one read. The
/// parser itself does not limit the length of a chunk-size line.
constexpr size_t kMaxBufferedBytes = 262144;
/// Bytes of a refused request that are read at a time.
constexpr size_t kLingerReadBytes = 4096;
/// Bytes that are read of a body which was refused on the request's head: about
/// one receive window, which the caller may have sent before the answer reaches
/// it.
constexpr size_t kMaxUnreadBytes = 65536;
/// Time that the caller has to read its last answer before the connection
/// closes, and the same while the gateway stops.
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
constexpr Duration kStopLingerTime = std::chrono::milliseconds(150);
/// Retry-After where the next connection is served. It is short because the
/// load balancer sends that connection to another VM.
constexpr Duration kRetryAfterUnread = std::chrono::milliseconds(50);
/// Idle time before a stopping gateway closes a connection. The first request
/// of a new connection, or one that was sent right after an answer, arrives
/// within it.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(200);

/// True if two HTTP parsers could frame the request differently. Such requests
/// are refused to prevent request smuggling, where a second request is hidden
/// in the body of the first.
bool HasAmbiguousFraming(const http::request_header<>& head) {
  const size_t lengths = head.count(http::field::content_length);
  const size_t codings = head.count(http::field::transfer_encoding);
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1)) return true;
  if (codings == 1 &&
      !boost::beast::iequals(head[http::field::transfer_encoding], "chunked")) {
    return true;
  }
  return head.count(http::field::host) != 1;
}

RequestSize SizeOf(size_t head_bytes,
                   const http::request_parser<http::string_body>& parser) {
  RequestSize size = {.head_bytes = head_bytes, .body_bytes = std::nullopt};
  if (!parser.chunked()) {
    const auto length = parser.content_length();
    size.body_bytes = length ? *length : 0;
  }
  return size;
}

}  // namespace

CallerConnection::CallerConnection(Tcp::socket accepted,
                                   GatewayCore& gateway_core)
    : socket(std::move(accepted)),
      core(gateway_core),
      buffer(kMaxBufferedBytes),
      request_bytes(gateway_core.BodyBytes()) {
  ErrorCode ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->core.Callers().insert(this);
}

CallerConnection::~CallerConnection() { this->core.Callers().erase(this); }

asio::awaitable<void> CallerConnection::Run() {
  const auto self = this->shared_from_this();
  while (this->socket.is_open()) {
    this->idle = true;
    this->idle_since = Now();
    if (this->buffer.size() == 0 && !co_await this->WaitForBytes()) break;
    this->idle = false;
    this->reading = true;
    std::optional<serving::CallerRequest> request =
        co_await this->ReadRequest();
    this->reading = false;
    if (!request) break;

    this->NeverExpire();
    this->close_after = request->close_after;
    this->has_served_request = true;
    RequestTask task(this->core, *this, std::move(*request));
    const bool complete = co_await task.Run();
    this->Disarm();
    this->OnForwarded();
    this->request_bytes.Resize(0);
    if (complete) this->SetResetOnClose(false);
    if (complete && this->close_announced) {
      co_await this->Linger(this->core.Limits().body_bytes);
    }
    if (!complete || this->close_announced) break;
  }
  ErrorCode ignored;
  if (this->socket.is_open() && !this->resets_on_close) {
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  this->socket.close(ignored);
}

asio::awaitable<bool> CallerConnection::WaitForBytes() {
  const serving::CallerLimits limits = this->core.Limits();
  this->ExpireAt(Now() + (this->has_served_request ? limits.idle_timeout
                                                   : limits.header_timeout));
  ErrorCode error;
  co_await this->socket.async_wait(
      Tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  co_return !error && this->socket.is_open();
}

asio::awaitable<std::optional<serving::CallerRequest>>
CallerConnection::ReadRequest() {
  const TimePoint begun_at = Now();
  const serving::CallerLimits limits = this->core.Limits();
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);

  this->ExpireAt(Now() + limits.header_timeout);
  ErrorCode error;
  const size_t head_bytes = co_await http::async_read_header(
      this->socket, this->buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error == http::error::header_limit) {
    co_await this->Refuse(431, "header too large", "");
    co_return std::nullopt;
  }
  if (error == http::error::body_limit) {
    co_await this->Refuse(413, "body too large", "");
    co_return std::nullopt;
  }
  if (error) {
    const bool malformed =
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    if (malformed) {
      co_await this->Refuse(400, "malformed head", "");
    }
    if (this->reading_ended) {
      co_await this->Refuse(503, "stopping", "", kRetryAfterUnread);
    }
    co_return std::nullopt;
  }
  this->core.Link().OnReceived(head_bytes);
  if (HasAmbiguousFraming(parser.get())) {
    co_await this->Refuse(400, "ambiguous framing", "");
    co_return std::nullopt;
  }
  // The parser adds the fields of a trailer to those of the head, so the head
  // is decoded before the body is read.
  std::string reason;
  std::optional<serving::CallerRequest> request =
      platform::DecodeRequest(parser.get(), reason);
  if (request &&
      !co_await this->AdmitHead(*request, SizeOf(head_bytes, parser))) {
    co_return std::nullopt;
  }

  if (boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue") &&
      !co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n")) {
    co_return std::nullopt;
  }
  this->ExpireAt(Now() + limits.idle_timeout);
  while (!parser.is_done() && !error) {
    const size_t body_bytes = co_await http::async_read_some(
        this->socket, this->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    this->core.Link().OnReceived(body_bytes);
    if (!this->request_bytes.Resize(parser.get().body().size())) {
      co_await this->RefuseUnread(parser.get(),
                                  "request body memory exhausted");
      co_return std::nullopt;
    }
  }
  if (error == http::error::body_limit) {
    co_await this->Refuse(413, "body too large", "");
    co_return std::nullopt;
  }
  if (this->reading_ended && !parser.is_done()) {
    co_await this->RefuseUnread(parser.get(), "stopping");
    co_return std::nullopt;
  }
  if (error) co_return std::nullopt;

  if (!request) {
    co_await this->Refuse(400, reason, "");
    co_return std::nullopt;
  }
  request->begun_at = begun_at;
  request->body = std::move(parser.get().body());
  co_return request;
}

asio::awaitable<bool> CallerConnection::AdmitHead(
    const serving::CallerRequest& request, RequestSize size) {
  HeadAdmission admission = AdmitOnHead(this->core, request, size);
  this->organisation = std::move(admission.organisation);
  this->pending = admission.pending;
  if (!admission.refusal) co_return true;

  this->reading = false;
  this->ExpireAt(Now() + kLingerTime);
  const GatewayAnswer& refusal = *admission.refusal;
  const std::string text = platform::EncodeGatewayAnswer(
      refusal.status, request.id, refusal.retry_after, true);
  co_await this->Write(text);
  co_await this->Linger(kMaxUnreadBytes);
  co_return false;
}

void CallerConnection::OnForwarded() {
  this->core.Pending().Remove(this->pending);
  this->pending = 0;
}

asio::awaitable<void> CallerConnection::RefuseUnread(
    const platform::HttpRequestHead& head, std::string reason) {
  std::string ignored;
  const auto request = platform::DecodeRequest(head, ignored);
  const std::string id = request ? request->id : std::string();
  co_await this->Refuse(503, std::move(reason), id, kRetryAfterUnread);
}

asio::awaitable<void> CallerConnection::Refuse(
    int status, std::string reason, const std::string& request_id,
    std::optional<Duration> retry_after) {
  this->LogBadInput(status, reason);
  this->reading = false;
  this->ExpireAt(Now() + kLingerTime);
  const std::string text =
      platform::EncodeGatewayAnswer(status, request_id, retry_after, true);
  co_await this->Write(text);
  co_await this->Linger(this->core.Limits().body_bytes);
}

asio::awaitable<void> CallerConnection::Linger(size_t max_bytes) {
  const bool is_stopping = this->core.IsStopping();
  this->ExpireAt(Now() + (is_stopping ? kStopLingerTime : kLingerTime));
  ErrorCode error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  std::vector<char> rest(kLingerReadBytes);
  size_t bytes = 0;
  while (!error && bytes <= max_bytes) {
    const size_t count = co_await this->socket.async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
    this->core.Link().OnReceived(count);
    bytes += count;
  }
}

void CallerConnection::LogBadInput(int status, const std::string& reason) {
  this->core.Log().Write("bad-input", {{"status", static_cast<int64_t>(status)},
                                       {"reason", reason}});
}

asio::awaitable<bool> CallerConnection::Write(std::string_view bytes) {
  ErrorCode error;
  this->core.Link().OnSent(Now(), bytes.size());
  co_await asio::async_write(this->socket,
                             asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

void CallerConnection::Abort() {
  ErrorCode ignored;
  this->socket.close(ignored);
}

void CallerConnection::EndAnswerWithConnection() {
  this->close_after = true;
  this->SetResetOnClose(true);
}

void CallerConnection::SetResetOnClose(bool resets) {
  if (this->resets_on_close == resets || !this->socket.is_open()) return;
  // Set without Asio, which would clear it before it closes the socket in the
  // destructor.
  linger option{};
  option.l_onoff = resets ? 1 : 0;
  option.l_linger = 0;
  if (setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
                 sizeof(option)) != 0) {
    this->core.Log().Write("caller-option-failed", {{"option", "SO_LINGER"},
                                                    {"errno", int64_t{errno}}});
  }
  this->resets_on_close = resets;
}

bool CallerConnection::AnnounceClose() {
  // Some callers of a loaded VM return on a new connection, which the load
  // balancer sends to another VM.
  this->close_announced = this->close_after || this->core.IsStopping() ||
                          this->core.AnnouncesClose(this->organisation);
  return this->close_announced;
}

bool CallerConnection::HasLeft() {
  if (!this->socket.is_open()) return true;
  char byte = 0;
  const ssize_t got =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // Any bytes belong to the next request, which is read after the current one.
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerConnection::CloseIdle(TimePoint now) {
  if (!this->idle || now - this->idle_since < kMinIdleTime) return;
  // Bytes that have arrived belong to a request, which is still served.
  ErrorCode error;
  if (this->socket.is_open() && this->socket.available(error) == 0) {
    this->Abort();
  }
}

void CallerConnection::EndReading() {
  if (!this->reading || !this->socket.is_open()) return;
  this->reading_ended = true;
  ErrorCode ignored;
  this->socket.cancel(ignored);
}

void CallerConnection::Arm(TimePoint deadline,
                           std::function<void(bool caller_gone)> handler) {
  this->interrupt = std::move(handler);
  this->ExpireAt(deadline);
  if (this->buffer.size() == 0) this->WatchForClose();
}

void CallerConnection::Disarm() {
  this->interrupt = nullptr;
  this->NeverExpire();
  // Cancels the wait for the caller's close; Arm starts a new one for the next
  // request.
  ErrorCode ignored;
  if (this->watching && this->socket.is_open()) this->socket.cancel(ignored);
}

void CallerConnection::WatchForClose() {
  if (this->watching) return;
  this->watching = true;
  this->socket.async_wait(Tcp::socket::wait_read,
                          [self = this->shared_from_this()](ErrorCode error) {
                            self->watching = false;
                            if (error || !self->interrupt) return;
                            if (self->HasLeft()) self->Interrupt(true);
                          });
}

void CallerConnection::Interrupt(bool caller_gone) {
  if (!this->interrupt) return;
  const auto handler = std::move(this->interrupt);
  this->interrupt = nullptr;
  handler(caller_gone);
}

void CallerConnection::OnExpired() {
  if (this->interrupt) {
    this->Interrupt(false);
  } else {
    this->Abort();
  }
}

}  // namespace fuchsiadrum::gateway
