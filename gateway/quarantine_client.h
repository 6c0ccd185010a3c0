#pragma once

#include <string>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/prompt_quarantine.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "gateway/stream_follower.h"

namespace fuchsiadrum::gateway {

/// Options of QuarantineClient.
struct QuarantineClientOptions {
  /// Name of this gateway process: "<vm>/<incarnation>".
  std::string holder;
  /// Never null.
  StoreEndpoint* store = nullptr;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// How long a read may wait in the store for a new record. Together with the
  /// timeout it bounds the time after which a dead connection is noticed.
  Duration long_poll_wait = std::chrono::milliseconds(2000);
  /// Delay between two reads, for each VM of the fleet: each record ends the
  /// pending read of every VM.
  Duration read_interval_per_vm = std::chrono::milliseconds(1);
  Duration min_read_interval = std::chrono::milliseconds(10);
  Duration sync_interval = std::chrono::milliseconds(100);
  /// Longest random delay before a rejected write is tried again.
  Duration max_backoff = std::chrono::milliseconds(50);
};

/// Follows the stream of crashes and quarantines and writes the updates that
/// serving::PromptQuarantine plans.
class QuarantineClient {
 public:
  QuarantineClient(const QuarantineClientOptions& opts,
                   asio::io_context& io_context, Watchdog& watchdog,
                   EventLog& log, serving::PromptQuarantine& quarantine);

  /// Starts the background coroutines, which run until the process ends.
  void Start();
  /// An update may be due.
  void Notify() { this->update_due.Notify(); }
  void SetFleetSize(size_t size);
  /// Logs what has changed since the last call.
  void LogChanges();

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
  asio::awaitable<void> Write(serving::QuarantineUpdate update);

  QuarantineClientOptions options;
  asio::io_context& context;
  EventLog& event_log;
  serving::PromptQuarantine& quarantines;
  StreamFollower follower;
  StoreClient writer;
  AsyncCondition update_due;
  AsyncCondition read_done;
  AsyncCondition timer;
  Rng rng;
};

}  // namespace fuchsiadrum::gateway
