#pragma once

#include <functional>
#include <string>

#include "gateway/asio.h"
#include "gateway/watchdog.h"

namespace fuchsiadrum::gateway {

/// Small HTTP server for pages that are generated for each request: readiness
/// and metrics.
class PageServer {
 public:
  struct Page {
    int status = 200;
    std::string body;
  };
  using Handler = std::function<Page(std::string_view path)>;

  PageServer(asio::io_context& io_context, Watchdog& timeouts,
             Handler page_handler)
      : context(io_context),
        watchdog(timeouts),
        handler(std::move(page_handler)),
        acceptor(io_context) {}

  /// Listens at "IP:port" and serves it. Returns the reason of a failure, or an
  /// empty string.
  std::string Open(const std::string& address);
  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

 private:
  void Serve(Tcp::socket socket);

  asio::io_context& context;
  Watchdog& watchdog;
  Handler handler;
  Tcp::acceptor acceptor;
};

}  // namespace fuchsiadrum::gateway
