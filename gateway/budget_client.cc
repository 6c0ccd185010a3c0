#include "gateway/budget_client.h"

#include <algorithm>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/core/hash.h"
#include "gateway/account_shard.h"
#include "gateway/clock.h"
#include "gateway/fleet_heartbeats.h"
#include "gateway/token_report.h"

namespace fuchsiadrum::gateway {
namespace {

/// Age of an unanswered write above which requests no longer wait for it. It
/// leaves room for writes of other gateways to the same partition, which may
/// delay a write by some tens of milliseconds.
constexpr Duration kSlowWriteAge = std::chrono::milliseconds(200);
/// Interval at which a waiting request checks whether the store still answers.
constexpr Duration kStoreCheckInterval = std::chrono::milliseconds(50);
/// Time after the start by which all gateways of a fleet that starts together
/// have written their first heartbeat.
constexpr Duration kFleetStartupTime = std::chrono::seconds(3);
/// Delay before a failed read of the fleet's heartbeats is retried.
constexpr Duration kReadRetryInterval = std::chrono::milliseconds(200);

/// True if a write to the account has been unanswered for so long that no grant
/// can be expected soon.
bool IsAccountSilent(const AccountShard& shard, TimePoint now) {
  return shard.PendingWriteAge(now) >= kSlowWriteAge;
}

FleetHeartbeatsOptions HeartbeatOptions(const BudgetClientOptions& options) {
  return {.vm = options.vm,
          .incarnation = options.incarnation,
          .store = options.store,
          .store_timeout = options.store_timeout};
}

}  // namespace

BudgetClient::BudgetClient(const BudgetClientOptions& opts,
                           asio::io_context& io_context, Watchdog& timeouts,
                           EventLog& log)
    : options(opts),
      name(VmRef{opts.vm, opts.incarnation}.ToString()),
      context(io_context),
      watchdog(timeouts),
      event_log(log),
      holder(
          std::make_unique<budget::GrantHolder>(budget::GrantHolderOptions())),
      report(std::make_unique<TokenReport>(*this->holder, log)),
      pacer({.fleet_calls_per_s = opts.writes_per_s}),
      heartbeats(std::make_unique<FleetHeartbeats>(HeartbeatOptions(opts),
                                                   io_context, timeouts, log)),
      grants_changed(io_context),
      sync_needed(io_context) {
  this->holder->AwaitFirstHeartbeat();
  opts.store->era.Subscribe([this](auto /*before*/, auto /*now*/) {
    this->holder->OnStoreRestored(Now());
    this->sync_needed.Notify();
  });
}

BudgetClient::~BudgetClient() = default;

void BudgetClient::Start() {
  asio::co_spawn(this->context, this->HeartbeatLoop(), asio::detached);
  asio::co_spawn(this->context, this->SyncLoop(), asio::detached);
}

void BudgetClient::OnConfig(const serving::ServingConfig& config) {
  for (const serving::Organisation& organisation : config.organisations) {
    this->holder->SetLimit(organisation.name, organisation.prepaid,
                           config.version);
    this->ShardOf(organisation.name).Add(organisation.name);
  }
  // A raised budget may cover requests that are waiting.
  this->sync_needed.Notify();
  this->grants_changed.Notify();
}

AccountShard& BudgetClient::ShardOf(const std::string& organisation) {
  const uint64_t partitions =
      uint64_t{this->options.parts} * this->options.topics;
  const auto number = static_cast<uint32_t>(Hash64(organisation) % partitions);
  std::unique_ptr<AccountShard>& shard = this->shards[number];
  if (!shard) {
    const platform::StreamPartition partition = {
        .stream = platform::Stream::kAccounts,
        .topic = number / this->options.parts,
        .part = number % this->options.parts};
    const AccountShardOptions shard_options = {.partition = partition,
                                               .holder = this->name,
                                               .store = this->options.store};
    shard = std::make_unique<AccountShard>(shard_options, this->context,
                                           *this->holder, this->event_log);
  }
  return *shard;
}

asio::awaitable<budget::ReserveOutcome> BudgetClient::Reserve(
    std::string organisation, Tokens amount, Duration max_wait) {
  const TimePoint begin = Now();
  const TimePoint end = begin + max_wait;
  this->holder->OnRequest(begin, organisation, amount);
  while (true) {
    const TimePoint now = Now();
    const budget::ReserveOutcome result =
        this->holder->Reserve(now, organisation, amount);
    // Only free tokens can be granted soon. Tokens granted to other gateways
    // come back when those no longer need them.
    const bool is_grant_expected = result == budget::ReserveOutcome::kPending &&
                                   this->IsStoreAnswering(now, organisation);
    if (result != budget::ReserveOutcome::kReserved) this->sync_needed.Notify();
    if (!is_grant_expected || now >= end) {
      this->CountRefusal(now, organisation, amount, result);
      co_return result;
    }
    co_await this->grants_changed.Wait(
        std::min(end - now, kStoreCheckInterval));
  }
}

void BudgetClient::CountRefusal(TimePoint now, const std::string& organisation,
                                Tokens amount, budget::ReserveOutcome outcome) {
  if (outcome == budget::ReserveOutcome::kReserved) return;
  TokenRefusal refusal;
  refusal.outcome = outcome;
  refusal.needs_only_ceiling =
      this->holder->NeedsOnlyCeiling(organisation, amount);
  refusal.is_account_silent = IsAccountSilent(this->ShardOf(organisation), now);
  refusal.is_heartbeat_silent =
      this->heartbeats->PendingWriteAge(now) >= this->options.store_timeout;
  this->report->CountRefusal(refusal);
}

bool BudgetClient::IsStoreAnswering(TimePoint now,
                                    const std::string& organisation) {
  return !IsAccountSilent(this->ShardOf(organisation), now) &&
         this->heartbeats->PendingWriteAge(now) < this->options.store_timeout;
}

void BudgetClient::Settle(const std::string& organisation, Tokens amount,
                          Tokens spent) {
  this->holder->Settle(organisation, amount, spent);
}

void BudgetClient::Close() {
  this->closed = true;
  this->holder->Close();
  this->sync_needed.Notify();
}

uint64_t BudgetClient::Calls() const {
  uint64_t sum = this->calls + this->heartbeats->Calls();
  for (const auto& client : this->clients) sum += client->Calls();
  return sum;
}

size_t BudgetClient::FleetSize() const { return this->heartbeats->FleetSize(); }

BudgetCalls BudgetClient::CallsByPurpose() const {
  BudgetCalls sum;
  for (const auto& [number, shard] : this->shards) {
    sum.accounts.reads += shard->Calls().reads;
    sum.accounts.appends += shard->Calls().appends;
    sum.accounts.lost_races += shard->Calls().lost_races;
  }
  sum.urgent_heartbeats = this->urgent_heartbeats;
  sum.heartbeats = this->heartbeats->WriteCalls() - this->urgent_heartbeats;
  sum.fleet_reads = this->heartbeats->ReadCalls();
  return sum;
}

std::string BudgetClient::MetricsText() const {
  return this->report->MetricsText(Now(), this->CallsByPurpose());
}

std::unique_ptr<StoreClient> BudgetClient::AcquireClient() {
  if (!this->clients.empty()) {
    std::unique_ptr<StoreClient> client = std::move(this->clients.back());
    this->clients.pop_back();
    return client;
  }
  return std::make_unique<StoreClient>(this->context, this->watchdog,
                                       *this->options.store);
}

asio::awaitable<void> BudgetClient::SyncLoop() {
  while (true) {
    const TimePoint now = Now();
    // Accounts that requests are waiting for go first.
    const bool any_urgent = this->StartSyncs(now, true);
    const bool any_other = this->StartSyncs(now, false);
    this->flushed = this->closed && !any_urgent && !any_other;
    if (now - this->reported_at >= this->options.report_interval) {
      this->reported_at = now;
      this->report->LogBreakdown(now);
    }
    co_await this->sync_needed.Wait(this->options.sync_interval);
  }
}

bool BudgetClient::StartSyncs(TimePoint now, bool urgent) {
  bool any = false;
  for (const auto& [number, shard] : this->shards) {
    if (shard->IsBusy()) any = true;
    if (shard->IsBusy() || shard->IsUrgent() != urgent) continue;
    if (!shard->IsDue(now)) continue;
    any = true;
    if (this->active_syncs >= this->options.store_connections) break;
    // Returning tokens at shutdown is urgent, too.
    if (!this->pacer.Take(now, urgent || this->closed)) break;
    ++this->active_syncs;
    asio::co_spawn(this->context,
                   this->Sync(shard.get(), this->AcquireClient()),
                   asio::detached);
  }
  return any;
}

asio::awaitable<void> BudgetClient::Sync(AccountShard* shard,
                                         std::unique_ptr<StoreClient> client) {
  co_await shard->Sync(*client);
  if (shard->WasRateLimited()) this->pacer.OnRateLimited(Now());
  this->clients.push_back(std::move(client));
  --this->active_syncs;
  this->grants_changed.Notify();
  this->sync_needed.Notify();
}

asio::awaitable<void> BudgetClient::HeartbeatLoop() {
  while (!co_await this->heartbeats->ReadFleet()) {
    co_await this->grants_changed.Wait(kReadRetryInterval);
  }
  for (const pb::EndedHolder& ended : this->heartbeats->Ended()) {
    asio::co_spawn(this->context, this->SettleEndedHolder(ended),
                   asio::detached);
  }
  asio::co_spawn(this->context, this->FleetSizeLoop(), asio::detached);

  while (!this->closed) {
    const bool is_urgent = this->holder->IsHeartbeatUrgent();
    const Duration interval = is_urgent
                                  ? this->options.urgent_heartbeat_interval
                                  : this->heartbeats->Interval();
    const TimePoint now = Now();
    const TimePoint due = this->heartbeat_begun_at + interval;
    if (now < due) {
      co_await this->sync_needed.Wait(due - now);
      continue;
    }
    if (now - this->heartbeat_begun_at < this->heartbeats->Interval()) {
      ++this->urgent_heartbeats;
    }
    this->heartbeat_begun_at = now;
    // The silence that a successor computes from them covers the one since the
    // heartbeat began.
    const budget::VmClocks clocks = ReadVmClocks();
    std::vector<budget::GrantCeiling> ceilings =
        this->holder->PlanHeartbeat(now);
    this->holder->OnHeartbeatStarted(Now());
    co_await this->heartbeats->Write(std::move(ceilings), clocks);
    this->holder->OnHeartbeatWritten(Now());
    this->grants_changed.Notify();
  }
}

asio::awaitable<void> BudgetClient::FleetSizeLoop() {
  Duration interval = kFleetStartupTime;
  while (true) {
    asio::steady_timer timer(this->context,
                             std::chrono::microseconds(interval));
    ErrorCode ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    const bool succeeded = co_await this->heartbeats->ReadFleet();
    if (succeeded) {
      this->holder->SetFleetSize(this->heartbeats->FleetSize());
      this->pacer.SetFleetSize(this->heartbeats->FleetSize());
    }
    interval =
        succeeded ? this->options.fleet_size_interval : kReadRetryInterval;
  }
}

asio::awaitable<void> BudgetClient::SettleEndedHolder(pb::EndedHolder ended) {
  co_await this->SettleGrantsOf(ended);
  this->heartbeats->OnSettled(ended.holder());
}

asio::awaitable<void> BudgetClient::SettleGrantsOf(
    const pb::EndedHolder& ended) {
  const budget::ReleaseOptions release = this->holder->GetReleaseOptions();
  const std::optional<Duration> silence =
      co_await this->heartbeats->SilenceOf(ended.holder(), release);
  std::map<AccountShard*, std::vector<budget::EndedGrant>> by_shard;
  for (const pb::HeldCeiling& item : ended.ceilings()) {
    budget::EndedGrant grant;
    grant.organisation = item.organisation();
    grant.holder = ended.holder();
    grant.heartbeat_ceiling = Tokens(item.ceiling_tokens());
    grant.silence = silence.value_or(Duration::zero());
    by_shard[&this->ShardOf(item.organisation())].push_back(std::move(grant));
  }
  StoreClient client(this->context, this->watchdog, *this->options.store);
  for (const auto& [shard, grants] : by_shard) {
    if (silence) {
      co_await shard->Settle(client, grants);
    } else {
      shard->SettleUnannounced();
    }
    this->sync_needed.Notify();
  }
  this->calls += client.Calls();
  const auto is_settling = [](const auto& item) {
    return item.first->IsSettling();
  };
  while (std::ranges::any_of(by_shard, is_settling)) {
    co_await this->grants_changed.Wait(this->options.sync_interval);
  }
}

}  // namespace fuchsiadrum::gateway
