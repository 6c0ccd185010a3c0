#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "fuchsiadrum/store/call_pacer.h"
#include "gateway/account_shard.h"
#include "gateway/fleet_signs.h"

namespace fuchsiadrum::gateway {

/// Options of the keeper.
struct BudgetKeeperOptions {
  std::string vm;
  uint64_t incarnation = 0;
  std::string store_address;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// Partitions of a topic of the store, and topics with accounts. Equal in the
  /// whole fleet: they decide where an organisation's account is.
  uint32_t parts = 12;
  uint32_t topics = 2;
  /// Writes that the whole fleet may make each second.
  double writes_per_s = 800;
  /// Least time between two signs of life while a request waits for a higher
  /// ceiling.
  Duration urgent_sign_interval = std::chrono::milliseconds(100);
  /// How often the accounts are compared with the demand.
  Duration look_interval = std::chrono::milliseconds(100);
  /// Accounts that are read or written at the same time.
  size_t store_connections = 4;
  /// How often the size of the fleet is read again.
  Duration census_interval = std::chrono::seconds(20);
};

/// Carries the decisions of a budget::GrantHolder to and from the accounts in
/// the store, and shows this gateway's signs of life there.
class BudgetKeeper {
 public:
  BudgetKeeper(const BudgetKeeperOptions& opts, asio::io_context& context,
               Watchdog& watchdog, EventLog& log);

  /// Runs for good.
  void Start();
  /// Takes over the budgets of a configuration.
  void OnConfig(const serving::ServingConfig& config);

  /// Reserves tokens, waiting for a grant up to `patience` if enough is free.
  asio::awaitable<budget::ReserveOutcome> Reserve(std::string organisation,
                                                  Tokens amount,
                                                  Duration patience);
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);
  /// Gives unused tokens back.
  void Close();
  /// True once nothing is left to be written.
  bool IsFlushed() const { return this->flushed; }

  uint64_t Calls() const;
  /// Gateways that have ever shown themselves, this one included; 0: not known.
  size_t FleetSize() const { return this->signs.FleetSize(); }

 private:
  /// False while the store's answer is late: a grant does not come soon.
  bool IsStoreAnswering(TimePoint now, const std::string& organisation);
  AccountShard& ShardOf(const std::string& organisation);
  /// A connection to the store that no visit uses.
  std::unique_ptr<StoreClient> TakeClient();
  asio::awaitable<void> VisitLoop();
  /// Begins the visits that are due; false: none is due or under way.
  bool BeginVisits(TimePoint now, bool urgent);
  asio::awaitable<void> Visit(AccountShard* shard,
                              std::unique_ptr<StoreClient> client);
  asio::awaitable<void> SignLoop();
  asio::awaitable<void> CensusLoop();
  /// Gives back what the former process of this VM cannot have used.
  asio::awaitable<void> TakeOver();

  BudgetKeeperOptions options;
  std::string name;
  asio::io_context& context;
  Watchdog& watchdog;
  EventLog& event_log;
  budget::GrantHolder holder;
  store::CallPacer pacer;
  FleetSigns signs;
  AsyncCondition granted;
  AsyncCondition wanted;
  /// By topic and partition.
  std::map<uint32_t, std::unique_ptr<AccountShard>> shards;
  std::vector<std::unique_ptr<StoreClient>> clients;
  size_t visits = 0;
  uint64_t calls = 0;
  TimePoint signed_at;
  bool flushed = false;
  bool closed = false;
};

}  // namespace fuchsiadrum::gateway
