#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "gateway/stream_follower.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {

/// Options of the keeper.
struct BudgetKeeperOptions {
  std::string vm;
  uint64_t incarnation = 0;
  std::string store_address;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// How often the fleet's stream is read. Others' grants are known this late.
  Duration read_interval = std::chrono::milliseconds(500);
  /// Time between two writes. The last one shows a successor of this process
  /// how long it may have been cut off.
  Duration write_interval = std::chrono::milliseconds(500);
  /// The same while a request waits for a grant. All gateways together may make
  /// about 500 writes a second to the stream.
  Duration urgent_interval = std::chrono::milliseconds(80);
};

/// Carries the decisions of a budget::GrantHolder to and from the fleet's
/// stream in the store, and keeps this gateway listed there.
class BudgetKeeper {
 public:
  BudgetKeeper(const BudgetKeeperOptions& opts, asio::io_context& context,
               Watchdog& watchdog, EventLog& log);

  /// Runs reader and writer for good.
  void Start();
  /// Takes over the budgets of a configuration.
  void OnConfig(const serving::ServingConfig& config);

  /// Reserves tokens, waiting for a grant up to `patience` if others hold
  /// enough that may come back.
  asio::awaitable<budget::ReserveResult> Reserve(std::string organisation,
                                                 Tokens amount,
                                                 Duration patience);
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);
  /// Call every few milliseconds: looks for an append whose answer is late.
  void OnTick(TimePoint now);
  /// Gives unused tokens back.
  void Close();
  /// True once nothing is left to be written.
  bool IsFlushed() const { return this->flushed; }

  /// False while the store cannot be reached, or its answer is late: grants do
  /// not come soon.
  bool IsStoreAnswering(TimePoint now) const;
  uint64_t Calls() const {
    return this->follower.Calls() + this->writer_client.Calls();
  }
  /// Gateways of the fleet that have ever shown themselves, this one included.
  size_t FleetSize() const { return this->other_vms.size() + 1; }

 private:
  void OnRecord(const store::KeyedRecord& record);
  void OnOwnSign(const pb::FleetMember& member, uint64_t offset);
  void OnRead();
  asio::awaitable<void> WriteLoop();
  asio::awaitable<void> Append(std::vector<store::KeyedRecord> records);
  void FinishAppend();
  std::vector<store::KeyedRecord> PlanRecords();
  /// Gives back what the former process of this VM cannot have used.
  asio::awaitable<void> TakeOver();
  /// How long other gateways' signs say that the former process can have been
  /// without an answer of the store; nullopt: they do not confirm a time.
  asio::awaitable<std::optional<Duration>> AskPeers();
  std::optional<Duration> JudgeSigns(const std::string& tail_body,
                                     uint64_t from) const;
  /// Makes the store refuse writes of that holder that are still on their way.
  asio::awaitable<void> Fence(std::string holder_name);
  /// `silence`: the longest time without an answered write.
  std::vector<store::KeyedRecord> ReclaimRecords(const std::string& holder,
                                                 Duration silence);
  void LogTakeOver(const std::string& holder, std::optional<Duration> silence);
  void LogOwnGrant(const pb::BudgetGrant& grant, uint64_t offset);
  void LogRefusal(const StoreReply& reply);
  store::KeyedRecord MemberRecord() const;
  static store::KeyedRecord GrantRecord(const std::string& holder,
                                        const budget::GrantUpdate& update);

  BudgetKeeperOptions options;
  std::string name;
  asio::io_context& context;
  EventLog& event_log;
  budget::GrantTable table;
  budget::GrantHolder holder;
  StreamFollower follower;
  StoreClient writer_client;
  platform::Writer writer;
  SignalGate granted;
  SignalGate wanted;
  std::set<std::string> other_vms;
  /// Organisation and holder of each grant's key, for its deletion.
  std::map<std::string, std::pair<std::string, std::string>> grant_keys;
  /// The former process of this VM, as the stream shows it.
  std::optional<pb::FleetMember> predecessor;
  uint64_t predecessor_offset = 0;
  /// This process's first own record.
  std::optional<budget::FleetSign> first_sign;
  /// Records to be written with the next ones.
  std::vector<store::KeyedRecord> queued;
  StoreClient history_client;
  TimePoint started_at;
  TimePoint planned_at;
  TimePoint written_at;
  /// Start of the append under way; us 0: none.
  TimePoint append_begun;
  /// Start of its last try, or of the last look for it; us 0: none.
  TimePoint append_since;
  /// The append under way was read back.
  bool append_seen = false;
  bool was_consistent = false;
  bool flushed = false;
  bool closed = false;
};

}  // namespace fuchsiadrum::gateway
