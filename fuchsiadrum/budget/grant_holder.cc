#include "fuchsiadrum/budget/grant_holder.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
GrantHolder::GrantHolder(const GrantHolderOptions& holder_options,
                         const GrantTable& grant_table)
    : options(holder_options), table(grant_table), rng(holder_options.seed) {}

void GrantHolder::SetLimit(const std::string& organisation,
                           std::optional<Tokens> limit) {
  Pool& pool = this->PoolOf(organisation);
  const std::optional<Tokens> before = pool.limit;
  pool.limit = limit;
  if (!limit || !before || *limit >= *before) return;

  // The recorded totals were within the old limit only. What is not in use is
  // given back, and asked for again under the new one.
  if (this->table.SumsOf(organisation).granted > *limit) {
    pool.usable = std::min(pool.usable, this->InUse(pool));
  }
}

void GrantHolder::OnRequest(TimePoint now, const std::string& organisation,
                            Tokens amount) {
  this->PoolOf(organisation).demand.Add(now, amount);
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

  if (this->InUse(pool) + amount <= this->Bound(now, pool)) {
    pool.reserved += amount;
    return ReserveResult::kReserved;
  }

  // Others' spend as recorded, the own one as it is.
  const GrantTable::Sums sums = this->table.SumsOf(organisation);
  const RecordedGrant own = this->table.Of(organisation, this->options.holder);
  const Tokens others_spent = sums.spent - own.spent;
  if (others_spent + this->InUse(pool) + amount > *pool.limit) {
    return ReserveResult::kExhausted;
  }

  pool.wanted = std::max(pool.wanted, amount);
  const Tokens free = *pool.limit - (sums.granted - own.granted);
  if (this->InUse(pool) + amount > free) return ReserveResult::kHeldElsewhere;
  return ReserveResult::kNotYet;
}

Tokens GrantHolder::Bound(TimePoint now, const Pool& pool) const {
  // A recorded write is never older than its answer or, while that is missing,
  // its begin: a successor knows as much of the silence.
  const Duration silence =
      now - std::max(this->answered_at, this->write_begun_at);
  return ReleasedTotal(this->options.release, pool.ceiling, pool.usable,
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

std::vector<GrantUpdate> GrantHolder::PlanWrite(TimePoint now) {
  if (!this->in_flight.empty()) return {};

  for (auto& [name, pool] : this->pools) {
    if (!pool.limit) continue;
    const GrantTable::Sums sums = this->table.SumsOf(name);
    pool.unspent_part = UnspentPart(pool, sums);
    const std::optional<Tokens> total = this->NextTotal(now, name, pool, sums);
    if (!total && !this->IsCeilingDue(pool)) continue;

    // Lower totals bind at once, a higher ceiling when the write is answered, a
    // higher grant when it was read back.
    if (total) {
      pool.asked = *total;
      pool.usable = std::min(pool.usable, *total);
      pool.pending = true;
    }
    pool.ceiling_asked = this->NextCeiling(pool, pool.asked);
    pool.ceiling = std::min(pool.ceiling, pool.ceiling_asked);
    pool.recorded_at = now;
    pool.recorded_spent = pool.spent;
    this->in_flight.push_back(
        {.organisation = name,
         .grant = {.granted = pool.asked,
                   .spent = pool.spent,
                   .demand = Tokens(static_cast<int64_t>(pool.demand.Rate())),
                   .ceiling = pool.ceiling_asked}});
  }
  return this->in_flight;
}

void GrantHolder::OnWritten(TimePoint now) {
  this->answered_at = now;
  for (const GrantUpdate& update : this->in_flight) {
    Pool& pool = this->pools[update.organisation];
    pool.ceiling = pool.ceiling_asked;
    this->ForgetWantIfMet(pool);
  }
  this->in_flight.clear();
}

void GrantHolder::ForgetWantIfMet(Pool& pool) {
  const Tokens bound = std::min(pool.usable, pool.ceiling);
  if (this->InUse(pool) + pool.wanted <= bound) pool.wanted = Tokens(0);
}

Tokens GrantHolder::CeilingReserve(const Pool& pool) const {
  const double part = std::clamp(pool.unspent_part / this->options.ample_part,
                                 this->options.least_ceiling_part, 1.0);
  const double ahead =
      part * pool.expected_rate * ToSeconds(this->options.ceiling_ahead);
  return std::max(pool.wanted, Tokens(static_cast<int64_t>(ahead)));
}

Tokens GrantHolder::NextCeiling(const Pool& pool, Tokens total) const {
  const Tokens in_use = this->InUse(pool);
  if (this->closed) return in_use;
  return std::max(in_use, std::min(total, in_use + this->CeilingReserve(pool)));
}

double GrantHolder::UnspentPart(const Pool& pool,
                                const GrantTable::Sums& sums) {
  if (pool.limit->count <= 0) return 0;
  const Tokens unspent = *pool.limit - sums.spent;
  return static_cast<double>(unspent.count) /
         static_cast<double>(pool.limit->count);
}

bool GrantHolder::IsCeilingDue(const Pool& pool) const {
  const Tokens next = this->NextCeiling(pool, pool.asked);
  const Tokens reserve = this->CeilingReserve(pool);
  const auto low = static_cast<int64_t>(this->options.ceiling_low_water *
                                        static_cast<double>(reserve.count));
  const auto high = static_cast<int64_t>(this->options.high_water *
                                         static_cast<double>(reserve.count));
  const Tokens left = pool.ceiling - this->InUse(pool);
  if (left.count < low || left < pool.wanted) return next > pool.ceiling;
  return left.count > high && next < pool.ceiling;
}

void GrantHolder::OnRefused() {
  for (const GrantUpdate& update : this->in_flight) {
    Pool& pool = this->pools[update.organisation];
    const RecordedGrant recorded =
        this->table.Of(update.organisation, this->options.holder);
    pool.asked = recorded.granted;
    pool.usable = std::min(pool.usable, pool.asked);
    pool.pending = false;
  }
  this->in_flight.clear();
}

void GrantHolder::OnOwnRecord(TimePoint now, const std::string& organisation,
                              bool consistent) {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !consistent) return;
  this->Judge(now, organisation, found->second);
}

void GrantHolder::OnConsistent(TimePoint now) {
  for (auto& [name, pool] : this->pools) this->Judge(now, name, pool);
}

void GrantHolder::Judge(TimePoint now, const std::string& name, Pool& pool) {
  if (!pool.pending || !pool.limit) return;
  const RecordedGrant own = this->table.Of(name, this->options.holder);
  if (own.granted != pool.asked) return;

  pool.pending = false;
  if (pool.asked <= pool.usable) return;
  if (this->table.SumsOf(name).granted <= *pool.limit) {
    pool.usable = pool.asked;
    this->ForgetWantIfMet(pool);
    return;
  }
  const auto pause = static_cast<int64_t>(
      this->rng.Unit() *
      static_cast<double>(this->options.collision_pause.count()));
  pool.pause_until = now + Duration(pause);
}

bool GrantHolder::IsWanting() const {
  return std::ranges::any_of(this->pools, [](const auto& entry) {
    return entry.second.wanted.count > 0;
  });
}

Tokens GrantHolder::Available(TimePoint now,
                              const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end()) return Tokens(0);
  return this->Bound(now, found->second) - this->InUse(found->second);
}

Tokens GrantHolder::LimitOf(const std::string& organisation) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end()) return Tokens(0);
  return found->second.limit.value_or(Tokens(0));
}

bool GrantHolder::SpreadsPools() const {
  return this->fleet_size > 0 && this->fleet_size * this->pools.size() <=
                                     this->options.most_spread_grants;
}

double GrantHolder::ExpectRate(TimePoint now, const std::string& name,
                               Pool& pool) const {
  const double own = pool.demand.Rate();
  const double fleet =
      own +
      static_cast<double>(
          this->table.DemandOfOthers(now, name, this->options.holder).count);
  if (fleet > 0 && pool.demanded_since.us == 0) pool.demanded_since = now;
  if (!this->SpreadsPools() || fleet <= 0) {
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
  if (!this->SpreadsPools()) return 0;
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

Tokens GrantHolder::Target(TimePoint now, const std::string& name, Pool& pool,
                           const GrantTable::Sums& sums) const {
  const double fleet = this->ExpectRate(now, name, pool);
  const double expected = pool.expected_rate * ToSeconds(this->options.horizon);
  const double by_demand =
      std::max({expected + this->options.deviations *
                               std::sqrt(expected * this->typical_request),
                this->options.largest_requests * pool.demand.Largest(),
                this->InitialShare(now, pool)});

  double part = this->options.least_part;
  if (this->SpreadsPools()) {
    part = std::max(part, 1.0 / static_cast<double>(this->fleet_size));
  }
  if (fleet > 0) part = std::max(part, pool.expected_rate / fleet);

  // The own pool counts as free: it is what the target decides about.
  const Tokens left = pool.usable - this->InUse(pool);
  const auto free = static_cast<double>(
      std::max<int64_t>(0, (*pool.limit - sums.granted + left).count));
  const double by_rest = free * this->options.pooled_share * part;
  return Tokens(static_cast<int64_t>(std::min(by_demand, by_rest)));
}

std::optional<Tokens> GrantHolder::NextTotal(TimePoint now,
                                             const std::string& name,
                                             Pool& pool,
                                             const GrantTable::Sums& sums) {
  pool.demand.Advance(now);
  const RecordedGrant own = this->table.Of(name, this->options.holder);
  const Tokens in_use = this->InUse(pool);
  if (this->closed) {
    if (pool.asked == in_use) return std::nullopt;
    return in_use;
  }

  // A grant beyond the budget is taken back before another one is asked for.
  if (!pool.pending && pool.asked > pool.usable) return pool.usable;

  const Tokens target = this->Target(now, name, pool, sums);
  const Tokens left = pool.usable - in_use;
  const auto low = static_cast<int64_t>(this->options.low_water *
                                        static_cast<double>(target.count));
  if (left < pool.wanted || left.count < low) {
    if (pool.pending || now < pool.pause_until) return std::nullopt;
    const Tokens free = *pool.limit - (sums.granted - own.granted);
    const Tokens total = std::min(in_use + std::max(target, pool.wanted), free);
    if (total > pool.asked && total >= in_use + pool.wanted) return total;
    // Not enough is free: whoever waits asks again when it is.
    pool.wanted = Tokens(0);
    return std::nullopt;
  }

  const auto high = static_cast<int64_t>(this->options.high_water *
                                         static_cast<double>(target.count));
  if (!pool.pending && left.count > high && left > pool.wanted) {
    const Tokens total = in_use + std::max(target, pool.wanted);
    if (total < pool.asked) return total;
  }
  if (!pool.pending && this->IsSpendStale(now, pool, sums)) return pool.asked;
  return std::nullopt;
}

bool GrantHolder::IsSpendStale(TimePoint now, const Pool& pool,
                               const GrantTable::Sums& sums) const {
  if (pool.spent == pool.recorded_spent) return false;
  if (now - pool.recorded_at < this->options.refresh_interval) return false;
  const auto rest = static_cast<double>(pool.limit->count - sums.granted.count);
  return rest <
         this->options.refresh_below * static_cast<double>(pool.limit->count);
}

GrantHolder::Pool& GrantHolder::PoolOf(const std::string& organisation) {
  const auto found = this->pools.find(organisation);
  if (found != this->pools.end()) return found->second;
  Pool& pool = this->pools[organisation];
  pool.demand =
      DemandMeter(this->options.demand_memory, this->options.largest_memory);
  return pool;
}

}  // namespace fuchsiadrum::budget
