#include "gateway/client_limit_log.h"

#include <string_view>

#include "gateway/gateway_metrics.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
/// Lines about single clients in a second; an operator needs a few examples.
constexpr int kMaxClientLines = 10;

constexpr std::array<std::string_view, 11> kNames = {
    "connections", "refused-connections", "descriptors", "head-bytes",
    "head-fields", "body-bytes",          "line-bytes",  "memory",
    "stalled",     "unread-time",         "malformed"};

}  // namespace

void ClientLimitLog::Count(daemon::GateAction action) {
  switch (action) {
    case daemon::GateAction::kClosedForConnection:
      return this->Count(ClientLimit::kConnections);
    case daemon::GateAction::kRefusedConnection:
      return this->Count(ClientLimit::kRefusal);
    case daemon::GateAction::kNotAccepted:
      return this->Count(ClientLimit::kDescriptors);
    case daemon::GateAction::kClosedForMemory:
      return this->Count(ClientLimit::kStalledMemory);
  }
}

void ClientLimitLog::Count(daemon::RequestFault fault) {
  switch (fault) {
    case daemon::RequestFault::kNone:
      return;
    case daemon::RequestFault::kMalformedHead:
    case daemon::RequestFault::kMalformedBody:
      return this->Count(ClientLimit::kMalformed);
    case daemon::RequestFault::kHeadBytes:
      return this->Count(ClientLimit::kHeadBytes);
    case daemon::RequestFault::kHeadFields:
      return this->Count(ClientLimit::kHeadFields);
    case daemon::RequestFault::kBodyBytes:
      return this->Count(ClientLimit::kBodyBytes);
    case daemon::RequestFault::kLineBytes:
      return this->Count(ClientLimit::kLineBytes);
  }
}

bool ClientLimitLog::MayLogClient(TimePoint now) {
  if (now - this->logged_at >= kLogInterval) this->OnTick(now);
  return ++this->client_lines <= kMaxClientLines;
}

void ClientLimitLog::OnTick(TimePoint now) {
  if (now - this->logged_at < kLogInterval) return;
  this->logged_at = now;
  this->client_lines = 0;
  for (size_t i = 0; i < kLimits; ++i) {
    Counter& counter = this->limits[i];
    if (counter.total == counter.logged) continue;
    this->log.Write(
        "client-limit",
        {{"limit", kNames[i]},
         {"clients", static_cast<int64_t>(counter.total - counter.logged)}});
    counter.logged = counter.total;
  }
}

void ClientLimitLog::AddMetrics(std::string& text) const {
  for (size_t i = 0; i < kLimits; ++i) {
    std::string name = "client_limits_total{limit=\"";
    name.append(kNames[i]).append("\"}");
    text +=
        GatewayMetrics::Line(name, static_cast<double>(this->limits[i].total));
  }
}

}  // namespace fuchsiadrum::gateway
