#include "fuchsiadrum/upstream/connection_monitor.h"

#include <algorithm>

namespace fuchsiadrum::upstream {

void ConnectionMonitor::OnOpened(TimePoint now, ConnectionId id,
                                 const std::string& upstream) {
  this->connections[id] = {.upstream = upstream, .opened = now};
}

void ConnectionMonitor::OnRequest(TimePoint now, ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  found->second.waiting_since = now;
  found->second.first_byte_seen = false;
}

void ConnectionMonitor::OnBytes(TimePoint now, ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  found->second.waiting_since = now;
  found->second.first_byte_seen = true;
}

void ConnectionMonitor::OnIdle(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found != this->connections.end()) found->second.waiting_since.reset();
}

void ConnectionMonitor::OnClosed(ConnectionId id) {
  this->connections.erase(id);
}

void ConnectionMonitor::OnProbe(TimePoint now, const std::string& upstream,
                                bool answered, ConnectionActions& out) {
  const auto probe = this->probes.find(upstream);
  if (probe == this->probes.end()) return;
  const TimePoint started = probe->second.started;
  this->probes.erase(probe);
  if (!answered) out.unreachable.push_back(upstream);
  this->CloseOlder(now, upstream, started, !answered, out);
}

void ConnectionMonitor::OnTick(TimePoint now, ConnectionActions& out) {
  for (const auto& [id, connection] : this->connections) {
    if (!this->IsSilent(now, connection)) continue;
    if (this->probes.emplace(connection.upstream, Probe{now}).second) {
      out.probes.push_back(connection.upstream);
    }
  }

  // A probe without an answer is a failed probe.
  std::vector<std::string> expired;
  for (const auto& [upstream, probe] : this->probes) {
    if (now - probe.started >= this->options.probe_timeout) {
      expired.push_back(upstream);
    }
  }
  for (const std::string& upstream : expired) {
    this->OnProbe(now, upstream, false, out);
  }
}

bool ConnectionMonitor::IsSilent(TimePoint now,
                                 const Connection& connection) const {
  if (!connection.waiting_since) return false;
  const Duration bound = connection.first_byte_seen
                             ? this->options.idle_bound
                             : this->options.first_byte_bound;
  return now - *connection.waiting_since >= bound;
}

void ConnectionMonitor::CloseOlder(TimePoint now, const std::string& upstream,
                                   TimePoint probe, bool all,
                                   ConnectionActions& out) {
  // Connections that deliver bytes within the bound are left alone; pooled
  // ones of the same age as the silent one share its path.
  std::vector<ConnectionId> closing;
  for (const auto& [id, connection] : this->connections) {
    if (connection.upstream != upstream || connection.opened > probe) continue;
    const bool pooled = !connection.waiting_since;
    if (pooled || this->IsSilent(now, connection)) closing.push_back(id);
  }
  // Without an answer to the probe nothing is known to be better; only the
  // silent requests end.
  for (const ConnectionId id : closing) {
    const bool pooled = !this->connections.at(id).waiting_since;
    if (all && pooled) continue;
    out.closes.push_back(id);
    this->connections.erase(id);
  }
}

}  // namespace fuchsiadrum::upstream
