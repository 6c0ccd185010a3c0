#pragma once

#include <string>
#include <vector>

#include "fuchsiadrum/serving/stream_versions.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "gateway/stream_follower.h"

namespace fuchsiadrum::gateway {

/// Options of VersionClient.
struct VersionClientOptions {
  /// Never null.
  StoreEndpoint* store = nullptr;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// Interval between two reads of the records while nobody asks for them.
  Duration read_interval = std::chrono::seconds(2);
  /// Interval at which due writes are looked for without a notification.
  Duration sync_interval = std::chrono::seconds(1);
  /// Delay before a write that failed is tried again.
  Duration retry_interval = std::chrono::milliseconds(50);
  /// Age of an unanswered write above which no stream is begun that needs one.
  Duration slow_write_age = std::chrono::milliseconds(300);
};

/// Follows the stream of records that tell which software version began a
/// stream, and writes the records that serving::StreamVersions plans.
class VersionClient {
 public:
  VersionClient(const VersionClientOptions& opts, asio::io_context& io_context,
                Watchdog& watchdog, EventLog& log,
                serving::StreamVersions& stream_versions);

  /// Starts the background coroutines, which run until the process ends.
  void Start();
  /// The entries of the upstreams were read: a version may be new.
  void OnEntriesRead() { this->update_due.Notify(); }
  /// Reads the records to their present end. Returns false if that takes longer
  /// than `timeout`.
  asio::awaitable<bool> ReadToPresent(Duration timeout);
  /// An origin was set (StreamVersions::Begin) that has to be recorded.
  void OnBegun() { this->stream_begun.Notify(); }
  /// Waits until the origin of the attempt's stream is recorded. Returns false
  /// if that takes longer than `timeout`.
  asio::awaitable<bool> AwaitRecorded(std::string attempt, Duration timeout);
  /// False while the store does not answer writes of records.
  bool CanRecord(TimePoint now) const;

  /// Time of the last successful read; us is 0 if there was none yet.
  TimePoint LastRead() const { return this->follower.LastRead(); }
  uint64_t Calls() const;

 private:
  void OnRecord(const store::KeyedRecord& record);
  asio::awaitable<void> ServiceLoop();
  asio::awaitable<void> StreamLoop();
  asio::awaitable<void> WriteServices();
  /// Writes origins that are due and deletes old ones; false if the store did
  /// not confirm it.
  asio::awaitable<bool> WriteStreams();

  VersionClientOptions options;
  asio::io_context& context;
  EventLog& event_log;
  serving::StreamVersions& versions;
  StreamFollower follower;
  StoreClient service_writer;
  StoreClient stream_writer;
  AsyncCondition update_due;
  AsyncCondition stream_begun;
  AsyncCondition streams_recorded;
  AsyncCondition read_done;
  AsyncCondition timer;
  /// Since when origins wait for an answer of the store; us is 0: none does.
  TimePoint write_begun;
};

}  // namespace fuchsiadrum::gateway
