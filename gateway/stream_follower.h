#pragma once

#include <functional>
#include <string>

#include "fuchsiadrum/store/keyed_view.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"

namespace fuchsiadrum::gateway {

/// Options of a follower.
struct StreamFollowerOptions {
  platform::Stream stream = platform::Stream::kOperators;
  /// How long the store may hold a read until there is a record; zero: the read
  /// returns at once.
  Duration hold = Duration::zero();
  /// Pause between two reads of the tail.
  Duration interval = Duration::zero();
  /// Most bytes of one read. A link of 10 Mbit/s takes 0.1 s for this.
  size_t max_bytes = 131072;
  /// After a failed read begin with the newest records: those in between are of
  /// no use, and may be too many for the link.
  bool newest_after_loss = false;
  /// Records that may be left to read before the newest ones are read instead;
  /// 0: all are read. For large records of which only the last one matters.
  uint64_t most_behind = 0;
  /// Time after which a read counts as failed, besides `hold`.
  Duration timeout = std::chrono::milliseconds(600);
  /// Pause after a failed read; it doubles up to `longest_pause`.
  Duration first_pause = std::chrono::milliseconds(60);
  Duration longest_pause = std::chrono::milliseconds(500);
};

/// Keeps one stream of the store read: connects, reads the newest records and
/// then the tail, and tells when the store is lost and regained.
class StreamFollower {
 public:
  struct Handlers {
    /// A key got a value, or lost it.
    store::KeyedView::OnChange on_change;
    /// A read has succeeded and all its records were handed over.
    std::function<void()> on_read;
    /// The store answers again after it did not.
    std::function<void()> on_regained;
  };

  StreamFollower(const StreamFollowerOptions& opts, Handlers callbacks,
                 asio::io_context& context, Watchdog& watchdog, EventLog& log,
                 const std::string& address);

  /// Runs for good.
  asio::awaitable<void> Run();
  /// Time of the last successful read; us 0: none yet.
  TimePoint LastRead() const { return this->last_read; }
  uint64_t Calls() const { return this->client.Calls(); }

 private:
  asio::awaitable<bool> ReadOnce();
  std::string EncodeRead(const store::KeyedView::NextRead& next) const;
  bool Accept(const store::KeyedView::NextRead& next, const StoreReply& reply);
  void NoteResult(bool good);

  StreamFollowerOptions options;
  Handlers handlers;
  EventLog& event_log;
  StoreClient client;
  store::KeyedView view;
  AsyncCondition gate;
  TimePoint last_read;
  int failures = 0;
  int last_status = 0;
};

}  // namespace fuchsiadrum::gateway
