#include "fuchsiadrum/budget/grant_holder.h"

#include <cmath>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

Tokens Part(double part, Tokens whole) {
  return Tokens(static_cast<int64_t>(part * static_cast<double>(whole.count)));
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

  // The recorded totals were within the old limit only. What is not in use is
  // given back, and asked for again under the new one.
  if (pool.account.granted > *limit) {
    pool.usable = std::min(pool.usable, pool.InUse());
  }
}

void GrantHolder::OnRequest(TimePoint now, const std::string& organisation,
                            Tokens amount) {
  Pool& pool = this->PoolOf(organisation);
  pool.demand.Add(now, amount);
  pool.usual_demand.Add(now, amount);
  const auto size = static_cast<double>(amount.count);
  const double weight =
      this->typical_request > 0 ? this->options.typical_weight : 1;
  this->typical_request += weight * (size - this->typical_request);
}

ReserveResult GrantHolder::Reserve(TimePoint now,
                                   const std::string& organisation,
                                   Tokens amount) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit) {
    pool.reserved += amount;
    return ReserveResult::kReserved;
  }
  if (this->closed) return ReserveResult::kHeldElsewhere;

  if (pool.InUse() + amount <= this->Bound(now, pool)) {
    pool.reserved += amount;
    return ReserveResult::kReserved;
  }

  // Others' spend as recorded, the own one as it is.
  const Tokens others_spent = pool.account.spent - pool.recorded.spent;
  if (others_spent + pool.InUse() + amount > LimitOf(pool, pool.account)) {
    return ReserveResult::kExhausted;
  }

  pool.wanted = std::max(pool.wanted, amount);
  const bool is_fresh = pool.account_at.us != 0 &&
                        now - pool.account_at < this->options.account_fresh;
  if (is_fresh && pool.InUse() + amount > FreeFor(pool, pool.account)) {
    return ReserveResult::kHeldElsewhere;
  }
  return ReserveResult::kNotYet;
}

Tokens GrantHolder::LimitOf(const Pool& pool, const FleetAccount& account) {
  // Another gateway may know a newer configuration than this one.
  return account.limit_version > pool.limit_version ? account.limit
                                                    : *pool.limit;
}

Tokens GrantHolder::FreeFor(const Pool& pool, const FleetAccount& account) {
  return LimitOf(pool, account) - (account.granted - pool.recorded.granted);
}

Tokens GrantHolder::Bound(TimePoint now, const Pool& pool) const {
  // A recorded sign is never older than its answer or, while that is missing,
  // its begin: a successor knows as much of the silence.
  const Duration silence = now - std::max(this->signed_at, this->sign_begun_at);
  return ReleasedTotal(this->options.release, pool.Ceiling(), pool.usable,
                       silence);
}

void GrantHolder::Settle(const std::string& organisation, Tokens amount,
                         Tokens spent) {
  Pool& pool = this->PoolOf(organisation);
  FD_ASSERT(pool.reserved >= amount, "settled more than was reserved");
  FD_ASSERT(!pool.limit || spent <= amount, "spent more than was reserved");
  pool.reserved -= amount;
  pool.spent += spent;
}

bool GrantHolder::IsDue(TimePoint now, const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit || pool.in_flight) return false;
  // A ceiling is raised by the next sign of life.
  if (this->IsWanting(organisation)) return true;
  if (!this->closed && now - pool.looked_at < this->options.look_interval) {
    return false;
  }
  pool.looked_at = now;
  const bool holds =
      this->SpreadsPool(pool) || pool.recorded.granted > pool.InUse();
  if (holds && now - pool.account_at > this->RefreshTime(pool)) return true;
  return this->NextTotal(now, pool, pool.account).has_value();
}

Duration GrantHolder::TimeLeft(const Pool& pool, const FleetAccount& account) {
  const Tokens free = LimitOf(pool, account) - account.granted;
  const auto demand = std::max(1.0, static_cast<double>(account.demand.count));
  constexpr double kMostSeconds = 3600;
  return FromSeconds(
      std::clamp(static_cast<double>(free.count) / demand, 0.0, kMostSeconds));
}

Duration GrantHolder::RefreshTime(const Pool& pool) const {
  // The free tokens may be gone before this gateway looks again; then others
  // need what it does not use.
  const auto part = std::chrono::duration_cast<Duration>(
      TimeLeft(pool, pool.account) * this->options.refresh_part);
  return std::clamp(part, this->options.scarce_refresh,
                    this->options.spread_refresh);
}

bool GrantHolder::IsWanting(const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return false;
  const Pool& pool = found->second;
  return !pool.in_flight && pool.InUse() + pool.wanted > pool.usable;
}

std::optional<GrantUpdate> GrantHolder::PlanWrite(
    TimePoint now, const std::string& organisation,
    const FleetAccount& account) {
  Pool& pool = this->PoolOf(organisation);
  if (!pool.limit || pool.in_flight) return std::nullopt;
  pool.account = account;
  pool.account_at = now;
  pool.looked_at = now;
  const std::optional<Tokens> total = this->NextTotal(now, pool, account);
  // Not enough is free: whoever waits asks again when it is.
  if (!total || pool.InUse() + pool.wanted > *total) pool.wanted = Tokens(0);
  if (!total) return std::nullopt;

  pool.in_flight = true;
  pool.usable = std::min(pool.usable, *total);
  pool.asked = {
      .granted = *total,
      .spent = pool.spent,
      .demand = this->closed ? Tokens(0)
                             : Tokens(static_cast<int64_t>(pool.demand.Rate())),
      .ceiling = this->NextCeiling(pool, *total)};
  pool.grant_ceiling = std::min(pool.grant_ceiling, pool.asked.ceiling);
  pool.account_asked = account;
  pool.account_asked.limit = LimitOf(pool, account);
  pool.account_asked.limit_version =
      std::max(account.limit_version, pool.limit_version);
  pool.account_asked.Replace(pool.recorded, pool.asked);
  FD_ASSERT(pool.asked.granted <= pool.recorded.granted ||
                pool.account_asked.granted <= pool.account_asked.limit,
            "a grant goes beyond the budget");
  return GrantUpdate{.organisation = organisation,
                     .grant = pool.asked,
                     .account = pool.account_asked};
}

void GrantHolder::OnWritten(TimePoint now, const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  FD_ASSERT(pool.in_flight, "no write was planned");
  pool.in_flight = false;
  pool.recorded = pool.asked;
  pool.recorded_at = now;
  pool.account = pool.account_asked;
  pool.account_at = now;
  pool.usable = pool.asked.granted;
  pool.grant_ceiling = pool.asked.ceiling;
  ForgetWantIfMet(pool);
}

void GrantHolder::OnRefused(const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  pool.in_flight = false;
  pool.usable = pool.recorded.granted;
  pool.grant_ceiling = pool.recorded.ceiling;
}

void GrantHolder::OnUnknown(const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  if (pool.asked.granted < pool.recorded.granted) pool.recorded = pool.asked;
  this->OnRefused(organisation);
}

void GrantHolder::ForgetWantIfMet(Pool& pool) {
  const Tokens bound = std::min(pool.usable, pool.Ceiling());
  if (pool.InUse() + pool.wanted <= bound) pool.wanted = Tokens(0);
}

std::vector<HeldCeiling> GrantHolder::PlanSign(TimePoint /*now*/) {
  std::vector<HeldCeiling> ceilings;
  for (auto& [name, pool] : this->pools) {
    if (!pool.limit || pool.recorded.granted.count == 0) continue;
    pool.sign_asked = this->NextCeiling(pool, pool.usable);
    pool.sign_ceiling = std::min(pool.sign_ceiling, pool.sign_asked);
    if (pool.sign_asked >= pool.recorded.granted) continue;
    ceilings.push_back({.organisation = name, .ceiling = pool.sign_asked});
  }
  return ceilings;
}

void GrantHolder::OnSigned(TimePoint now) {
  this->signed_at = now;
  for (auto& [name, pool] : this->pools) {
    pool.sign_ceiling = pool.sign_asked;
    ForgetWantIfMet(pool);
  }
}

bool GrantHolder::IsSignUrgent() const {
  return std::ranges::any_of(this->pools, [](const auto& entry) {
    const Pool& pool = entry.second;
    return pool.wanted.count > 0 && pool.InUse() + pool.wanted <= pool.usable &&
           pool.InUse() + pool.wanted > pool.Ceiling();
  });
}

Tokens GrantHolder::CeilingReserve(const Pool& pool) const {
  const double part = std::clamp(UnspentPart(pool) / this->options.ample_part,
                                 this->options.least_ceiling_part, 1.0);
  double ahead = pool.expected_rate * ToSeconds(this->options.ceiling_ahead);
  if (!this->SpreadsPool(pool)) {
    ahead =
        std::max(ahead, this->options.ceiling_requests * this->typical_request);
  }
  return std::max(pool.wanted, Tokens(static_cast<int64_t>(part * ahead)));
}

Tokens GrantHolder::NextCeiling(const Pool& pool, Tokens total) const {
  const Tokens in_use = pool.InUse();
  if (this->closed) return in_use;
  return std::max(in_use, std::min(total, in_use + this->CeilingReserve(pool)));
}

double GrantHolder::UnspentPart(const Pool& pool) {
  if (pool.limit->count <= 0) return 0;
  const Tokens unspent = *pool.limit - pool.account.spent;
  return static_cast<double>(unspent.count) /
         static_cast<double>(pool.limit->count);
}

Tokens GrantHolder::Available(TimePoint now,
                              const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end()) return Tokens(0);
  return this->Bound(now, found->second) - found->second.InUse();
}

bool GrantHolder::SpreadsPool(const Pool& pool) const {
  if (this->fleet_size == 0 || !pool.limit) return false;
  const auto size = static_cast<double>(this->fleet_size);
  const double request = this->typical_request > 0
                             ? this->typical_request
                             : this->options.assumed_request;
  return this->fleet_size * this->pools.size() <=
             this->options.most_spread_grants &&
         size * request <= this->options.most_spread_part *
                               static_cast<double>(pool.limit->count);
}

double GrantHolder::ExpectRate(TimePoint now, Pool& pool) const {
  const double own = pool.demand.Rate();
  const Tokens others = pool.account.demand - pool.recorded.demand;
  const double fleet = own + std::max(0.0, static_cast<double>(others.count));
  if (fleet > 0 && pool.demanded_since.us == 0) pool.demanded_since = now;
  if (!this->SpreadsPool(pool) || fleet <= 0) {
    pool.expected_rate = own;
    return fleet;
  }

  const double observed = std::min(ToSeconds(this->options.demand_memory),
                                   ToSeconds(now - pool.demanded_since));
  const double weight = ToSeconds(this->options.fleet_weight);
  const double average = fleet / static_cast<double>(this->fleet_size);
  const double mean = (own * observed + average * weight) / (observed + weight);
  // Callers of some organisations all reach one gateway: own demand counts in
  // full.
  pool.expected_rate = std::max(own, mean);
  return fleet;
}

double GrantHolder::InitialShare(TimePoint now, const Pool& pool) const {
  if (!this->SpreadsPool(pool)) return 0;
  // Fades while the demand becomes known.
  double part = 1;
  if (pool.demanded_since.us != 0) {
    part -= ToSeconds(now - pool.demanded_since) /
            ToSeconds(this->options.demand_memory);
  }
  return std::max(0.0, part) * this->options.initial_part *
         static_cast<double>(pool.limit->count) /
         static_cast<double>(this->fleet_size);
}

bool GrantHolder::IsKept(const Pool& pool) const {
  return this->SpreadsPool(pool) ||
         pool.expected_rate * ToSeconds(this->options.horizon) >=
             this->options.steady_requests * this->typical_request;
}

double GrantHolder::UnsteadyDemand(const Pool& pool) const {
  const double horizon = ToSeconds(this->options.horizon);
  const double usual = pool.usual_demand.Rate() * horizon;
  const double recent = pool.expected_rate * horizon;
  // A single request of strangers' callers says nothing of the next one.
  if (usual < this->options.usual_requests * this->typical_request) {
    return recent;
  }
  return std::max(recent, usual + std::sqrt(usual * this->typical_request));
}

Tokens GrantHolder::Target(TimePoint now, Pool& pool,
                           const FleetAccount& account) const {
  const double fleet = this->ExpectRate(now, pool);
  const double expected = pool.expected_rate * ToSeconds(this->options.horizon);
  double part = this->options.least_part;
  if (this->SpreadsPool(pool)) {
    part = std::max(part, 1.0 / static_cast<double>(this->fleet_size));
  }
  if (fleet > 0) part = std::max(part, pool.expected_rate / fleet);

  double by_demand = 0;
  double share = this->options.pooled_share;
  if (this->IsKept(pool)) {
    const double deviation = std::sqrt(expected * this->typical_request);
    by_demand =
        std::max({expected + this->options.deviations * deviation,
                  this->options.largest_requests * pool.demand.Largest(),
                  this->InitialShare(now, pool)});
  } else {
    // Tokens that wait for a request which may come anywhere are missing where
    // it does come.
    by_demand = this->UnsteadyDemand(pool);
    share = this->options.unsteady_share;
  }

  // The own pool counts as free: it is what the target decides about.
  const Tokens free = FreeFor(pool, account) - pool.InUse();
  const double by_rest =
      static_cast<double>(std::max<int64_t>(0, free.count)) * share * part;
  const double target = std::min(by_demand, by_rest);
  // Less than a request serves nobody here.
  if (!this->IsKept(pool) && target < this->typical_request) return Tokens(0);
  return Tokens(static_cast<int64_t>(target));
}

std::optional<Tokens> GrantHolder::NextTotal(
    TimePoint now, Pool& pool, const FleetAccount& account) const {
  pool.demand.Advance(now);
  pool.usual_demand.Advance(now);
  const Tokens recorded = pool.recorded.granted;
  const Tokens in_use = pool.InUse();
  const bool over_limit = account.granted > LimitOf(pool, account);
  if (this->closed || over_limit) {
    if (recorded == in_use) return std::nullopt;
    return std::min(recorded, in_use);
  }

  const Tokens target = this->Target(now, pool, account);
  const Tokens left = recorded - in_use;
  if (left < pool.wanted || left < Part(this->options.low_water, target)) {
    const Tokens free = FreeFor(pool, account);
    const Tokens total = std::min(in_use + std::max(target, pool.wanted), free);
    if (total > recorded && total >= in_use + pool.wanted) return total;
    return std::nullopt;
  }
  const double high = TimeLeft(pool, account) > this->options.ample_time
                          ? this->options.ample_high_water
                          : this->options.high_water;
  if (left > Part(high, target) && left > pool.wanted) {
    const Tokens total = in_use + std::max(target, pool.wanted);
    if (total < recorded) return total;
  }
  if (this->IsSpendStale(now, pool, account)) return recorded;
  return std::nullopt;
}

bool GrantHolder::IsSpendStale(TimePoint now, const Pool& pool,
                               const FleetAccount& account) const {
  if (pool.spent == pool.recorded.spent) return false;
  if (now - pool.recorded_at < this->options.refresh_interval) return false;
  const auto limit = static_cast<double>(pool.limit->count);
  const auto rest = static_cast<double>((*pool.limit - account.granted).count);
  return rest < this->options.refresh_below * limit;
}

GrantHolder::Pool& GrantHolder::PoolOf(const std::string& organisation) {
  const auto found = this->pools.find(organisation);
  if (found != this->pools.end()) return found->second;
  Pool& pool = this->pools[organisation];
  pool.demand =
      DemandMeter(this->options.demand_memory, this->options.largest_memory);
  pool.usual_demand =
      DemandMeter(this->options.usual_memory, this->options.largest_memory);
  return pool;
}

}  // namespace fuchsiadrum::budget
