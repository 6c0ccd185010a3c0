#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/http_connection.h"

namespace fuchsiadrum::gateway {

/// Options of the pool.
struct UpstreamPoolOptions {
  /// Idle connections are closed after this time; upstreams may drop them
  /// sooner than they say.
  Duration longest_idle = std::chrono::seconds(4);
  /// For requests that may not be repeated: a connection that the upstream has
  /// dropped meanwhile would leave their outcome unknown.
  Duration longest_idle_unrepeatable = std::chrono::milliseconds(1500);
  /// Part of the upstream's own idle time that is used.
  double keep_alive_part = 0.6;
};

/// Idle connections to upstreams, by the upstream's id.
class UpstreamPool {
 public:
  UpstreamPool(const UpstreamPoolOptions& opts, asio::io_context& io_context,
               Watchdog& timeouts, serving::LinkLoad& link_load)
      : options(opts),
        context(io_context),
        watchdog(timeouts),
        link(link_load) {}

  /// An idle connection in good order; nullptr: none.
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& upstream,
                                           bool repeatable);
  /// A connection that is not yet open.
  std::shared_ptr<HttpConnection> MakeNew();
  /// Keeps the connection if it can serve another request.
  void GiveBack(const std::string& upstream,
                std::shared_ptr<HttpConnection> connection,
                std::optional<Duration> keep_alive);
  /// Closes connections that have been idle for too long.
  void OnTick(TimePoint now);
  /// Connections that were opened.
  uint64_t Opened() const { return this->opened; }

 private:
  struct Idle {
    std::shared_ptr<HttpConnection> connection;
    TimePoint since;
    TimePoint until;
  };

  UpstreamPoolOptions options;
  asio::io_context& context;
  Watchdog& watchdog;
  serving::LinkLoad& link;
  std::unordered_map<std::string, std::vector<Idle>> idle;
  uint64_t opened = 0;
};

}  // namespace fuchsiadrum::gateway
