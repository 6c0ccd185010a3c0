#pragma once

#include <functional>
#include <map>
#include <string>

#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/upstream_crash.h"
#include "gateway/asio.h"
#include "gateway/event_log.h"
#include "gateway/upstream_pool.h"

namespace fuchsiadrum::gateway {

/// Options of CrashWatch.
struct CrashWatchOptions {
  /// Time in which the runs that an upstream has lost at one moment are
  /// collected.
  Duration collect_time = std::chrono::milliseconds(10);
  /// An upstream that takes no connection within this time has crashed, and so
  /// has one that does not keep it for `settle_time`: a process that ends may
  /// still take some.
  Duration connect_timeout = std::chrono::milliseconds(200);
  Duration settle_time = std::chrono::milliseconds(20);
};

/// Finds out whether upstreams that closed connections in the middle of runs
/// have crashed, or have only broken off some answers: one that lives takes
/// another connection.
class CrashWatch {
 public:
  using OnCrash = std::function<void(const serving::UpstreamCrash&)>;

  CrashWatch(const CrashWatchOptions& opts, asio::io_context& io_context,
             UpstreamPool& upstream_pool, EventLog& log, OnCrash handler)
      : options(opts),
        context(io_context),
        pool(upstream_pool),
        event_log(log),
        on_crash(std::move(handler)) {}

  /// The upstream closed its connection before it had proven its prompt.
  void OnLostRun(const serving::FleetUpstreamPtr& upstream,
                 serving::LostRun run);
  /// True if the upstream takes and keeps another connection, which then waits
  /// in the pool for a request.
  asio::awaitable<bool> IsReachable(const serving::FleetUpstream& upstream);
  /// Crashes that were found.
  uint64_t Crashes() const { return this->crashes; }

 private:
  asio::awaitable<void> Examine(serving::FleetUpstreamPtr upstream);
  asio::awaitable<void> Wait(Duration time);

  CrashWatchOptions options;
  asio::io_context& context;
  UpstreamPool& pool;
  EventLog& event_log;
  OnCrash on_crash;
  /// Lost runs of upstreams that are being examined, by CrashKey.
  std::map<std::string, serving::UpstreamCrash> pending;
  uint64_t crashes = 0;
};

}  // namespace fuchsiadrum::gateway
