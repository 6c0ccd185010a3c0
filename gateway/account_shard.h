#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/grant_holder.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {

/// Options of a shard.
struct AccountShardOptions {
  platform::StreamPartition place;
  /// Name and incarnation of this gateway.
  std::string holder;
  std::string store_address;
  /// Time after which a write counts as unanswered and is repeated; it doubles
  /// up to the longest.
  Duration first_timeout = std::chrono::milliseconds(250);
  Duration longest_timeout = std::chrono::milliseconds(1000);
};

/// Part of a dead holder's grant that is given back.
struct DeadGrant {
  std::string organisation;
  std::string holder;
  budget::RecordedGrant before;
  budget::RecordedGrant after;
};

/// One partition of the store with the accounts of some organisations. Each
/// append there holds changed grants and, last, the book of all accounts, and
/// is done only if the partition still ends where the book was read. So a
/// gateway needs the last record only, however many others write.
class AccountShard {
 public:
  AccountShard(const AccountShardOptions& opts, asio::io_context& context,
               budget::GrantHolder& grant_holder, EventLog& log);

  /// An organisation whose account is here.
  void Add(const std::string& organisation);
  /// True if the book should be read or changed now.
  bool IsDue(TimePoint now);
  /// True if a request waits for that.
  bool IsUrgent() const;
  /// The last visit ended because the store turned a call away for its rate.
  bool WasTurnedAway() const { return this->turned_away; }
  /// A visit is under way.
  bool IsBusy() const { return this->busy; }
  /// Age of the write under way; zero: none.
  Duration Unanswered(TimePoint now) const;

  /// Reads the book and writes what is due. One visit at a time.
  asio::awaitable<void> Visit(StoreClient& client);
  /// Gives back what a dead holder cannot have used after this longest time
  /// without an answer of the store, beyond the ceilings that it showed.
  asio::awaitable<void> Reclaim(StoreClient& client, std::string dead_holder,
                                std::vector<budget::GrantCeiling> ceilings,
                                Duration silence);

 private:
  enum class Outcome { kDone, kMoved, kRefused, kUnknown };
  struct Change {
    std::vector<store::KeyedRecord> records;
    std::vector<budget::GrantUpdate> updates;
    std::vector<DeadGrant> dead;
    budget::AccountBook book;
  };

  Change Plan(TimePoint now);
  /// No visit for a while.
  void Pause();
  void Finish(const Change& change, Outcome outcome);
  asio::awaitable<Outcome> Append(
      StoreClient& client, const std::vector<store::KeyedRecord>& records);
  /// Whether a write without an answer was done, now that the partition ends
  /// elsewhere.
  asio::awaitable<Outcome> LookFor(StoreClient& client,
                                   const store::KeyedRecord& record);
  asio::awaitable<bool> ReadBook(StoreClient& client);
  asio::awaitable<bool> ReadBookFromNewest(StoreClient& client);
  /// Makes the store refuse writes of that holder that are still on their way.
  asio::awaitable<void> Fence(StoreClient& client, std::string dead_holder);
  bool TakeBook(const store::KeyedRecord& record, uint64_t end_offset);
  std::string EncodeRead(uint64_t from) const;
  void LogWritten(const Change& change);

  AccountShardOptions options;
  budget::GrantHolder& holder;
  EventLog& event_log;
  AsyncCondition gate;
  std::vector<std::string> organisations;
  platform::Writer writer;
  /// The book as last read or written, and the end of the partition then.
  budget::AccountBook book;
  std::optional<uint64_t> end;
  std::vector<DeadGrant> dead_grants;
  TimePoint book_at;
  TimePoint write_begun;
  TimePoint pause_until;
  int refusals = 0;
  bool turned_away = false;
  bool busy = false;
};

}  // namespace fuchsiadrum::gateway
