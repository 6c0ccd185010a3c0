#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/answer_fault_log.h"
#include "daemon/http_client_connection.h"

namespace fuchsiadrum::daemon {

/// Idle connections to the upstreams, by address.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& io_context, size_t max_idle,
                 DaemonMetrics& daemon_metrics)
      : context(io_context),
        max_idle_connections(max_idle),
        faults(daemon_metrics) {}

  /// Executor of the connections.
  asio::io_context::executor_type Executor() {
    return this->context.get_executor();
  }
  /// An open idle connection; nullptr if there is none.
  std::shared_ptr<HttpClientConnection> Take(const std::string& address);
  /// A connection that has yet to be connected.
  std::shared_ptr<HttpClientConnection> New();
  /// Gives a connection back; it is closed if it cannot be reused.
  void Give(const std::string& address,
            std::shared_ptr<HttpClientConnection> connection);
  /// Closes all idle connections of an upstream that went silent.
  void CloseAll(const std::string& address);

 private:
  asio::io_context& context;
  size_t max_idle_connections;
  AnswerFaultLog faults;
  std::map<std::string, std::vector<std::shared_ptr<HttpClientConnection>>>
      idle;
};

}  // namespace fuchsiadrum::daemon
