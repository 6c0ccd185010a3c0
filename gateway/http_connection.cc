#include "gateway/http_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/beast/http/read.hpp>
#include <limits>

#include "settings/endpoint.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Bytes of one read; events of a stream are far smaller.
constexpr size_t kChunkBytes = 8192;
/// Largest head of an answer.
constexpr uint32_t kMostHeadBytes = 65536;
/// Most bytes that wait for the parser: a head, or the line of a chunk's size,
/// which the parser itself does not bound, and one read.
constexpr size_t kMostBuffered = size_t{2} * kMostHeadBytes;
/// Keep-alive probes of the kernel: an end that a partition or a loss of power
/// hides is found after this many seconds, plus the probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;
/// Longest time that sent bytes may stay unacknowledged, milliseconds.
constexpr unsigned int kUserTimeoutMs = 2500;

void SetOption(Tcp::socket& socket, int level, int name, auto value) {
  // Options only sharpen the detection of dead peers; a failure leaves the
  // time limits of the caller in place.
  static_cast<void>(
      setsockopt(socket.native_handle(), level, name, &value, sizeof(value)));
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& context,
                               serving::LinkLoad* link_load)
    : socket(context),
      link(link_load),
      buffer(kMostBuffered),
      chunk(kChunkBytes) {}

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
  SetOption(this->socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(this->socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  co_return true;
}

void HttpConnection::StartSend(std::string head,
                               std::shared_ptr<const std::string> body) {
  this->send_head = std::move(head);
  this->send_body = std::move(body);
  this->sending = true;
  std::array<asio::const_buffer, 2> parts = {asio::buffer(this->send_head),
                                             asio::const_buffer()};
  if (this->send_body) parts[1] = asio::buffer(*this->send_body);
  if (this->link != nullptr) this->link->OnSent(asio::buffer_size(parts));
  asio::async_write(this->socket, parts,
                    [self = this->shared_from_this()](ErrorCode error, size_t) {
                      // A failed write shows in the read of the answer.
                      if (!error) self->sending = false;
                    });
}

asio::awaitable<const platform::HttpAnswerHead*> HttpConnection::ReadHead() {
  this->parser.emplace();
  this->parser->header_limit(kMostHeadBytes);
  // Without a limit, Beast 1.74 refuses every body with a length.
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  ErrorCode error;
  const size_t head_bytes = co_await http::async_read_header(
      this->socket, this->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return nullptr;
  if (this->link != nullptr) this->link->OnReceived(head_bytes);
  co_return &this->parser->get().base();
}

asio::awaitable<BodyPart> HttpConnection::ReadBody(std::string& out) {
  if (this->parser->is_done()) co_return BodyPart::kEnd;

  auto& body = this->parser->get().body();
  body.data = this->chunk.data();
  body.size = this->chunk.size();
  body.more = true;
  ErrorCode error;
  const size_t body_bytes = co_await http::async_read_some(
      this->socket, this->buffer, *this->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (this->link != nullptr) this->link->OnReceived(body_bytes);
  out.append(this->chunk.data(), this->chunk.size() - body.size);

  if (error && error != http::error::need_buffer) co_return BodyPart::kBroken;
  co_return this->parser->is_done() ? BodyPart::kEnd : BodyPart::kMore;
}

bool HttpConnection::IsReusable() {
  if (!this->socket.is_open() || this->sending || !this->parser) return false;
  if (!this->parser->is_done() || !this->parser->keep_alive()) return false;
  if (this->buffer.size() > 0) return false;
  char byte = 0;
  const ssize_t got =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
