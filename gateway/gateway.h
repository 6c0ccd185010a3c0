#pragma once

#include <string>

#include "gateway/gateway_core.h"
#include "gateway/page_server.h"

namespace fuchsiadrum::gateway {

/// The whole gateway in one thread: listeners, the core, and the planned stop.
/// It lives as long as the process, since open connections refer to it.
class Gateway {
 public:
  explicit Gateway(const pb::GatewaySettings& gateway_settings);

  /// Opens all addresses; otherwise the reason.
  std::string Open();
  /// Runs until a planned stop has ended.
  void Run();
  /// Ends Run at once, without a planned stop. Any thread.
  void Halt() { this->context.stop(); }
  /// Ports in use.
  uint16_t CallersPort() const {
    return this->acceptor.local_endpoint().port();
  }
  uint16_t ReadinessPort() const { return this->readiness.Port(); }

 private:
  void Serve(Tcp::socket socket);
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> WaitForSignals();
  asio::awaitable<void> Stop();

  pb::GatewaySettings settings;
  asio::io_context context{1};
  GatewayCore core;
  Tcp::acceptor acceptor;
  PageServer readiness;
  PageServer metrics;
};

}  // namespace fuchsiadrum::gateway
