#pragma once

#include <string>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/upstream_limits.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "gateway/stream_follower.h"

namespace fuchsiadrum::gateway {

/// Options of LimitClient.
struct LimitClientOptions {
  /// Name of this gateway process among the holders: "<vm>/<incarnation>".
  std::string holder;
  /// Never null.
  StoreEndpoint* store = nullptr;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// How long a read may wait in the store for a new record.
  Duration long_poll_wait = std::chrono::seconds(4);
  /// Delay between two reads, for each VM of the fleet: each record ends the
  /// pending read of every VM.
  Duration read_interval_per_vm = std::chrono::milliseconds(1);
  Duration min_read_interval = std::chrono::milliseconds(50);
  /// Interval at which the limits are checked for due writes.
  Duration sync_interval = std::chrono::milliseconds(100);
  /// Longest random delay before a rejected write is tried again.
  Duration max_backoff = std::chrono::milliseconds(400);
};

/// Follows the stream of upstreams' limits and writes the updates that
/// serving::UpstreamLimits plans.
class LimitClient {
 public:
  LimitClient(const LimitClientOptions& opts, asio::io_context& io_context,
              Watchdog& watchdog, EventLog& log,
              serving::UpstreamLimits& upstream_limits);

  /// Starts the background coroutines, which run until the process ends.
  void Start();
  /// A limit has changed or shares are given up: an update may be due.
  void Notify() { this->update_due.Notify(); }
  void SetFleetSize(size_t size);
  /// Ends the use of the shares if the lease has ended. Call it before a permit
  /// is used: the VM may have been suspended since the last event.
  void CheckLease();

  /// Time of the last successful read; us is 0 if there was none yet.
  TimePoint LastRead() const { return this->follower.LastRead(); }
  uint64_t Calls() const {
    return this->follower.Calls() + this->writer.Calls();
  }

 private:
  void OnRecord(const store::KeyedRecord& record);
  asio::awaitable<void> WriteLoop();
  /// Reads up to the end of the stream, if that was not done just now.
  asio::awaitable<bool> ReadToEnd();
  asio::awaitable<void> Write(serving::LimitUpdate update);
  std::string EncodeWrite(const serving::LimitUpdate& update,
                          uint64_t end) const;
  void LogWrite(const serving::LimitUpdate& update, uint64_t end, int status);

  LimitClientOptions options;
  asio::io_context& context;
  EventLog& event_log;
  serving::UpstreamLimits& limits;
  StreamFollower follower;
  StoreClient writer;
  AsyncCondition update_due;
  AsyncCondition read_done;
  AsyncCondition timer;
  Rng rng;
};

}  // namespace fuchsiadrum::gateway
