#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/ended_grants.h"
#include "fuchsiadrum/budget/grant_holder.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {

/// Options of an AccountShard.
struct AccountShardOptions {
  platform::StreamPartition partition;
  /// Name and incarnation of this gateway, under which it holds its grants.
  std::string holder;
  /// Never null.
  StoreEndpoint* store = nullptr;
  /// Timeout of the first attempt at a write. A write that times out is retried
  /// with twice the timeout, up to `max_timeout`.
  Duration initial_timeout = std::chrono::milliseconds(250);
  Duration max_timeout = std::chrono::milliseconds(1000);
};

/// Calls to the store that an AccountShard has made, answered or not.
struct AccountCalls {
  uint64_t reads = 0;
  uint64_t appends = 0;
  /// Appends that were not applied because another gateway had appended since
  /// the book was read.
  uint64_t lost_races = 0;
};

/// The accounts of the organisations that share one partition of the store.
/// Each append to the partition consists of the changed grants followed by the
/// book of all its accounts, and the store applies it only if the partition
/// still ends where the book was read. The last record is therefore always the
/// current book, and a gateway has to read only that record, however many other
/// gateways write.
class AccountShard {
 public:
  AccountShard(const AccountShardOptions& opts, asio::io_context& context,
               budget::GrantHolder& grant_holder, EventLog& log);

  /// Adds an organisation whose account is in this partition.
  void Add(const std::string& organisation);
  /// True if the book should be read or written now.
  bool IsDue(TimePoint now);
  /// True if a request is waiting for tokens of one of the organisations.
  bool IsUrgent() const;
  /// True if the last sync ended because the store rejected a call for its
  /// rate.
  bool WasRateLimited() const { return this->rate_limited; }
  /// True while a sync runs.
  bool IsBusy() const { return this->busy; }
  /// Time since the pending write was started; zero if no write is pending.
  Duration PendingWriteAge(TimePoint now) const;
  const AccountCalls& Calls() const { return this->calls; }

  /// Reads the book if necessary and writes the grants that are due. Only one
  /// sync may run at a time.
  asio::awaitable<void> Sync(StoreClient& client);
  /// Excludes the holder of these grants, whose process has ended, from writing
  /// and schedules their settlement. They must be of one holder.
  asio::awaitable<void> Settle(StoreClient& client,
                               std::vector<budget::EndedGrant> grants);
  /// Schedules the settlement of the grants of processes on this VM that have
  /// ended without a heartbeat.
  void SettleUnannounced() { this->seeks_unannounced = true; }
  /// True until all that was scheduled is settled in the store.
  bool IsSettling() const {
    return this->seeks_unannounced || this->ended.HasUnsettled();
  }

 private:
  enum class Outcome {
    kDone,
    kEndMoved,  // not applied: the partition no longer ends where expected
    kRefused,   // not applied for another reason
    kUnknown,   // whether the append was applied cannot be found out
  };
  struct Change {
    std::vector<store::KeyedRecord> records;
    std::vector<budget::GrantUpdate> updates;
    std::vector<budget::GrantSettlement> settlements;
    budget::AccountBook book;
  };

  /// True if the store was restored from an older copy since the book was read.
  bool IsOfEarlierEra() const {
    return this->generation != this->options.store->era.Generation();
  }
  /// Forgets the positions of an earlier era. The grants that this gateway
  /// holds have to be written again.
  void BeginEra();
  /// Writes the grants that this gateway holds and that the restored store
  /// lacks or has an older state of. False if that failed.
  asio::awaitable<bool> RestoreGrants(StoreClient& client);
  /// Reads the grants that are to be settled if they are not known as of the
  /// end of the book. Without them nothing is settled.
  asio::awaitable<void> ReadEndedGrants(StoreClient& client);
  Change PlanChange(TimePoint now);
  /// Delays the next sync; the delay doubles with each failure in a row.
  void BackOff();
  void OnOutcome(const Change& change, Outcome outcome);
  /// Appends the records where the book ends. Call it only while `end` is
  /// known.
  asio::awaitable<Outcome> Append(
      StoreClient& client, const std::vector<store::KeyedRecord>& records);
  /// True if the reply fits the append at `end`: a success names that offset,
  /// and a rejection for the partition's end another one.
  bool IsAnswerToAppend(const StoreReply& reply) const;
  /// Finds out whether an unanswered append that begins with `record` was
  /// applied, after the store has reported that the partition's end has moved.
  asio::awaitable<Outcome> ResolveOutcome(StoreClient& client,
                                          const store::KeyedRecord& record);
  asio::awaitable<bool> ReadBook(StoreClient& client);
  asio::awaitable<bool> ReadBookFromNewest(StoreClient& client);
  /// Makes the store reject writes of that process which are still in transit,
  /// by using a higher epoch under its name.
  asio::awaitable<void> Fence(StoreClient& client, std::string dead_holder);
  /// The last book among the records; nullopt if there is none. Records of
  /// other writers may follow it.
  std::optional<budget::AccountBook> LastBook(const store::TailPage& page);
  std::optional<budget::AccountBook> ReadBookRecord(
      const store::KeyedRecord& record);
  void SetBook(const budget::AccountBook& current, uint64_t end_offset);
  std::string EncodeRead(uint64_t from) const;
  void LogWritten(const Change& change);

  AccountShardOptions options;
  budget::GrantHolder& holder;
  EventLog& event_log;
  AsyncCondition timer;
  std::vector<std::string> organisations;
  platform::Writer writer;
  /// The book as last read or written, and the partition's end offset then.
  budget::AccountBook book;
  std::optional<uint64_t> end;
  budget::EndedGrants ended;
  bool seeks_unannounced = false;
  TimePoint book_at;
  TimePoint write_begun;
  TimePoint backoff_until;
  AccountCalls calls;
  /// Generation of the store's era to which the book and its end belong.
  uint64_t generation = 0;
  bool are_grants_lost = false;
  int failures = 0;
  bool rate_limited = false;
  bool busy = false;
};

}  // namespace fuchsiadrum::gateway
