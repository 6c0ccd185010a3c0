#pragma once

#include <string>

#include "gateway/gateway_core.h"
#include "gateway/page_server.h"

namespace fuchsiadrum::gateway {

/// The whole gateway: its listeners, its core, and its orderly stop after
/// SIGTERM or SIGINT. Runs in one thread. It must live as long as the process,
/// because open connections refer to it.
class Gateway {
 public:
  explicit Gateway(const pb::GatewaySettings& gateway_settings);

  /// Opens all listeners. Returns the reason of a failure, or an empty string.
  std::string Open();
  /// Serves until an orderly stop has ended.
  void Run();
  /// Ends Run at once, without an orderly stop. May be called from any thread.
  void Halt() { this->context.stop(); }
  /// The bound ports; they differ from the settings if those name port 0.
  uint16_t CallersPort() const {
    return this->acceptor.local_endpoint().port();
  }
  uint16_t ReadinessPort() const { return this->readiness.Port(); }
  uint16_t MetricsPort() const { return this->metrics.Port(); }

 private:
  void Serve(Tcp::socket socket);
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> WaitForSignals();
  asio::awaitable<void> Stop();
  /// Accepts the connections that are queued, then closes the acceptor.
  void CloseAcceptor();
  void CloseIdleCallers();

  pb::GatewaySettings settings;
  asio::io_context context{1};
  GatewayCore core;
  Tcp::acceptor acceptor;
  PageServer readiness;
  PageServer metrics;
};

}  // namespace fuchsiadrum::gateway
