#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/serving/fleet_upstream.h"
#include "gateway/http_connection.h"

namespace fuchsiadrum::gateway {

/// Options of UpstreamPool.
struct UpstreamPoolOptions {
  /// Idle connections are closed after this time, because upstreams may drop
  /// them sooner than they announce.
  Duration max_idle = std::chrono::seconds(4);
  /// The same limit for requests that must not be repeated. It is shorter
  /// because a request sent on a connection that the upstream has already
  /// dropped would have an unknown outcome.
  Duration max_idle_unrepeatable = std::chrono::milliseconds(1500);
  /// Fraction of the idle timeout announced by the upstream for which a
  /// connection is kept.
  double keep_alive_fraction = 0.6;
  /// Idle connections to all upstreams; 0: no limit. A caller that uses one
  /// request id again and again gets a new connection for each request.
  size_t max_connections = 0;
};

/// Idle connections to upstreams. An upstream that is listed with another
/// address or start than before gets new connections.
class UpstreamPool {
 public:
  using OnLost = std::function<void(const serving::UpstreamEntry&)>;

  /// `handler` is called when an idle connection is found closed before its
  /// time: the upstream may have been started again.
  UpstreamPool(const UpstreamPoolOptions& opts, asio::io_context& io_context,
               Watchdog& timeouts, serving::LinkLoad& link_load, OnLost handler)
      : options(opts),
        context(io_context),
        watchdog(timeouts),
        link(link_load),
        on_lost(std::move(handler)) {}

  /// Removes a reusable idle connection that has not carried a request with
  /// this id from the pool and returns it, or nullptr if there is none.
  /// `repeatable` tells whether the request may be repeated.
  std::shared_ptr<HttpConnection> TakeIdle(const serving::UpstreamEntry& entry,
                                           std::string_view request_id,
                                           bool repeatable);
  /// Creates a connection that is not connected yet.
  std::shared_ptr<HttpConnection> MakeNew();
  /// Puts the connection into the pool if it can carry another request, and
  /// closes it otherwise. `keep_alive` is the idle timeout that the upstream
  /// has announced, if any.
  void Release(const serving::UpstreamEntry& entry,
               std::shared_ptr<HttpConnection> connection,
               std::optional<Duration> keep_alive);
  /// Closes connections that have passed their idle limit.
  void OnTick(TimePoint now);
  /// Number of connections created so far.
  uint64_t Opened() const { return this->opened; }

 private:
  struct IdleConnection {
    std::shared_ptr<HttpConnection> connection;
    TimePoint since;
    TimePoint until;
  };

  static std::string KeyOf(const serving::UpstreamEntry& entry);

  UpstreamPoolOptions options;
  asio::io_context& context;
  Watchdog& watchdog;
  serving::LinkLoad& link;
  OnLost on_lost;
  /// Connections by the upstream's id, address and start.
  std::unordered_map<std::string, std::vector<IdleConnection>> idle;
  /// Number of connections in `idle`.
  size_t idle_count = 0;
  uint64_t opened = 0;
};

}  // namespace fuchsiadrum::gateway
