#include "fuchsiadrum/budget/grant_holder.h"

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

Tokens Scale(double factor, Tokens amount) {
  return Tokens(
      static_cast<int64_t>(factor * static_cast<double>(amount.count)));
}

}  // namespace

GrantHolder::GrantHolder(const GrantHolderOptions& holder_options)
    : options(holder_options),
      sizer(holder_options),
      ceiling_policy(holder_options),
      pace(holder_options.paced_calls_per_s),
      returns(holder_options) {}

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
  pool.demand.Add(now, amount);
  pool.long_term_demand.Add(now, amount);
  pool.burst_demand.Add(now, amount);
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
  // The silence that a successor computes from the last recorded heartbeat must
  // cover the one computed here. So the silence is counted from the last answer
  // or, if that is later, from the start of the heartbeat that is under way.
  const Duration silence =
      now - std::max(this->heartbeat_written_at, this->heartbeat_started_at);
  Tokens ceiling = pool.Ceiling();
  if (this->Breaks(GrantMutation::kIgnoreCeiling)) {
    return pool.spendable_total;
  }
  if (this->Breaks(GrantMutation::kUnrecordedHeadroom)) {
    ceiling = std::max(ceiling, pool.InUse() + this->CeilingHeadroom(
                                                   pool, pool.spendable_total));
  }
  const bool is_early = this->Breaks(GrantMutation::kReleaseWithoutDelay);
  return ReleasedTotal(
      this->options.release, ceiling, pool.spendable_total,
      is_early ? silence + this->options.release.release_delay : silence);
}

void GrantHolder::AddWaiting(const std::string& organisation, Tokens amount) {
  this->PoolOf(organisation).waiting.Add(amount);
}

void GrantHolder::RemoveWaiting(const std::string& organisation,
                                Tokens amount) {
  this->PoolOf(organisation).waiting.Remove(amount);
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
  if (this->IsUrgent(now, organisation)) return true;
  if (pool.answers_call) return true;
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
  const Duration shortest = std::clamp(
      this->PacedInterval(pool), this->options.min_account_refresh_interval,
      this->options.max_account_refresh_interval);
  return std::clamp(interval, shortest,
                    this->options.max_account_refresh_interval);
}

bool GrantHolder::IsUrgent(TimePoint now,
                           const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return false;
  const Pool& pool = found->second;
  if (pool.in_flight || now < pool.short_until) return false;
  return pool.InUse() + pool.Need() > pool.spendable_total ||
         this->IsRunningLow(pool);
}

bool GrantHolder::IsRunningLow(const Pool& pool) const {
  const double soon =
      pool.burst_demand.Rate() * ToSeconds(this->options.urgent_burst_time);
  const Tokens unused = pool.spendable_total - pool.InUse();
  // Sparse requests are no burst.
  return soon > this->options.min_burst_requests * this->typical_request &&
         soon > static_cast<double>(unused.count);
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
  pool.answers_call = false;
  // Too few tokens are ungranted. A request that still waits sets the unmet
  // amount again when it retries.
  const Tokens after = total.value_or(pool.recorded.granted);
  const bool is_short = pool.InUse() + pool.Need() > after ||
                        (!total && this->IsRunningLow(pool));
  if (!total || is_short) pool.unmet_amount = Tokens(0);
  if (is_short) pool.short_until = now + this->options.short_retry_interval;
  if (!total) return std::nullopt;

  pool.in_flight = true;
  if (this->Breaks(GrantMutation::kSpendBeforeWritten)) {
    pool.spendable_total = *total;
  } else if (!this->Breaks(GrantMutation::kReturnBindsLate)) {
    pool.spendable_total = std::min(pool.spendable_total, *total);
  }
  pool.planned = {
      .granted = *total,
      .spent = pool.spent,
      .demand = this->closed ? Tokens(0)
                             : Tokens(static_cast<int64_t>(pool.demand.Rate())),
      .ceiling = this->NextCeiling(pool, *total)};
  pool.grant_ceiling = std::min(pool.grant_ceiling, pool.planned.ceiling);
  pool.planned_account = account;
  pool.planned_account.limit = LimitOf(pool, account);
  pool.planned_account.limit_version =
      std::max(account.limit_version, pool.limit_version);
  pool.planned_account.Replace(this->zone, pool.recorded, pool.planned);
  FD_ASSERT(pool.planned.granted <= pool.recorded.granted ||
                pool.planned_account.granted <= pool.planned_account.limit,
            "planned grant raises the account above the budget");
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
  if (this->Breaks(GrantMutation::kRefusedCountsWritten)) {
    pool.recorded = pool.planned;
  }
  pool.spendable_total = pool.recorded.granted;
  pool.grant_ceiling = pool.recorded.ceiling;
}

void GrantHolder::OnOutcomeUnknown(const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  if (pool.planned.granted < pool.recorded.granted &&
      !this->Breaks(GrantMutation::kUnknownKeepsHigher)) {
    pool.recorded = pool.planned;
  }
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
        this->Breaks(GrantMutation::kPlannedCeilingCounts)
            ? pool.planned_heartbeat_ceiling
            : std::min(pool.heartbeat_ceiling, pool.planned_heartbeat_ceiling);
    if (pool.planned_heartbeat_ceiling >= pool.recorded.granted) continue;
    ceilings.push_back(
        {.organisation = name, .ceiling = pool.planned_heartbeat_ceiling});
  }
  return ceilings;
}

void GrantHolder::OnHeartbeatWritten(TimePoint now) {
  this->heartbeat_written_at = now;
  for (auto& [name, pool] : this->pools) {
    pool.heartbeat_ceiling = pool.planned_heartbeat_ceiling;
    ClearUnmetAmountIfCovered(pool);
  }
}

bool GrantHolder::IsHeartbeatUrgent() const {
  return std::ranges::any_of(this->pools, [](const auto& entry) {
    const Pool& pool = entry.second;
    const Tokens needed = pool.InUse() + pool.SmallestNeed();
    return pool.SmallestNeed().count > 0 && needed <= pool.spendable_total &&
           needed > pool.Ceiling();
  });
}

Tokens GrantHolder::CeilingHeadroom(const Pool& pool, Tokens total) const {
  CeilingSituation situation;
  situation.expected_rate = pool.expected_rate;
  situation.own_rate = pool.demand.Rate();
  situation.fleet_rate = pool.fleet_rate;
  situation.burst_rate = pool.burst_demand.Rate();
  situation.largest_request = pool.demand.Largest();
  situation.typical_request = this->typical_request > 0
                                  ? this->typical_request
                                  : this->options.assumed_request_tokens;
  situation.fleet_size = this->fleet_size;
  situation.is_spread = this->IsSpreadOverFleet(pool);
  situation.limit = *pool.limit;
  situation.unspent = *pool.limit - pool.account.spent;
  situation.unused = std::max(Tokens(0), total - pool.InUse());
  situation.waiting = pool.Need();
  return this->ceiling_policy.Headroom(situation);
}

Tokens GrantHolder::NextCeiling(const Pool& pool, Tokens total) const {
  const Tokens in_use = pool.InUse();
  if (this->closed) return in_use;
  return std::max(in_use,
                  std::min(total, in_use + this->CeilingHeadroom(pool, total)));
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

void GrantHolder::UpdateExpectedRate(TimePoint now, Pool& pool) const {
  const double own = pool.demand.Rate();
  const Tokens others = pool.account.demand - pool.recorded.demand;
  const double fleet = own + std::max(0.0, static_cast<double>(others.count));
  pool.fleet_rate = fleet;
  if (fleet > 0 && pool.demand_known_since.us == 0) {
    pool.demand_known_since = now;
  }
  if (!this->IsSpreadOverFleet(pool) || fleet <= 0) {
    pool.expected_rate = own;
    return;
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
  pool.expected_rate = std::max({own, weighted_mean, this->ZoneAverage(pool)});
}

double GrantHolder::ZoneAverage(const Pool& pool) const {
  const auto found = pool.account.zone_demand.find(this->zone);
  if (this->zone_size == 0 || found == pool.account.zone_demand.end()) return 0;
  return static_cast<double>(found->second.count) /
         static_cast<double>(this->zone_size);
}

Duration GrantHolder::PacedInterval(const Pool& pool) const {
  // Only gateways with requests of the organisation hold pools of a budget that
  // is not spread, and it is too small to wait for what they return.
  if (!this->IsSpreadOverFleet(pool)) return Duration::zero();
  const double fraction =
      pool.fleet_rate > 0 ? pool.demand.Rate() / pool.fleet_rate : 0;
  return this->pace.Interval(this->fleet_size, fraction);
}

Duration GrantHolder::ReturnInterval(const Pool& pool, Tokens target) const {
  const Duration interval = this->PacedInterval(pool);
  // A gateway that expects no requests returns its tokens once, and early.
  if (target.count > 0) return interval;
  return std::chrono::duration_cast<Duration>(
      interval * this->options.idle_return_factor);
}

bool GrantHolder::IsRefillDue(TimePoint now, const Pool& pool,
                              Tokens target) const {
  const Tokens unused = pool.recorded.granted - pool.InUse();
  if (unused < Scale(this->options.urgent_low_water, target)) return true;
  // A step below half a request is not worth a write.
  const auto step = static_cast<double>((target - unused).count);
  return unused < Scale(this->options.low_water, target) &&
         step >= this->options.min_refill_requests * this->typical_request &&
         now - pool.recorded_at >= this->PacedInterval(pool);
}

Tokens GrantHolder::Target(TimePoint now, Pool& pool,
                           const FleetAccount& account) const {
  this->UpdateExpectedRate(now, pool);
  PoolSituation situation;
  situation.fleet_rate = pool.fleet_rate;
  situation.expected_rate = pool.expected_rate;
  situation.burst_rate = pool.burst_demand.Rate();
  situation.long_term_rate = pool.long_term_demand.Rate();
  situation.largest_request = pool.demand.Largest();
  situation.typical_request = this->typical_request;
  situation.fleet_size = this->fleet_size;
  situation.is_spread = this->IsSpreadOverFleet(pool);
  situation.limit = *pool.limit;
  if (pool.demand_known_since.us != 0) {
    situation.demand_known_for = now - pool.demand_known_since;
  }
  // The unused tokens of this pool count as free, since the target decides
  // about them.
  situation.free = MaxTotal(pool, account) - pool.InUse();
  const Tokens target = this->sizer.Target(situation);
  if (!this->IsCalled(now, pool)) return target;
  return std::min(target, this->returns.Kept(this->SituationOf(pool)));
}

std::optional<Tokens> GrantHolder::NextTotal(
    TimePoint now, Pool& pool, const FleetAccount& account) const {
  pool.demand.Advance(now);
  pool.long_term_demand.Advance(now);
  pool.burst_demand.Advance(now);
  const Tokens recorded = pool.recorded.granted;
  const Tokens in_use = pool.InUse();
  const bool over_limit = account.granted > LimitOf(pool, account);
  if (this->closed || over_limit) {
    if (recorded == in_use) return std::nullopt;
    return std::min(recorded, in_use);
  }

  const Tokens target = this->Target(now, pool, account);
  const Tokens unused = recorded - in_use;
  const Tokens need = pool.Need();
  if (unused < need || this->IsRefillDue(now, pool, target)) {
    const Tokens max_total = MaxTotal(pool, account);
    const Tokens total = std::min(in_use + std::max(target, need), max_total);
    // Tokens that are too few for all waiting requests serve the smallest ones.
    if (total > recorded && total >= in_use + pool.SmallestNeed()) return total;
    return std::nullopt;
  }
  if (pool.answers_call && unused > target &&
      MaxTotal(pool, account) - recorded < pool.called_amount) {
    const bool forgets = this->Breaks(GrantMutation::kAnswerForgetsReserved);
    return (forgets ? pool.spent : in_use) + std::max(target, need);
  }
  const double high_water =
      TimeToExhaustion(pool, account) > this->options.ample_time
          ? this->options.ample_high_water
          : this->options.high_water;
  if (unused > Scale(high_water, target) && unused > need &&
      now - pool.recorded_at >= this->ReturnInterval(pool, target)) {
    const Tokens total = in_use + std::max(target, need);
    if (total < recorded) return total;
  }
  if (this->IsSpendStale(now, pool, account)) return recorded;
  return std::nullopt;
}

bool GrantHolder::IsSpendStale(TimePoint now, const Pool& pool,
                               const FleetAccount& account) const {
  if (pool.spent == pool.recorded.spent) return false;
  if (now - pool.recorded_at < std::max(this->options.spend_refresh_interval,
                                        this->PacedInterval(pool))) {
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
  pool.burst_demand = DemandMeter(this->options.burst_time_constant,
                                  this->options.largest_request_time_constant);
  return pool;
}

}  // namespace fuchsiadrum::budget
