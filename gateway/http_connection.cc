#include "gateway/http_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/read_size.hpp>

#include "fuchsiadrum/core/hash.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Maximum number of body bytes of one read; events of a stream are far
/// smaller.
constexpr size_t kReadBufferBytes = 8192;
/// Maximum number of bytes of one read from the network, and of those buffered
/// for the parser: one read, and a head, a chunk-size line or a trailer.
constexpr size_t kMaxReadBytes = 65536;
constexpr size_t kMaxBufferedBytes =
    kMaxReadBytes + daemon::AnswerParser::kMaxHeadBytes;
/// Interval at which the acknowledgement of a request is looked up. The kernel
/// does not tell when it arrives.
constexpr Duration kDeliveryInterval = std::chrono::milliseconds(5);
/// TCP keep-alive: a peer that has vanished without closing the connection, by
/// a network partition or a loss of power, is detected after this many idle
/// seconds plus the time of the probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
/// Maximum time that sent bytes may stay unacknowledged, in milliseconds.
constexpr unsigned int kUserTimeoutMs = 2500;

void SetOption(Tcp::socket& socket, int level, int name, auto value) {
  // Errors are ignored: the options only speed up the detection of dead peers,
  // and without them the timeouts of the code that uses the connection apply.
  static_cast<void>(
      setsockopt(socket.native_handle(), level, name, &value, sizeof(value)));
}

/// Returns the error that the socket has not reported yet, and clears it.
ErrorCode TakeSocketError(Tcp::socket& socket) {
  int number = 0;
  socklen_t size = sizeof(number);
  if (getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &number,
                 &size) != 0) {
    number = errno;
  }
  return {number, boost::system::system_category()};
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& context,
                               serving::LinkLoad* link_load)
    : socket(context),
      link(link_load),
      buffer(kMaxBufferedBytes),
      read_buffer(kReadBufferBytes),
      send_ended(context) {}

asio::awaitable<bool> HttpConnection::Connect(const std::string& address) {
  const auto endpoint = settings::Endpoint::Parse(address);
  if (!endpoint) co_return false;
  ErrorCode error;
  const auto ip = asio::ip::make_address(endpoint->ip, error);
  if (error) co_return false;

  const Tcp::endpoint remote(ip, endpoint->port);
  co_await this->socket.async_connect(
      remote, asio::redirect_error(asio::use_awaitable, error));
  if (error) this->OnIoError(error);
  if (error || !this->socket.is_open()) co_return false;
  this->socket.set_option(Tcp::no_delay(true), error);
  SetOption(this->socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(this->socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(this->socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(this->socket, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(this->socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  co_return true;
}

void HttpConnection::StartSend(std::string head,
                               std::shared_ptr<const std::string> body) {
  this->send_head = std::move(head);
  this->send_body = std::move(body);
  this->sending = true;
  this->send_error = {};
  ++this->exchanges;
  std::array<asio::const_buffer, 2> parts = {asio::buffer(this->send_head),
                                             asio::const_buffer()};
  if (this->send_body) parts[1] = asio::buffer(*this->send_body);
  if (this->link != nullptr) this->link->OnSent(asio::buffer_size(parts));
  asio::async_write(this->socket, parts,
                    [self = this->shared_from_this()](ErrorCode error, size_t) {
                      self->sending = static_cast<bool>(error);
                      self->send_error = error;
                      self->send_ended.Notify();
                    });
}

asio::awaitable<const platform::HttpAnswerHead*> HttpConnection::ReadHead() {
  this->parser.emplace(this->buffer);
  daemon::AnswerProgress progress = this->parser->ParseHead();
  while (progress == daemon::AnswerProgress::kMore) {
    const ErrorCode error = co_await this->ReadSome();
    if (error) {
      const bool is_cut = error == asio::error::eof && this->parser->HasBegun();
      this->OnIoError(is_cut ? http::error::partial_message : error);
      co_return nullptr;
    }
    progress = this->parser->ParseHead();
  }
  if (progress == daemon::AnswerProgress::kBroken) {
    this->OnBrokenAnswer();
    co_return nullptr;
  }
  co_return &this->parser->Head().base();
}

asio::awaitable<BodyReadStatus> HttpConnection::ReadBody(std::string& out) {
  if (this->parser->IsDone()) co_return BodyReadStatus::kEnd;

  size_t bytes = 0;
  daemon::AnswerProgress progress =
      this->parser->ParseBody(asio::buffer(this->read_buffer), bytes);
  while (progress == daemon::AnswerProgress::kMore && bytes == 0) {
    const ErrorCode error = co_await this->ReadSome();
    if (error == asio::error::eof) {
      co_return co_await this->ReadEof();
    }
    if (error) {
      this->OnIoError(error);
      co_return BodyReadStatus::kBroken;
    }
    progress = this->parser->ParseBody(asio::buffer(this->read_buffer), bytes);
  }
  out.append(this->read_buffer.data(), bytes);
  if (progress == daemon::AnswerProgress::kBroken) {
    this->OnBrokenAnswer();
    co_return BodyReadStatus::kBroken;
  }
  co_return progress == daemon::AnswerProgress::kWhole ? BodyReadStatus::kEnd
                                                       : BodyReadStatus::kMore;
}

asio::awaitable<ErrorCode> HttpConnection::ReadSome() {
  ErrorCode error;
  const auto space = this->buffer.prepare(
      boost::beast::read_size(this->buffer, kMaxReadBytes));
  const size_t bytes = co_await this->socket.async_read_some(
      space, asio::redirect_error(asio::use_awaitable, error));
  this->buffer.commit(bytes);
  if (this->link != nullptr) this->link->OnReceived(bytes);
  co_return error;
}

asio::awaitable<BodyReadStatus> HttpConnection::ReadEof() {
  daemon::AnswerEof eof = daemon::AnswerEof::kDelivered;
  if (!serving::IsFramed(this->Framing()) &&
      !co_await this->IsRequestDelivered()) {
    eof = daemon::AnswerEof::kUndelivered;
  }
  if (!this->socket.is_open()) {
    this->OnIoError(asio::error::operation_aborted);
    co_return BodyReadStatus::kBroken;
  }
  if (this->parser->ParseEof(eof) == daemon::AnswerProgress::kWhole) {
    co_return BodyReadStatus::kEnd;
  }
  this->OnIoError(this->send_error ? this->send_error
                                   : http::error::partial_message);
  co_return BodyReadStatus::kBroken;
}

asio::awaitable<bool> HttpConnection::IsRequestDelivered() {
  // A socket reports a reset once. If a write is pending, the write gets it,
  // and the read finds the end of the connection; so it does if the reset
  // follows an end in order.
  while (this->socket.is_open() && !this->send_error) {
    if (!this->sending) this->send_error = TakeSocketError(this->socket);
    const bool is_delivered =
        !this->sending && !this->send_error && this->UnacknowledgedBytes() == 0;
    if (is_delivered) co_return true;
    if (!this->send_error) {
      co_await this->send_ended.Wait(kDeliveryInterval);
    }
  }
  co_return false;
}

size_t HttpConnection::UnacknowledgedBytes() {
  int bytes = 0;
  if (ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return static_cast<size_t>(std::max(0, bytes));
}

void HttpConnection::OnIoError(ErrorCode error) {
  this->last_error = error.message();
  this->ended_by_peer = error == http::error::partial_message ||
                        error == asio::error::eof ||
                        error == asio::error::connection_reset ||
                        error == asio::error::broken_pipe;
}

void HttpConnection::OnBrokenAnswer() {
  this->last_error = serving::AnswerFaultName(this->parser->Fault());
  if (this->parser->Fault() == serving::AnswerFault::kTooLong) {
    this->exceeded = AnswerLimit::kHead;
  }
}

void HttpConnection::OnLimitExceeded(AnswerLimit limit) {
  this->exceeded = limit;
  this->Close();
}

bool HttpConnection::HasContradictoryFraming() const {
  if (!this->parser) return false;
  const auto& head = this->parser->Head();
  constexpr unsigned int kSwitchingProtocols = 101;
  constexpr unsigned int kFirstFinalStatus = 200;
  constexpr unsigned int kNoContent = 204;
  constexpr unsigned int kNotModified = 304;
  const unsigned int status = head.result_int();
  // No request asks for another protocol; what follows is not HTTP.
  if (status == kSwitchingProtocols) return true;
  if (status >= kFirstFinalStatus && status != kNoContent &&
      status != kNotModified) {
    return false;
  }
  if (!this->parser->KeepsAlive()) return true;
  const auto length = head.find(http::field::content_length);
  return head.count(http::field::transfer_encoding) > 0 ||
         (length != head.end() && length->value() != "0");
}

bool HttpConnection::IsReusable() {
  if (!this->socket.is_open() || this->sending) return false;
  const bool is_new = this->exchanges == 0;
  if (!is_new && !this->parser) return false;
  if (!is_new && (!this->parser->IsDone() || !this->parser->KeepsAlive())) {
    return false;
  }
  return this->IsQuiet();
}

bool HttpConnection::IsQuiet() {
  if (this->buffer.size() > 0) return false;
  char byte = 0;
  const ssize_t got =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::RememberRequest(std::string_view request_id) {
  this->carried[this->exchanges % kRememberedRequests] = Hash64(request_id);
}

bool HttpConnection::HasCarried(std::string_view request_id) const {
  return std::ranges::find(this->carried, Hash64(request_id)) !=
         this->carried.end();
}

void HttpConnection::SetAckTimeout(Duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time);
  SetOption(this->socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned int>(ms.count()));
}

void HttpConnection::Close() {
  this->NeverExpire();
  ErrorCode ignored;
  this->socket.close(ignored);
}

void HttpConnection::OnExpired() { this->Close(); }

}  // namespace fuchsiadrum::gateway
