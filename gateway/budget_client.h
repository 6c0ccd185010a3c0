#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/reserve_outcome.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "fuchsiadrum/store/call_pacer.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "gateway/watchdog.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::budget {
class GrantHolder;
}  // namespace fuchsiadrum::budget

namespace fuchsiadrum::gateway {

class AccountShard;
class FleetHeartbeats;
class TokenReport;
struct BudgetCalls;

/// Options of BudgetClient.
struct BudgetClientOptions {
  std::string vm;
  uint64_t incarnation = 0;
  /// Never null.
  StoreEndpoint* store = nullptr;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// Number of partitions of each topic of the store, and number of topics with
  /// accounts. They determine where an organisation's account is stored, so
  /// they must be equal in the whole fleet.
  uint32_t parts = 12;
  uint32_t topics = 2;
  /// Writes per second that the whole fleet may make.
  double writes_per_s = 800;
  /// Minimum time between two heartbeats while a request waits for a higher
  /// ceiling.
  Duration urgent_heartbeat_interval = std::chrono::milliseconds(100);
  /// Interval at which the accounts are checked for due reads and writes.
  Duration sync_interval = std::chrono::milliseconds(100);
  /// Maximum number of account partitions that are read or written at a time.
  size_t store_connections = 4;
  /// Interval at which the size of the fleet is read again.
  Duration fleet_size_interval = std::chrono::seconds(20);
  /// Interval of the log lines that say where the budgets' tokens are.
  Duration report_interval = std::chrono::seconds(15);
};

/// Reserves tokens of the organisations' prepaid budgets for requests. Keeps
/// the grants of a budget::GrantHolder in sync with the accounts in the store,
/// and writes this gateway's heartbeats.
class BudgetClient {
 public:
  BudgetClient(const BudgetClientOptions& opts, asio::io_context& context,
               Watchdog& watchdog, EventLog& log);
  ~BudgetClient();

  /// Starts the background coroutines, which run until the process ends.
  void Start();
  /// Applies the budgets of a configuration.
  void OnConfig(const serving::ServingConfig& config);

  /// Reserves tokens. If the gateway's grant does not cover them but the
  /// account has enough free tokens, waits up to `max_wait` for a larger grant.
  asio::awaitable<budget::ReserveOutcome> Reserve(std::string organisation,
                                                  Tokens amount,
                                                  Duration max_wait);
  /// Ends a reservation of `amount`, of which `spent` were used.
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);
  /// Starts to return all unused tokens; no further reservation succeeds.
  void Close();
  /// True once all unused tokens have been returned after Close.
  bool IsFlushed() const { return this->flushed; }

  /// Calls made to the store, answered or not.
  uint64_t Calls() const;
  /// Number of gateways that have ever written a heartbeat, including this one;
  /// 0 if not yet known.
  size_t FleetSize() const;
  /// Metrics in Prometheus text format: where the tokens are, calls to the
  /// store by purpose, and refusals for want of tokens by cause.
  std::string MetricsText() const;
  const FleetHeartbeats& Heartbeats() const { return *this->heartbeats; }

 private:
  /// False while a write has been unanswered for so long that no grant can be
  /// expected soon.
  bool IsStoreAnswering(TimePoint now, const std::string& organisation);
  AccountShard& ShardOf(const std::string& organisation);
  /// Returns an idle connection to the store, or a new one if there is none.
  std::unique_ptr<StoreClient> AcquireClient();
  asio::awaitable<void> SyncLoop();
  /// Starts the syncs that are due, either the urgent or the other ones; false
  /// if none of these is due and no sync is running.
  bool StartSyncs(TimePoint now, bool urgent);
  asio::awaitable<void> Sync(AccountShard* shard,
                             std::unique_ptr<StoreClient> client);
  asio::awaitable<void> HeartbeatLoop();
  asio::awaitable<void> FleetSizeLoop();
  /// Calls made to the store by purpose.
  BudgetCalls CallsByPurpose() const;
  void CountRefusal(TimePoint now, const std::string& organisation,
                    Tokens amount, budget::ReserveOutcome outcome);
  /// Returns the tokens that an earlier gateway process on this VM cannot have
  /// used. Heartbeats name the process until that is done.
  asio::awaitable<void> SettleEndedHolder(pb::EndedHolder ended);
  /// Returns once its grants are settled, as far as anything can be reclaimed,
  /// and those of processes that ended without a heartbeat.
  asio::awaitable<void> SettleGrantsOf(const pb::EndedHolder& ended);

  BudgetClientOptions options;
  std::string name;
  asio::io_context& context;
  Watchdog& watchdog;
  EventLog& event_log;
  std::unique_ptr<budget::GrantHolder> holder;
  std::unique_ptr<TokenReport> report;
  store::CallPacer pacer;
  std::unique_ptr<FleetHeartbeats> heartbeats;
  AsyncCondition grants_changed;
  AsyncCondition sync_needed;
  /// By topic * partitions per topic + partition.
  std::map<uint32_t, std::unique_ptr<AccountShard>> shards;
  std::vector<std::unique_ptr<StoreClient>> clients;
  size_t active_syncs = 0;
  uint64_t calls = 0;
  uint64_t urgent_heartbeats = 0;
  TimePoint reported_at;
  TimePoint heartbeat_begun_at;
  bool flushed = false;
  bool closed = false;
};

}  // namespace fuchsiadrum::gateway
