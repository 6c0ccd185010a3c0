#include <algorithm>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

std::vector<std::string> GrantHolder::HeldOrganisations() const {
  std::vector<std::string> names;
  for (const auto& [name, pool] : this->pools) {
    if (!pool.limit) continue;
    if (pool.recorded.granted.count > 0 || pool.demand.Rate() > 0) {
      names.push_back(name);
    }
  }
  return names;
}

bool GrantHolder::NeedsOnlyCeiling(const std::string& organisation,
                                   Tokens amount) const {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return false;
  const Pool& pool = found->second;
  return pool.InUse() + amount <= pool.spendable_total &&
         pool.InUse() + amount > pool.Ceiling();
}

TokenBreakdown GrantHolder::Breakdown(TimePoint now,
                                      const std::string& organisation) const {
  TokenBreakdown result;
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return result;
  const Pool& pool = found->second;
  result.limit = LimitOf(pool, pool.account);
  result.fleet_granted = pool.account.granted;
  result.fleet_spent = pool.account.spent;
  result.ungranted = result.limit - pool.account.granted;
  result.account_age =
      pool.account_at.us == 0 ? Duration(-1) : now - pool.account_at;
  result.own_granted = pool.recorded.granted;
  result.own_spent = pool.spent;

  const double used_fraction = pool.settled.count > 0
                                   ? static_cast<double>(pool.spent.count) /
                                         static_cast<double>(pool.settled.count)
                                   : 1.0;
  result.own_reserved_used = Tokens(static_cast<int64_t>(
      used_fraction * static_cast<double>(pool.reserved.count)));
  result.own_reserved_excess = pool.reserved - result.own_reserved_used;

  const Tokens unused =
      std::max(Tokens(0), pool.recorded.granted - pool.InUse());
  const Tokens needed(static_cast<int64_t>(pool.expected_rate *
                                           ToSeconds(this->options.horizon)));
  result.own_pool_needed = std::min(unused, needed);
  result.own_pool_idle = unused - result.own_pool_needed;
  result.own_available =
      std::max(Tokens(0), this->ReleasedTotalAt(now, pool) - pool.InUse());
  result.own_demand = Tokens(static_cast<int64_t>(pool.expected_rate));
  return result;
}

}  // namespace fuchsiadrum::budget
