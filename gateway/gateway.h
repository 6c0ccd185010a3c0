#pragma once

#include <string>

#include "gateway/gateway_core.h"
#include "gateway/page_server.h"

namespace fuchsiadrum::gateway {

/// The whole gateway in one thread: listeners, the core, and the planned stop.
class Gateway {
 public:
  explicit Gateway(const pb::GatewaySettings& gateway_settings);

  /// Opens all addresses; otherwise the reason.
  std::string Open();
  /// Runs until a planned stop has ended.
  void Run();

 private:
  asio::awaitable<void> AcceptLoop();
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
