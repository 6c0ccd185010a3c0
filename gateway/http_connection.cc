#include "gateway/http_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/read.hpp>
#include <limits>

#include "fuchsiadrum/core/hash.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Maximum number of body bytes of one read; events of a stream are far
/// smaller.
constexpr size_t kReadBufferBytes = 8192;
/// Maximum size of an answer head.
constexpr uint32_t kMaxHeadBytes = 65536;
/// Maximum number of bytes buffered for the parser: one read, and a head or a
/// chunk-size line, whose length the parser itself does not limit.
constexpr size_t kMaxBufferedBytes = size_t{2} * kMaxHeadBytes;
/// Interval at which the acknowledgement of a request is looked up, because the
/// kernel does not tell when it arrives.
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
  this->parser.emplace();
  this->parser->header_limit(kMaxHeadBytes);
  // If no limit is set, Beast 1.74 refuses every body with a length.
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  ErrorCode error;
  const size_t head_bytes = co_await http::async_read_header(
      this->socket, this->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->OnReadError(error);
    co_return nullptr;
  }
  if (this->link != nullptr) this->link->OnReceived(head_bytes);
  co_return &this->parser->get().base();
}

asio::awaitable<BodyReadStatus> HttpConnection::ReadBody(std::string& out) {
  if (this->parser->is_done()) co_return BodyReadStatus::kEnd;

  auto& body = this->parser->get().body();
  body.data = this->read_buffer.data();
  body.size = this->read_buffer.size();
  body.more = true;
  ErrorCode error;
  const size_t body_bytes = co_await http::async_read_some(
      this->socket, this->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (this->link != nullptr) this->link->OnReceived(body_bytes);
  out.append(this->read_buffer.data(), this->read_buffer.size() - body.size);

  if (error && error != http::error::need_buffer) {
    this->OnReadError(error);
    co_return BodyReadStatus::kBroken;
  }
  if (!this->parser->is_done()) co_return BodyReadStatus::kMore;
  if (!this->EndsWithConnection()) co_return BodyReadStatus::kEnd;
  if (co_await this->IsRequestDelivered()) co_return BodyReadStatus::kEnd;
  this->OnReadError(this->send_error ? this->send_error
                                     : asio::error::operation_aborted);
  co_return BodyReadStatus::kBroken;
}

asio::awaitable<bool> HttpConnection::IsRequestDelivered() {
  // A socket reports a reset once. If a write is pending, the write gets it,
  // and the read finds the end of the connection. After an end in order, no
  // read gets it.
  while (this->socket.is_open() && !this->send_error) {
    if (!this->sending) this->send_error = TakeSocketError(this->socket);
    const bool is_delivered = !this->sending && !this->send_error &&
                              this->UnacknowledgedBytes() == 0;
    if (is_delivered) co_return true;
    if (!this->send_error) co_await this->send_ended.Wait(kDeliveryInterval);
  }
  co_return false;
}

size_t HttpConnection::UnacknowledgedBytes() {
  int bytes = 0;
  if (ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return static_cast<size_t>(std::max(0, bytes));
}

void HttpConnection::OnReadError(ErrorCode error) {
  this->last_error = error.message();
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    this->exceeded = AnswerLimit::kHead;
  }
  this->ended_by_peer = error == http::error::end_of_stream ||
                        error == http::error::partial_message ||
                        error == asio::error::eof ||
                        error == asio::error::connection_reset ||
                        error == asio::error::broken_pipe;
}

void HttpConnection::OnLimitExceeded(AnswerLimit limit) {
  this->exceeded = limit;
  this->Close();
}

serving::AnswerFraming HttpConnection::Framing() const {
  if (this->EndsWithConnection()) return serving::AnswerFraming::kConnection;
  const bool is_chunked = this->parser && this->parser->get().chunked();
  return is_chunked ? serving::AnswerFraming::kChunks
                    : serving::AnswerFraming::kLength;
}

bool HttpConnection::EndsWithConnection() const {
  return this->parser && this->parser->get().need_eof();
}

bool HttpConnection::HasContradictoryFraming() const {
  if (!this->parser) return false;
  const auto& head = this->parser->get();
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
  if (!this->parser->keep_alive()) return true;
  const auto length = head.find(http::field::content_length);
  return head.count(http::field::transfer_encoding) > 0 ||
         (length != head.end() && length->value() != "0");
}

bool HttpConnection::IsReusable() {
  if (!this->socket.is_open() || this->sending) return false;
  const bool is_new = this->exchanges == 0;
  if (!is_new && !this->parser) return false;
  if (!is_new && (!this->parser->is_done() || !this->parser->keep_alive())) {
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
