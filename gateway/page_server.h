#pragma once

#include <functional>
#include <string>

#include "daemon/client_gate.h"
#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

class GatewayCore;

/// Small HTTP server for pages that are generated for each request: readiness
/// and metrics.
class PageServer {
 public:
  struct Page {
    int status = 200;
    std::string body;
  };
  using Handler = std::function<Page(std::string_view path)>;

  PageServer(asio::io_context& io_context, GatewayCore& gateway_core,
             Handler page_handler);

  /// Listens at "IP:port" and serves it. Returns the reason of a failure, or an
  /// empty string.
  std::string Open(const std::string& address);
  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

 private:
  void Serve(Tcp::socket socket);

  asio::io_context& context;
  GatewayCore& core;
  Handler handler;
  daemon::ClientGate gate;
  Tcp::acceptor acceptor;
};

}  // namespace fuchsiadrum::gateway
