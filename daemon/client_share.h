#pragma once

#include <string>

#include "daemon/client_gate.h"
#include "daemon/daemon_metrics.h"
#include "fuchsiadrum/core/byte_budget.h"

namespace fuchsiadrum::daemon {

/// Options of a ClientShare.
struct ClientShareOptions {
  /// Label of the metrics, "front" or "admin".
  std::string server;
  /// Open connections; 0: no limit.
  size_t max_connections = 0;
  /// Bytes of all requests together; 0: no limit.
  size_t max_bytes = 0;
};

/// What the connections of one HTTP server may hold together. One thread. The
/// connections share it, because they may outlive the server.
class ClientShare {
 public:
  ClientShare(const ClientShareOptions& share_options,
              DaemonMetrics& daemon_metrics);

  ClientGate& Gate() { return this->gate; }
  ByteBudget& Bytes() { return this->bytes; }
  /// The share of a request that holds `bytes`: large ones leave room for
  /// others. 0: no limit.
  size_t BoundFor(size_t bytes) const;
  /// Counts a request that was refused for the memory of all together.
  void CountMemory();

 private:
  void Count(GateAction action);
  /// Counts and, at most once a second, logs.
  void Count(const char* cause);

  ClientShareOptions options;
  DaemonMetrics& metrics;
  ClientGate gate;
  ByteBudget bytes;
  TimePoint logged_at;
  uint64_t unlogged = 0;
};

}  // namespace fuchsiadrum::daemon
