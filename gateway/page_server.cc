#include "gateway/page_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>

#include "gateway/acceptor.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

namespace http = boost::beast::http;

/// Time limit for one request and its answer, including the idle time before
/// the request; the connection is closed after it.
constexpr Duration kPageIdleTimeout = std::chrono::seconds(15);
/// Maximum number of bytes buffered for the parser, which does not limit the
/// length of a chunk-size line itself.
constexpr size_t kMaxBufferedBytes = 16384;

/// One connection of a client; it serves requests until the client closes it.
class PageConnection : public Timed {
 public:
  explicit PageConnection(Tcp::socket accepted) : socket(std::move(accepted)) {}

  asio::awaitable<void> Run(const PageServer::Handler& handler) {
    boost::beast::flat_buffer buffer(kMaxBufferedBytes);
    ErrorCode error;
    while (!error) {
      this->ExpireAt(Now() + kPageIdleTimeout);
      http::request<http::empty_body> request;
      co_await http::async_read(
          this->socket, buffer, request,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) break;

      const auto target = request.target();
      PageServer::Page page =
          handler(std::string_view(target.data(), target.size()));
      http::response<http::string_body> response(
          static_cast<http::status>(page.status), request.version());
      response.set(http::field::content_type, "text/plain; version=0.0.4");
      response.keep_alive(request.keep_alive());
      response.body() = std::move(page.body);
      response.prepare_payload();
      co_await http::async_write(
          this->socket, response,
          asio::redirect_error(asio::use_awaitable, error));
      if (!request.keep_alive()) break;
    }
  }

 protected:
  void OnExpired() override {
    ErrorCode ignored;
    this->socket.close(ignored);
  }

 private:
  Tcp::socket socket;
};

}  // namespace

std::string PageServer::Open(const std::string& address) {
  std::string reason = OpenAcceptor(this->acceptor, address);
  if (reason.empty()) {
    asio::co_spawn(this->context,
                   AcceptAll(this->acceptor,
                             [this](Tcp::socket socket) {
                               this->Serve(std::move(socket));
                             }),
                   asio::detached);
  }
  return reason;
}

void PageServer::Serve(Tcp::socket socket) {
  auto connection = std::make_shared<PageConnection>(std::move(socket));
  this->watchdog.Watch(*connection);
  asio::co_spawn(
      this->context,
      [connection, this]() -> asio::awaitable<void> {
        co_await connection->Run(this->handler);
      },
      asio::detached);
}

}  // namespace fuchsiadrum::gateway
