#include "gateway/caller_connection.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <vector>

#include "gateway/clock.h"
#include "gateway/gateway_core.h"
#include "gateway/request_task.h"
#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Memory of a connection, and of a request that is served: its task, its
/// coroutines, and the read buffer of its connection to an upstream.
constexpr size_t kConnectionBytes = 4096;
constexpr size_t kTaskBytes = 16384;
/// Bytes of a refused request that are read at a time.
constexpr size_t kLingerReadBytes = 4096;
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

/// Bytes of a request that are thrown away with its connection: closing it with
/// unread bytes would reset it, and the caller might lose the answer.
constexpr size_t kDiscardBytes = 16384;

daemon::RequestBounds BoundsOf(const GatewayCore& core,
                               const serving::CallerLimits& limits) {
  return {.head_bytes = limits.header_bytes,
          .fields = core.LimitsOfClients().header_fields,
          .body_bytes = limits.body_bytes};
}

/// Sends as much of the two parts as the socket takes at once.
ssize_t SendNow(int descriptor, std::string_view first,
                std::string_view second) {
  std::array<iovec, 2> parts = {
      iovec{const_cast<char*>(first.data()), first.size()},
      iovec{const_cast<char*>(second.data()), second.size()}};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return sendmsg(descriptor, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
}

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

}  // namespace

CallerConnection::CallerConnection(Tcp::socket accepted,
                                   GatewayCore& gateway_core)
    : socket(std::move(accepted)),
      core(gateway_core),
      request_bytes(gateway_core.BodyBytes()) {
  ErrorCode ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->core.Callers().insert(this);
  this->core.CallerGate().Queue().Add(*this, Now());
  this->request_bytes.Set(kConnectionBytes);
}

CallerConnection::~CallerConnection() {
  this->core.Callers().erase(this);
  this->core.CallerGate().Queue().Remove(*this);
}

bool CallerConnection::HasUnreadBytes() {
  ErrorCode error;
  return this->socket.is_open() && this->socket.available(error) > 0;
}

void CallerConnection::CloseForOthers() {
  if (this->reading && this->socket.is_open()) {
    // Such a request is not run, also if its last bytes are on their way.
    const std::string text = platform::EncodeGatewayAnswer(
        503, this->request_id, kRetryAfterUnread, true);
    static_cast<void>(send(this->socket.native_handle(), text.data(),
                           text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }
  this->request_bytes.Set(0);
  this->Interrupt(true);
  this->Abort();
}

asio::awaitable<void> CallerConnection::Run() {
  const auto self = this->shared_from_this();
  serving::ClientQueue& queue = this->core.CallerGate().Queue();
  while (this->socket.is_open()) {
    this->idle = true;
    this->idle_since = Now();
    if (this->has_served_request) {
      queue.SetPhase(*this, serving::ClientPhase::kIdle, this->idle_since);
    }
    if (this->buffer.size() == 0 && !co_await this->WaitForBytes()) break;
    this->idle = false;
    this->reading = true;
    if (this->has_served_request) {
      queue.SetPhase(*this, serving::ClientPhase::kReading, Now());
    }
    std::optional<serving::CallerRequest> request =
        co_await this->ReadRequest();
    this->reading = false;
    if (!request) break;

    this->NeverExpire();
    queue.SetPhase(*this, serving::ClientPhase::kServed, Now());
    // An idle connection, or one whose request is served, needs no buffer.
    if (this->buffer.size() == 0) this->buffer.shrink_to_fit();
    this->close_after = request->close_after;
    this->takes_chunks = request->takes_chunks;
    this->has_served_request = true;
    RequestTask task(this->core, *this, std::move(*request));
    const bool complete = co_await task.Run();
    this->Disarm();
    this->request_bytes.Set(kConnectionBytes);
    if (complete) this->SetResetOnClose(false);
    if (complete && this->close_announced) {
      co_await this->Linger();
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
  daemon::RequestParser reader(BoundsOf(this->core, limits), this->buffer);
  this->request_id.clear();
  this->ExpireAt(begun_at + limits.header_timeout);
  if (!co_await this->ReadPart(reader)) co_return std::nullopt;

  if (HasAmbiguousFraming(reader.Message())) {
    co_await this->Refuse(400, "ambiguous framing", "");
    co_return std::nullopt;
  }
  // The parser adds the fields of a trailer to those of the head, so the head
  // is decoded before the body is read.
  std::string reason;
  std::optional<serving::CallerRequest> request =
      platform::DecodeRequest(reader.Message(), reason);
  if (request) this->request_id = request->id;
  const bool awaits_continue = boost::beast::iequals(
      reader.Message()[http::field::expect], "100-continue");
  reader.DropFields();

  if (!this->MayHold(reader.HeldBytes(), reader.MissingBytes())) {
    this->core.LimitLog().Count(ClientLimit::kMemory);
    co_await this->RefuseUnread("request memory exhausted");
    co_return std::nullopt;
  }
  if (awaits_continue &&
      !co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n")) {
    co_return std::nullopt;
  }
  this->ExpireAt(Now() + limits.idle_timeout);
  if (!co_await this->ReadPart(reader)) co_return std::nullopt;

  if (!request) {
    co_await this->Refuse(400, reason, "");
    co_return std::nullopt;
  }
  request->begun_at = begun_at;
  request->body = reader.TakeBody();
  co_return request;
}

asio::awaitable<bool> CallerConnection::ReadPart(
    daemon::RequestParser& reader) {
  while (true) {
    const daemon::ParseStatus status = reader.Parse();
    if (status == daemon::ParseStatus::kRefused) {
      co_await this->RefuseFault(reader.Fault());
      co_return false;
    }
    if (!this->Hold(reader.HeldBytes() + (status == daemon::ParseStatus::kMore
                                              ? reader.ReadBytes()
                                              : 0))) {
      this->core.LimitLog().Count(ClientLimit::kMemory);
      co_await this->RefuseUnread("request memory exhausted");
      co_return false;
    }
    if (status != daemon::ParseStatus::kMore) co_return true;
    if (!co_await this->ReadSome(reader)) co_return false;
  }
}

asio::awaitable<bool> CallerConnection::ReadSome(
    daemon::RequestParser& reader) {
  if (this->reading_ended) {
    co_await this->RefuseUnread("stopping");
    co_return false;
  }
  ErrorCode error;
  const auto space = this->buffer.prepare(reader.ReadBytes());
  const size_t bytes = co_await this->socket.async_read_some(
      space, asio::redirect_error(asio::use_awaitable, error));
  this->buffer.commit(bytes);
  this->core.Link().OnReceived(bytes);
  if (!error) {
    this->core.CallerGate().Queue().OnBytes(*this, bytes, Now());
    co_return true;
  }
  if (this->reading_ended) {
    co_await this->RefuseUnread("stopping");
  }
  co_return false;
}

bool CallerConnection::Hold(size_t bytes) {
  const size_t total = kConnectionBytes + kTaskBytes + bytes;
  const size_t bound = this->core.LimitsOfClients().BoundFor(total);
  while (!this->request_bytes.Resize(total, bound)) {
    if (!this->core.CallerGate().FreeMemory(*this, Now())) return false;
  }
  return true;
}

bool CallerConnection::MayHold(size_t held, size_t missing) {
  const bool may_hold = this->Hold(held + missing);
  // What has not arrived yet takes no memory.
  if (may_hold) this->request_bytes.Set(kConnectionBytes + kTaskBytes + held);
  return may_hold;
}

asio::awaitable<void> CallerConnection::RefuseFault(
    daemon::RequestFault fault) {
  this->core.LimitLog().Count(fault);
  switch (fault) {
    case daemon::RequestFault::kHeadBytes:
      co_return co_await this->Refuse(431, "header too large", "");
    case daemon::RequestFault::kHeadFields:
      co_return co_await this->Refuse(431, "too many header fields", "");
    case daemon::RequestFault::kBodyBytes:
      co_return co_await this->Refuse(413, "body too large", this->request_id);
    case daemon::RequestFault::kLineBytes:
      co_return co_await this->Refuse(
          400, "chunk-size line or trailer too large", this->request_id);
    case daemon::RequestFault::kMalformedHead:
      co_return co_await this->Refuse(400, "malformed head", "");
    case daemon::RequestFault::kMalformedBody:
    case daemon::RequestFault::kNone:
      co_return;
  }
}

asio::awaitable<void> CallerConnection::RefuseUnread(std::string reason) {
  co_await this->Refuse(503, std::move(reason), this->request_id,
                        kRetryAfterUnread);
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
  co_await this->Linger();
}

asio::awaitable<void> CallerConnection::Linger() {
  const bool is_stopping = this->core.IsStopping();
  this->ExpireAt(Now() + (is_stopping ? kStopLingerTime : kLingerTime));
  ErrorCode error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  std::vector<char> rest(kLingerReadBytes);
  const size_t max_bytes = this->core.Limits().body_bytes;
  size_t bytes = 0;
  while (!error && bytes <= max_bytes) {
    bytes += co_await this->socket.async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
  }
}

void CallerConnection::LogBadInput(int status, const std::string& reason) {
  if (!this->core.LimitLog().MayLogClient(Now())) return;
  this->core.Log().Write("bad-input", {{"status", static_cast<int64_t>(status)},
                                       {"reason", reason}});
}

asio::awaitable<bool> CallerConnection::Write(std::string_view bytes) {
  return this->Write(bytes, std::string_view());
}

asio::awaitable<bool> CallerConnection::Write(std::string_view first,
                                              std::string_view second) {
  this->core.Link().OnSent(first.size() + second.size());
  ErrorCode error;
  while (!error && first.size() + second.size() > 0) {
    const ssize_t sent = SendNow(this->socket.native_handle(), first, second);
    if (sent >= 0) {
      const size_t of_first = std::min(first.size(), static_cast<size_t>(sent));
      first.remove_prefix(of_first);
      second.remove_prefix(static_cast<size_t>(sent) - of_first);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      co_await this->WaitForReader(error);
    } else if (errno != EINTR) {
      co_return false;
    }
  }
  co_return !error;
}

asio::awaitable<void> CallerConnection::WaitForReader(ErrorCode& error) {
  serving::ClientQueue& queue = this->core.CallerGate().Queue();
  const bool is_served = this->Phase() == serving::ClientPhase::kServed;
  // While an attempt runs, the deadline of the request ends the wait; a refusal
  // has its own time.
  const bool is_timed = is_served && !this->interrupt;
  if (is_served) queue.SetPhase(*this, serving::ClientPhase::kUnread, Now());
  if (is_timed) this->ExpireAt(Now() + this->core.Limits().idle_timeout);
  co_await this->socket.async_wait(
      Tcp::socket::wait_write,
      asio::redirect_error(asio::use_awaitable, error));
  if (is_served) queue.SetPhase(*this, serving::ClientPhase::kServed, Now());
  if (is_timed) this->NeverExpire();
  if (!this->socket.is_open()) error = asio::error::operation_aborted;
}

void CallerConnection::Abort() {
  this->core.CallerGate().Queue().Remove(*this);
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
  // Callers of a busy VM return on a new connection, which the load balancer
  // sends to another VM.
  this->close_announced =
      this->close_after || this->core.IsStopping() || this->core.IsBusy();
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
  if (this->Phase() == serving::ClientPhase::kUnread) {
    this->core.LimitLog().Count(ClientLimit::kUnreadTime);
  }
  if (this->interrupt) {
    this->Interrupt(false);
  } else {
    this->Abort();
  }
}

void RefuseConnection(Tcp::socket socket) {
  std::array<char, kDiscardBytes> discarded;
  const int descriptor = socket.native_handle();
  static_cast<void>(
      recv(descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT));
  const std::string text =
      platform::EncodeGatewayAnswer(503, "", kRetryAfterUnread, true);
  static_cast<void>(
      send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  ErrorCode ignored;
  socket.close(ignored);
}

}  // namespace fuchsiadrum::gateway
