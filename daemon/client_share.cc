#include "daemon/client_share.h"

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "fuchsiadrum/serving/client_limits.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

ClientShare::ClientShare(const ClientShareOptions& share_options,
                         DaemonMetrics& daemon_metrics)
    : options(share_options),
      metrics(daemon_metrics),
      gate({.max_connections = share_options.max_connections},
           [this](GateAction action) { this->Count(action); }),
      bytes(share_options.max_bytes) {}

size_t ClientShare::BoundFor(size_t request_bytes) const {
  serving::ClientLimits limits;
  limits.SetTotal(this->options.max_bytes);
  return limits.BoundFor(request_bytes);
}

void ClientShare::CountMemory() { this->Count("memory"); }

void ClientShare::Count(GateAction action) {
  switch (action) {
    case GateAction::kClosedForConnection:
      return this->Count("connections");
    case GateAction::kRefusedConnection:
      return this->Count("refused-connections");
    case GateAction::kNotAccepted:
      return this->Count("descriptors");
    case GateAction::kClosedForMemory:
      return this->Count("stalled");
  }
}

void ClientShare::Count(const char* cause) {
  this->metrics.Count(this->options.server + "_client_limits_total", "limit",
                      cause);
  ++this->unlogged;
  const TimePoint now = Now();
  if (now - this->logged_at < kLogInterval) return;
  LogLine("warning", this->options.server + ": limit \"" + cause +
                         "\", met by " + std::to_string(this->unlogged) +
                         " clients since the last line");
  this->logged_at = now;
  this->unlogged = 0;
}

}  // namespace fuchsiadrum::daemon
