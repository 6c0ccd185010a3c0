#pragma once

#include <functional>
#include <map>
#include <string>

#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/liveness_probe.h"
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
  /// Time within which an upstream that is alive accepts a connection.
  Duration connect_timeout = std::chrono::milliseconds(200);
  /// Time for which a connection has to stay open to count as kept, and before
  /// another one is opened.
  Duration settle_time = std::chrono::milliseconds(20);
  serving::LivenessProbeOptions probe;
};

/// Finds out whether upstreams that closed connections in the middle of runs
/// have crashed, or have only broken off some answers.
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
  /// True if the upstream's process is alive, by connections that are opened to
  /// it. One that it keeps waits in the pool for a request.
  asio::awaitable<bool> IsAlive(const serving::FleetUpstream& upstream);
  /// Crashes that were found.
  uint64_t Crashes() const { return this->crashes; }

 private:
  asio::awaitable<serving::ProbeResult> Probe(
      const serving::UpstreamEntry& entry);
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
