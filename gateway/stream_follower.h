#pragma once

#include <functional>
#include <string>

#include "fuchsiadrum/store/keyed_view.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"

namespace fuchsiadrum::gateway {

/// Options of a StreamFollower.
struct StreamFollowerOptions {
  platform::Stream stream = platform::Stream::kOperators;
  /// How long the store may delay the answer to a read until there is a new
  /// record (long polling); zero: it answers at once.
  Duration long_poll_wait = Duration::zero();
  /// If the proven state is older than this when an answer arrives, the tail is
  /// read at once, without a wait. For streams of which ProvenUntil must stay
  /// recent; costs at most one more call for each read.
  Duration max_proof_age = Duration::max();
  /// Delay between two reads of the tail.
  Duration interval = Duration::zero();
  /// Maximum size of one read. The default takes 0.1 s on a link of 10 Mbit/s.
  size_t max_bytes = 131072;
  /// After a failed read, continue with the newest record of each key instead
  /// of the tail: outdated records are of no use and may be too many for the
  /// link.
  bool skip_to_newest_after_failure = false;
  /// Number of unread records above which the newest record of each key is read
  /// instead of the tail; 0: the tail is always read. For large records of
  /// which only the last one matters.
  uint64_t max_lag_records = 0;
  /// Time in addition to `long_poll_wait` after which a read counts as failed.
  Duration timeout = std::chrono::milliseconds(600);
  /// Delay after a failed read; it doubles with each further one, up to
  /// `max_backoff`.
  Duration initial_backoff = std::chrono::milliseconds(60);
  Duration max_backoff = std::chrono::milliseconds(500);
  /// How long a key that a restored copy of the store lacks keeps its value:
  /// its owner writes it again.
  Duration keep_unconfirmed = Duration::zero();
};

/// Follows one stream of the store: reads the newest record of each key and
/// then the tail, reconnects after failures, and reports when reads fail and
/// when they succeed again.
class StreamFollower {
 public:
  struct Handlers {
    /// A key was set or removed.
    store::KeyedView::OnChange on_change;
    /// A read has succeeded, and on_change was called for all its records.
    std::function<void()> on_read;
    /// A read has succeeded after at least one has failed.
    std::function<void()> on_recovered;
  };

  StreamFollower(const StreamFollowerOptions& opts, Handlers callbacks,
                 asio::io_context& context, Watchdog& watchdog, EventLog& log,
                 StoreEndpoint& store);

  /// Reads the stream until the process ends.
  asio::awaitable<void> Run();
  /// Sets the delay between two reads of the tail.
  void SetInterval(Duration interval) { this->options.interval = interval; }
  /// True while the follower waits between two reads.
  bool IsPausing() const { return this->pausing; }
  /// True if the last read has failed.
  bool IsFailing() const { return this->failures > 0; }
  /// Starts the next read at once if the follower is pausing.
  void Wake() { this->timer.Notify(); }
  /// Reads the newest record of each key next, also if a read is pending: its
  /// answer may be old or never come.
  void ReadAgain() {
    this->reads_again = true;
    this->client.Abort();
    this->Wake();
  }
  /// True if the newest record of each key has been read since the start, or
  /// since the tail was last lost.
  bool HasReadNewest() const { return this->view.Next().tail; }
  /// True if all records up to the known end of the stream were read.
  bool IsCurrent() const {
    return this->view.IsConsistent() && !this->view.IsBehind();
  }
  /// Offset of the next record to read.
  uint64_t NextOffset() const { return this->view.NextOffset(); }
  /// Time of the last successful read; us is 0 if there was none yet.
  TimePoint LastRead() const { return this->last_read; }
  /// When the last successful read was begun; us is 0 if there was none yet.
  TimePoint LastReadBegun() const { return this->last_read_begun; }
  /// Latest moment for which the known state is proven to have been the state
  /// of the stream; us is 0 if there is none yet. An answer may have been made
  /// long before it arrives.
  TimePoint ProvenUntil() const { return this->proven_until; }
  uint64_t Calls() const { return this->client.Calls(); }

 private:
  /// The store was restored from an older copy.
  void OnNewEra();
  asio::awaitable<bool> ReadOnce();
  asio::awaitable<void> Pause(Duration time);
  std::string EncodeRead(const store::KeyedView::NextRead& next,
                         Duration wait) const;
  /// How long the store may hold the next read.
  Duration WaitOf(const store::KeyedView::NextRead& next) const;
  /// The answer to the read `next`, which was begun at `begun` and might be
  /// held for `wait`, was applied.
  void OnProof(const store::KeyedView::NextRead& next, TimePoint begun,
               Duration wait);
  bool ApplyReply(const store::KeyedView::NextRead& next,
                  const StoreReply& reply);
  void RecordResult(bool succeeded);
  void LogUnreadable(size_t records);

  StreamFollowerOptions options;
  Handlers handlers;
  EventLog& event_log;
  StoreClient client;
  store::KeyedView view;
  AsyncCondition timer;
  TimePoint last_read;
  TimePoint last_read_begun;
  TimePoint proven_until;
  /// The next read is not held.
  bool reads_at_once = false;
  /// When the store was last seen to be restored; us is 0: it was not.
  TimePoint new_era_at;
  bool pausing = false;
  /// The pending read does not count.
  bool reads_again = false;
  int failures = 0;
  int last_status = 0;
  serving::AnswerFault last_fault = serving::AnswerFault::kNone;
};

}  // namespace fuchsiadrum::gateway
