#include "fuchsiadrum/budget/grant_holder.h"

#include <cmath>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::budget {
namespace {

/// Fraction of the unspent tokens that the minimum headrooms of all gateways
/// may take together if the budget is spread over the fleet: a crash of all
/// gateways would strand them.
constexpr double kMaxMinHeadroomFraction = 0.2;

Tokens Scale(double factor, Tokens amount) {
  return Tokens(SaturatedWhole(factor * static_cast<double>(amount.count)));
}

}  // namespace

GrantHolder::GrantHolder(const GrantHolderOptions& holder_options)
    : options(holder_options) {}

void GrantHolder::SetLimit(const std::string& organisation,
                           std::optional<Tokens> limit, uint64_t version) {
  Pool& pool = this->PoolOf(organisation);
  const std::optional<Tokens> before = pool.limit;
  pool.limit = limit;
  pool.limit_version = version;
  if (!limit || !before || *limit >= *before) return;

  // The recorded totals are only known to be within the old limit. Tokens that
  // are not in use are returned, and requested again under the new limit.
  if (pool.account.granted > *limit) {
    pool.spendable_total = std::min(pool.spendable_total, pool.InUse());
  }
}

void GrantHolder::OnRequest(TimePoint now, const std::string& organisation,
                            Tokens amount) {
  Pool& pool = this->PoolOf(organisation);
  // No grant can serve it. As demand it would take tokens from other requests.
  if (pool.limit && amount > *pool.limit) return;
  pool.demand.Add(now, amount);
  pool.long_term_demand.Add(now, amount);
  const auto size = static_cast<double>(amount.count);
  const double weight =
      this->typical_request > 0 ? this->options.typical_request_weight : 1;
  this->typical_request += weight * (size - this->typical_request);
}

ReserveOutcome GrantHolder::Reserve(TimePoint now,
                                    const std::string& organisation,
                                    Tokens amount) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit) {
    pool.reserved += amount;
    return ReserveOutcome::kReserved;
  }
  if (this->closed) return ReserveOutcome::kHeldElsewhere;

  if (pool.InUse() + amount <= this->ReleasedTotalAt(now, pool)) {
    pool.reserved += amount;
    return ReserveOutcome::kReserved;
  }

  // The spend of the other holders is only known as recorded, that of this one
  // exactly.
  const Tokens others_spent = pool.account.spent - pool.recorded.spent;
  if (others_spent + pool.InUse() + amount > LimitOf(pool, pool.account)) {
    return ReserveOutcome::kExhausted;
  }

  pool.unmet_amount = std::max(pool.unmet_amount, amount);
  const bool is_fresh = pool.account_at.us != 0 &&
                        now - pool.account_at < this->options.max_account_age;
  if (is_fresh && pool.InUse() + amount > MaxTotal(pool, pool.account)) {
    return ReserveOutcome::kHeldElsewhere;
  }
  return ReserveOutcome::kPending;
}

Tokens GrantHolder::LimitOf(const Pool& pool, const FleetAccount& account) {
  // Another gateway may have loaded a newer configuration than this one.
  return account.limit_version > pool.limit_version ? account.limit
                                                    : *pool.limit;
}

Tokens GrantHolder::MaxTotal(const Pool& pool, const FleetAccount& account) {
  return LimitOf(pool, account) - (account.granted - pool.recorded.granted);
}

Tokens GrantHolder::ReleasedTotalAt(TimePoint now, const Pool& pool) const {
  if (pool.recorded.is_ceiling_final) {
    return std::min(pool.Ceiling(), pool.spendable_total);
  }
  // The silence that a successor computes from the last recorded heartbeat must
  // cover the one computed here. So the silence is counted from the last answer
  // or, if that is later, from the start of the heartbeat that is under way.
  const Duration silence =
      now - std::max(this->heartbeat_written_at, this->heartbeat_started_at);
  return ReleasedTotal(this->options.release, pool.Ceiling(),
                       pool.spendable_total, silence);
}

void GrantHolder::Settle(const std::string& organisation, Tokens amount,
                         Tokens spent) {
  Pool& pool = this->PoolOf(organisation);
  FD_ASSERT(pool.reserved >= amount,
            "settled amount exceeds the reserved tokens");
  FD_ASSERT(!pool.limit || spent <= amount,
            "spent tokens exceed the settled reservation");
  pool.reserved -= amount;
  pool.spent += spent;
  pool.settled += amount;
}

bool GrantHolder::IsDue(TimePoint now, const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit || pool.in_flight) return false;
  // A request that only needs a higher ceiling waits for the next heartbeat.
  if (this->HasUnmetRequest(organisation)) return true;
  if (!this->closed && now - pool.checked_at < this->options.check_interval) {
    return false;
  }
  pool.checked_at = now;
  const bool holds =
      this->IsSpreadOverFleet(pool) || pool.recorded.granted > pool.InUse();
  if (holds && now - pool.account_at > this->AccountRefreshInterval(pool)) {
    return true;
  }
  return this->NextTotal(now, pool, pool.account).has_value();
}

Duration GrantHolder::TimeToExhaustion(const Pool& pool,
                                       const FleetAccount& account) {
  const Tokens ungranted = LimitOf(pool, account) - account.granted;
  const auto demand = std::max(1.0, static_cast<double>(account.demand.count));
  constexpr double kMaxSeconds = 3600;
  return FromSeconds(std::clamp(static_cast<double>(ungranted.count) / demand,
                                0.0, kMaxSeconds));
}

Duration GrantHolder::AccountRefreshInterval(const Pool& pool) const {
  // Once the ungranted tokens are used up, other gateways need the tokens that
  // this one does not use. So it has to read the account before that.
  const auto interval = std::chrono::duration_cast<Duration>(
      TimeToExhaustion(pool, pool.account) *
      this->options.account_refresh_fraction);
  return std::clamp(interval, this->options.min_account_refresh_interval,
                    this->options.max_account_refresh_interval);
}

bool GrantHolder::HasUnmetRequest(const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return false;
  const Pool& pool = found->second;
  return !pool.in_flight &&
         (pool.InUse() + pool.unmet_amount > pool.spendable_total ||
          (pool.unmet_amount > Tokens(0) && pool.NeedsFinalCeiling()));
}

std::optional<GrantUpdate> GrantHolder::PlanWrite(
    TimePoint now, const std::string& organisation,
    const FleetAccount& account) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit || pool.in_flight) return std::nullopt;
  pool.account = account;
  pool.account_at = now;
  pool.checked_at = now;
  const std::optional<Tokens> total = this->NextTotal(now, pool, account);
  // Too few tokens are ungranted. A request that still waits sets the unmet
  // amount again when it retries.
  if (!total || pool.InUse() + pool.unmet_amount > *total) {
    pool.unmet_amount = Tokens(0);
  }
  if (!total) return std::nullopt;

  pool.in_flight = true;
  pool.spendable_total = std::min(pool.spendable_total, *total);
  pool.planned = {.granted = *total,
                  .spent = pool.spent,
                  .demand = this->closed
                                ? Tokens(0)
                                : Tokens(SaturatedWhole(pool.demand.Rate())),
                  .ceiling = this->NextCeiling(pool, *total),
                  .is_ceiling_final = this->awaits_heartbeat};
  pool.grant_ceiling = std::min(pool.grant_ceiling, pool.planned.ceiling);
  pool.planned_account = account;
  pool.planned_account.limit = LimitOf(pool, account);
  pool.planned_account.limit_version =
      std::max(account.limit_version, pool.limit_version);
  pool.planned_account.Replace(pool.recorded, pool.planned);
  FD_ASSERT(pool.planned.granted <= pool.recorded.granted ||
                pool.planned_account.granted <= pool.planned_account.limit,
            "planned grant raises the account above the budget");
  return GrantUpdate{.organisation = organisation,
                     .grant = pool.planned,
                     .account = pool.planned_account};
}

std::optional<GrantUpdate> GrantHolder::PlanRestore(
    const std::string& organisation, const RecordedGrant& stored,
    const FleetAccount& account) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit || pool.in_flight) return std::nullopt;
  // Without a write the account is the sum of what is stored.
  if (stored.granted == pool.recorded.granted &&
      stored.spent == pool.recorded.spent &&
      stored.ceiling >= pool.recorded.ceiling &&
      stored.is_ceiling_final == pool.recorded.is_ceiling_final) {
    return std::nullopt;
  }
  pool.in_flight = true;
  pool.planned = pool.recorded;
  pool.planned.spent = pool.spent;
  pool.planned.ceiling = std::max(
      pool.grant_ceiling, this->NextCeiling(pool, pool.recorded.granted));
  pool.planned_account = account;
  pool.planned_account.limit = LimitOf(pool, account);
  pool.planned_account.limit_version =
      std::max(account.limit_version, pool.limit_version);
  pool.planned_account.Replace(stored, pool.planned);
  return GrantUpdate{.organisation = organisation,
                     .grant = pool.planned,
                     .account = pool.planned_account};
}

void GrantHolder::OnWritten(TimePoint now, const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  FD_ASSERT(pool.in_flight, "OnWritten without a planned write");
  pool.in_flight = false;
  pool.recorded = pool.planned;
  pool.recorded_at = now;
  pool.account = pool.planned_account;
  pool.account_at = now;
  pool.spendable_total = pool.planned.granted;
  pool.grant_ceiling = pool.planned.ceiling;
  ClearUnmetAmountIfCovered(pool);
}

void GrantHolder::OnRefused(const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  pool.in_flight = false;
  pool.spendable_total = pool.recorded.granted;
  pool.grant_ceiling = pool.recorded.ceiling;
}

void GrantHolder::OnOutcomeUnknown(const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  const RecordedGrant before = pool.recorded;
  if (pool.planned.granted < before.granted) pool.recorded = pool.planned;
  pool.recorded.ceiling = std::min(before.ceiling, pool.planned.ceiling);
  pool.recorded.is_ceiling_final =
      before.is_ceiling_final || pool.planned.is_ceiling_final;
  this->OnRefused(organisation);
}

void GrantHolder::ClearUnmetAmountIfCovered(Pool& pool) {
  const Tokens bound = std::min(pool.spendable_total, pool.Ceiling());
  if (pool.InUse() + pool.unmet_amount <= bound) pool.unmet_amount = Tokens(0);
}

std::vector<GrantCeiling> GrantHolder::PlanHeartbeat(TimePoint /*now*/) {
  std::vector<GrantCeiling> ceilings;
  for (auto& [name, pool] : this->pools) {
    if (!pool.limit || pool.recorded.granted.count == 0) continue;
    pool.planned_heartbeat_ceiling =
        this->NextCeiling(pool, pool.spendable_total);
    pool.heartbeat_ceiling =
        std::min(pool.heartbeat_ceiling, pool.planned_heartbeat_ceiling);
    if (pool.planned_heartbeat_ceiling >= pool.recorded.granted) continue;
    ceilings.push_back(
        {.organisation = name, .ceiling = pool.planned_heartbeat_ceiling});
  }
  return ceilings;
}

void GrantHolder::OnHeartbeatWritten(TimePoint now) {
  this->heartbeat_written_at = now;
  this->awaits_heartbeat = false;
  for (auto& [name, pool] : this->pools) {
    pool.heartbeat_ceiling = pool.planned_heartbeat_ceiling;
    ClearUnmetAmountIfCovered(pool);
  }
}

bool GrantHolder::IsHeartbeatUrgent() const {
  return std::ranges::any_of(this->pools, [](const auto& entry) {
    const Pool& pool = entry.second;
    return pool.unmet_amount.count > 0 &&
           pool.InUse() + pool.unmet_amount <= pool.spendable_total &&
           pool.InUse() + pool.unmet_amount > pool.Ceiling();
  });
}

Tokens GrantHolder::CeilingHeadroom(const Pool& pool) const {
  const double headroom_fraction =
      std::clamp(UnspentFraction(pool) / this->options.full_headroom_fraction,
                 this->options.min_headroom_fraction, 1.0);
  double headroom =
      pool.expected_rate * ToSeconds(this->options.ceiling_horizon);
  if (!this->IsSpreadOverFleet(pool)) {
    headroom = std::max(
        headroom, this->options.min_ceiling_requests * this->typical_request);
  }
  headroom *= headroom_fraction;

  const double own = pool.demand.Rate();
  if (own > 0 && this->IsSpreadOverFleet(pool)) {
    const Tokens others = pool.account.demand - pool.recorded.demand;
    const double fleet = own + std::max(0.0, static_cast<double>(others.count));
    const double pool_fraction =
        std::max(own / fleet, 1.0 / static_cast<double>(this->fleet_size));
    const double unspent =
        UnspentFraction(pool) * static_cast<double>(pool.limit->count);
    const double next_requests =
        this->options.min_ceiling_requests *
        std::max(this->typical_request, pool.demand.Largest());
    headroom = std::max(
        headroom, std::min(next_requests,
                           kMaxMinHeadroomFraction * pool_fraction * unspent));
  }
  return std::max(pool.unmet_amount, Tokens(SaturatedWhole(headroom)));
}

Tokens GrantHolder::NextCeiling(const Pool& pool, Tokens total) const {
  const Tokens in_use = pool.InUse();
  if (this->closed) return in_use;
  return std::max(in_use,
                  std::min(total, in_use + this->CeilingHeadroom(pool)));
}

double GrantHolder::UnspentFraction(const Pool& pool) {
  if (pool.limit->count <= 0) return 0;
  const Tokens unspent = *pool.limit - pool.account.spent;
  return static_cast<double>(unspent.count) /
         static_cast<double>(pool.limit->count);
}

Tokens GrantHolder::Available(TimePoint now,
                              const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end()) return Tokens(0);
  return this->ReleasedTotalAt(now, found->second) - found->second.InUse();
}

bool GrantHolder::IsSpreadOverFleet(const Pool& pool) const {
  if (this->fleet_size == 0 || !pool.limit) return false;
  const auto size = static_cast<double>(this->fleet_size);
  const double request = this->typical_request > 0
                             ? this->typical_request
                             : this->options.assumed_request_tokens;
  return this->fleet_size * this->pools.size() <=
             this->options.max_spread_grants &&
         size * request <= this->options.max_spread_fraction *
                               static_cast<double>(pool.limit->count);
}

double GrantHolder::UpdateExpectedRate(TimePoint now, Pool& pool) const {
  const double own = pool.demand.Rate();
  const Tokens others = pool.account.demand - pool.recorded.demand;
  const double fleet = own + std::max(0.0, static_cast<double>(others.count));
  if (fleet > 0 && pool.demand_known_since.us == 0) {
    pool.demand_known_since = now;
  }
  if (!this->IsSpreadOverFleet(pool) || fleet <= 0) {
    pool.expected_rate = own;
    return fleet;
  }

  const double observed =
      std::min(ToSeconds(this->options.demand_time_constant),
               ToSeconds(now - pool.demand_known_since));
  const double average_weight = ToSeconds(this->options.fleet_average_weight);
  const double average = fleet / static_cast<double>(this->fleet_size);
  const double weighted_mean =
      (own * observed + average * average_weight) / (observed + average_weight);
  // The callers of some organisations all reach the same gateway, so the
  // demand seen here counts in full.
  pool.expected_rate = std::max(own, weighted_mean);
  return fleet;
}

double GrantHolder::InitialShare(TimePoint now, const Pool& pool) const {
  if (!this->IsSpreadOverFleet(pool)) return 0;
  // The share shrinks linearly to 0 while the demand becomes known.
  double unknown_fraction = 1;
  if (pool.demand_known_since.us != 0) {
    unknown_fraction -= ToSeconds(now - pool.demand_known_since) /
                        ToSeconds(this->options.demand_time_constant);
  }
  return std::max(0.0, unknown_fraction) * this->options.initial_fraction *
         static_cast<double>(pool.limit->count) /
         static_cast<double>(this->fleet_size);
}

bool GrantHolder::HasSteadyPool(const Pool& pool) const {
  return this->IsSpreadOverFleet(pool) ||
         pool.expected_rate * ToSeconds(this->options.horizon) >=
             this->options.min_steady_requests * this->typical_request;
}

double GrantHolder::SparseDemand(const Pool& pool) const {
  const double horizon = ToSeconds(this->options.horizon);
  const double long_term = pool.long_term_demand.Rate() * horizon;
  const double recent = pool.expected_rate * horizon;
  // Without regular demand at this gateway a single request says nothing about
  // the next one.
  if (long_term <
      this->options.min_long_term_requests * this->typical_request) {
    return recent;
  }
  return std::max(recent,
                  long_term + std::sqrt(long_term * this->typical_request));
}

Tokens GrantHolder::Target(TimePoint now, Pool& pool,
                           const FleetAccount& account) const {
  const double fleet = this->UpdateExpectedRate(now, pool);
  const double expected = pool.expected_rate * ToSeconds(this->options.horizon);
  double pool_fraction = this->options.min_pool_fraction;
  if (this->IsSpreadOverFleet(pool)) {
    pool_fraction =
        std::max(pool_fraction, 1.0 / static_cast<double>(this->fleet_size));
  }
  if (fleet > 0) {
    pool_fraction = std::max(pool_fraction, pool.expected_rate / fleet);
  }

  double by_demand = 0;
  double pooled_fraction = this->options.max_pooled_fraction;
  if (this->HasSteadyPool(pool)) {
    const double deviation = std::sqrt(expected * this->typical_request);
    by_demand =
        std::max({expected + this->options.demand_deviations * deviation,
                  this->options.min_largest_requests * pool.demand.Largest(),
                  this->InitialShare(now, pool)});
  } else {
    // The next request may reach any gateway. Tokens held here would be missing
    // at the gateway that it reaches.
    by_demand = this->SparseDemand(pool);
    pooled_fraction = this->options.max_sparse_pooled_fraction;
  }

  // The unused tokens of this pool count as ungranted, since the target decides
  // about them.
  const Tokens ungranted = MaxTotal(pool, account) - pool.InUse();
  const double by_ungranted =
      static_cast<double>(std::max<int64_t>(0, ungranted.count)) *
      pooled_fraction * pool_fraction;
  const double target = std::min(by_demand, by_ungranted);
  // Tokens for less than a typical request are of no use here.
  if (!this->HasSteadyPool(pool) && target < this->typical_request) {
    return Tokens(0);
  }
  return Tokens(SaturatedWhole(target));
}

std::optional<Tokens> GrantHolder::NextTotal(
    TimePoint now, Pool& pool, const FleetAccount& account) const {
  pool.demand.Advance(now);
  pool.long_term_demand.Advance(now);
  const Tokens recorded = pool.recorded.granted;
  const Tokens in_use = pool.InUse();
  const bool over_limit = account.granted > LimitOf(pool, account);
  if (this->closed || over_limit) {
    if (recorded == in_use) return std::nullopt;
    return std::min(recorded, in_use);
  }

  // The ceiling alone may be due.
  const bool is_ceiling_due = this->awaits_heartbeat
                                  ? pool.NeedsFinalCeiling()
                                  : pool.recorded.is_ceiling_final;
  const auto unchanged =
      is_ceiling_due ? std::optional<Tokens>(recorded) : std::nullopt;
  const Tokens target = this->Target(now, pool, account);
  const Tokens unused = recorded - in_use;
  if (unused < pool.unmet_amount ||
      unused < Scale(this->options.low_water, target)) {
    const Tokens max_total = MaxTotal(pool, account);
    const Tokens total =
        std::min(in_use + std::max(target, pool.unmet_amount), max_total);
    const bool may_raise =
        !this->store_restored_at ||
        now - *this->store_restored_at >= this->options.restore_time;
    if (may_raise && total > recorded && total >= in_use + pool.unmet_amount) {
      return total;
    }
    return unchanged;
  }
  const double high_water =
      TimeToExhaustion(pool, account) > this->options.ample_time
          ? this->options.ample_high_water
          : this->options.high_water;
  if (unused > Scale(high_water, target) && unused > pool.unmet_amount) {
    const Tokens total = in_use + std::max(target, pool.unmet_amount);
    if (total < recorded) return total;
  }
  if (this->IsSpendStale(now, pool, account)) return recorded;
  return unchanged;
}

bool GrantHolder::IsSpendStale(TimePoint now, const Pool& pool,
                               const FleetAccount& account) const {
  if (pool.spent == pool.recorded.spent) return false;
  if (now - pool.recorded_at < this->options.spend_refresh_interval) {
    return false;
  }
  const auto limit = static_cast<double>(pool.limit->count);
  const auto ungranted =
      static_cast<double>((*pool.limit - account.granted).count);
  return ungranted < this->options.spend_refresh_threshold * limit;
}

GrantHolder::Pool& GrantHolder::PoolOf(const std::string& organisation) {
  const auto found = this->pools.find(organisation);
  if (found != this->pools.end()) return found->second;
  Pool& pool = this->pools[organisation];
  pool.demand = DemandMeter(this->options.demand_time_constant,
                            this->options.largest_request_time_constant);
  pool.long_term_demand =
      DemandMeter(this->options.long_term_time_constant,
                  this->options.largest_request_time_constant);
  return pool;
}

}  // namespace fuchsiadrum::budget
