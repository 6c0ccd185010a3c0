#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::upstream {

/// Number of a connection, unique within the daemon.
using ConnectionId = uint64_t;

/// Options of the monitor.
struct ConnectionMonitorOptions {
  /// Longest silence within an answer before the connection is doubted.
  Duration idle_bound = std::chrono::seconds(3);
  /// Longest time to the first byte of an answer.
  Duration first_byte_bound = std::chrono::seconds(20);
  /// Longest wait for the answer to a probe.
  Duration probe_timeout = std::chrono::milliseconds(1500);
};

/// What the connection owner has to do.
struct ConnectionActions {
  /// Upstreams to probe by a fresh connection (never a pooled one).
  std::vector<std::string> probes;
  /// Connections to close; their requests end as silent.
  std::vector<ConnectionId> closes;
  /// Upstreams whose probe failed: the upstream itself does not answer.
  std::vector<std::string> unreachable;
};

/// Detects connections that stop delivering while new ones work. A silent
/// connection alone does not tell a dead path from a slow engine: a fresh
/// connection is the probe. If it is answered, the silent connection and all
/// pooled ones older than the probe are closed; if not, the upstream is
/// unreachable.
class ConnectionMonitor {
 public:
  explicit ConnectionMonitor(ConnectionMonitorOptions options = {})
      : options(options) {}

  /// A connection to the upstream was opened.
  void OnOpened(TimePoint now, ConnectionId id, const std::string& upstream);
  /// A request was sent; bytes are expected until OnIdle.
  void OnRequest(TimePoint now, ConnectionId id);
  /// Bytes of the answer arrived.
  void OnBytes(TimePoint now, ConnectionId id);
  /// The answer is complete; the connection went back to the pool.
  void OnIdle(ConnectionId id);
  /// The connection was closed by either side.
  void OnClosed(ConnectionId id);
  /// The probe was answered or failed.
  void OnProbe(TimePoint now, const std::string& upstream, bool answered,
               ConnectionActions& out);
  /// Call every 100 ms.
  void OnTick(TimePoint now, ConnectionActions& out);

  /// Open connections, for metrics.
  size_t Size() const { return this->connections.size(); }

 private:
  struct Connection {
    std::string upstream;
    TimePoint opened;
    /// Last byte, or the request; nullopt: in the pool.
    std::optional<TimePoint> waiting_since;
    bool first_byte_seen = false;
  };
  struct Probe {
    TimePoint started;
  };

  bool IsSilent(TimePoint now, const Connection& connection) const;
  void CloseOlder(TimePoint now, const std::string& upstream, TimePoint probe,
                  bool all, ConnectionActions& out);

  ConnectionMonitorOptions options;
  std::map<ConnectionId, Connection> connections;
  std::map<std::string, Probe> probes;
};

}  // namespace fuchsiadrum::upstream
