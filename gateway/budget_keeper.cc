#include "gateway/budget_keeper.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Age of an unanswered write above which requests no longer wait for it: other
/// gateways' writes to the same partition may hold it up for some tens of
/// milliseconds.
constexpr Duration kSlowWrite = std::chrono::milliseconds(200);
/// How often a waiting request looks whether the store still answers.
constexpr Duration kLookAgain = std::chrono::milliseconds(50);
/// Time after the start in which all gateways have shown themselves: they start
/// together.
constexpr Duration kFleetShowsItself = std::chrono::seconds(3);
/// Pause after the fleet could not be read.
constexpr Duration kReadAgain = std::chrono::milliseconds(200);

FleetSignsOptions SignOptions(const BudgetKeeperOptions& options) {
  return {.vm = options.vm,
          .incarnation = options.incarnation,
          .store_address = options.store_address,
          .store_timeout = options.store_timeout};
}

}  // namespace

BudgetKeeper::BudgetKeeper(const BudgetKeeperOptions& opts,
                           asio::io_context& io_context, Watchdog& timeouts,
                           EventLog& log)
    : options(opts),
      name(opts.vm + "/" + std::to_string(opts.incarnation)),
      context(io_context),
      watchdog(timeouts),
      event_log(log),
      holder(budget::GrantHolderOptions()),
      pacer({.fleet_calls_per_s = opts.writes_per_s}),
      signs(SignOptions(opts), io_context, timeouts, log),
      granted(io_context),
      wanted(io_context) {}

void BudgetKeeper::Start() {
  asio::co_spawn(this->context, this->SignLoop(), asio::detached);
  asio::co_spawn(this->context, this->VisitLoop(), asio::detached);
}

void BudgetKeeper::OnConfig(const serving::ServingConfig& config) {
  for (const serving::Organisation& organisation : config.organisations) {
    this->holder.SetLimit(organisation.name, organisation.prepaid,
                          config.version);
    this->ShardOf(organisation.name).Add(organisation.name);
  }
  // A higher total may free requests that wait.
  this->wanted.Notify();
  this->granted.Notify();
}

AccountShard& BudgetKeeper::ShardOf(const std::string& organisation) {
  const uint64_t places = uint64_t{this->options.parts} * this->options.topics;
  const auto number = static_cast<uint32_t>(Hash64(organisation) % places);
  std::unique_ptr<AccountShard>& shard = this->shards[number];
  if (!shard) {
    const platform::StreamPartition place = {
        .stream = platform::Stream::kAccounts,
        .topic = number / this->options.parts,
        .part = number % this->options.parts};
    const AccountShardOptions shard_options = {
        .place = place,
        .holder = this->name,
        .store_address = this->options.store_address};
    shard = std::make_unique<AccountShard>(shard_options, this->context,
                                           this->holder, this->event_log);
  }
  return *shard;
}

asio::awaitable<budget::ReserveOutcome> BudgetKeeper::Reserve(
    std::string organisation, Tokens amount, Duration patience) {
  const TimePoint begin = Now();
  const TimePoint end = begin + patience;
  this->holder.OnRequest(begin, organisation, amount);
  while (true) {
    const TimePoint now = Now();
    const budget::ReserveOutcome result =
        this->holder.Reserve(now, organisation, amount);
    // Only a grant that is free comes soon; others' tokens come back when their
    // holders need them no longer.
    const bool comes = result == budget::ReserveOutcome::kPending &&
                       this->IsStoreAnswering(now, organisation);
    if (result != budget::ReserveOutcome::kReserved) this->wanted.Notify();
    if (!comes || now >= end) co_return result;
    co_await this->granted.Wait(std::min(end - now, kLookAgain));
  }
}

bool BudgetKeeper::IsStoreAnswering(TimePoint now,
                                    const std::string& organisation) {
  return this->ShardOf(organisation).Unanswered(now) < kSlowWrite &&
         this->signs.Unanswered(now) < this->options.store_timeout;
}

void BudgetKeeper::Settle(const std::string& organisation, Tokens amount,
                          Tokens spent) {
  this->holder.Settle(organisation, amount, spent);
}

void BudgetKeeper::Close() {
  this->closed = true;
  this->holder.Close();
  this->wanted.Notify();
}

uint64_t BudgetKeeper::Calls() const {
  uint64_t sum = this->calls + this->signs.Calls();
  for (const auto& client : this->clients) sum += client->Calls();
  return sum;
}

std::unique_ptr<StoreClient> BudgetKeeper::TakeClient() {
  if (!this->clients.empty()) {
    std::unique_ptr<StoreClient> client = std::move(this->clients.back());
    this->clients.pop_back();
    return client;
  }
  return std::make_unique<StoreClient>(this->context, this->watchdog,
                                       this->options.store_address);
}

asio::awaitable<void> BudgetKeeper::VisitLoop() {
  while (true) {
    const TimePoint now = Now();
    // What requests wait for goes first.
    const bool any_urgent = this->BeginVisits(now, true);
    const bool any_other = this->BeginVisits(now, false);
    this->flushed = this->closed && !any_urgent && !any_other;
    co_await this->wanted.Wait(this->options.look_interval);
  }
}

bool BudgetKeeper::BeginVisits(TimePoint now, bool urgent) {
  bool any = false;
  for (const auto& [number, shard] : this->shards) {
    if (shard->IsBusy()) any = true;
    if (shard->IsBusy() || shard->IsUrgent() != urgent) continue;
    if (!shard->IsDue(now)) continue;
    any = true;
    if (this->visits >= this->options.store_connections) break;
    // Tokens that are given back at the end are not kept waiting.
    if (!this->pacer.Take(now, urgent || this->closed)) break;
    ++this->visits;
    asio::co_spawn(this->context, this->Visit(shard.get(), this->TakeClient()),
                   asio::detached);
  }
  return any;
}

asio::awaitable<void> BudgetKeeper::Visit(AccountShard* shard,
                                          std::unique_ptr<StoreClient> client) {
  co_await shard->Visit(*client);
  if (shard->WasTurnedAway()) this->pacer.OnThrottled(Now());
  this->clients.push_back(std::move(client));
  --this->visits;
  this->granted.Notify();
  this->wanted.Notify();
}

asio::awaitable<void> BudgetKeeper::SignLoop() {
  while (!co_await this->signs.ReadFleet()) {
    co_await this->granted.Wait(kReadAgain);
  }
  asio::co_spawn(this->context, this->TakeOver(), asio::detached);
  asio::co_spawn(this->context, this->CensusLoop(), asio::detached);

  while (!this->closed) {
    const Duration interval = this->holder.IsHeartbeatUrgent()
                                  ? this->options.urgent_sign_interval
                                  : this->signs.Interval();
    const TimePoint now = Now();
    const TimePoint due = this->signed_at + interval;
    if (now < due) {
      co_await this->wanted.Wait(due - now);
      continue;
    }
    this->signed_at = now;
    std::vector<budget::GrantCeiling> ceilings =
        this->holder.PlanHeartbeat(now);
    this->holder.OnHeartbeatStarted(now);
    co_await this->signs.Write(std::move(ceilings));
    this->holder.OnHeartbeatWritten(Now());
    this->granted.Notify();
  }
}

asio::awaitable<void> BudgetKeeper::CensusLoop() {
  Duration pause = kFleetShowsItself;
  while (true) {
    asio::steady_timer timer(this->context, std::chrono::microseconds(pause));
    ErrorCode ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    const bool good = co_await this->signs.ReadFleet();
    if (good) {
      this->holder.SetFleetSize(this->signs.FleetSize());
      this->pacer.SetFleetSize(this->signs.FleetSize());
    }
    pause = good ? this->options.census_interval : kReadAgain;
  }
}

asio::awaitable<void> BudgetKeeper::TakeOver() {
  const budget::ReleaseOptions release = this->holder.GetReleaseOptions();
  const std::optional<Duration> silence =
      co_await this->signs.FormerSilence(release);
  if (!silence) co_return;

  std::map<AccountShard*, std::vector<budget::GrantCeiling>> by_shard;
  for (const pb::HeldCeiling& item : this->signs.Former()->ceilings()) {
    budget::GrantCeiling held;
    held.organisation = item.organisation();
    held.ceiling = Tokens(item.ceiling_tokens());
    by_shard[&this->ShardOf(held.organisation)].push_back(held);
  }
  StoreClient client(this->context, this->watchdog,
                     this->options.store_address);
  for (const auto& [shard, ceilings] : by_shard) {
    co_await shard->Reclaim(client, this->signs.FormerHolder(), ceilings,
                            *silence);
    this->wanted.Notify();
  }
  this->calls += client.Calls();
}

}  // namespace fuchsiadrum::gateway
