#include <algorithm>

#include "fuchsiadrum/budget/grant_holder.h"

namespace fuchsiadrum::budget {

ReturnSituation GrantHolder::SituationOf(const Pool& pool) const {
  ReturnSituation situation;
  situation.unused = std::max(Tokens(0), pool.recorded.granted - pool.InUse());
  situation.need = pool.Need();
  situation.expected_rate = pool.expected_rate;
  situation.largest_request = pool.demand.Largest();
  situation.typical_request = this->typical_request;
  situation.ungranted = MaxTotal(pool, pool.account) - pool.recorded.granted;
  situation.held_elsewhere = (pool.account.granted - pool.recorded.granted) -
                             (pool.account.spent - pool.recorded.spent);
  situation.fleet_size = this->fleet_size;
  return situation;
}

bool GrantHolder::IsCalled(TimePoint now, const Pool& pool) const {
  return pool.called_at.us != 0 &&
         now - pool.called_at < this->options.call_duration;
}

bool GrantHolder::MayComeBack(const std::string& organisation,
                              Tokens amount) const {
  const auto found = this->pools.find(organisation);
  if (this->closed || found == this->pools.end() || !found->second.limit) {
    return false;
  }
  return this->SituationOf(found->second).held_elsewhere >= amount;
}

Tokens GrantHolder::PlanCall(TimePoint now, const std::string& organisation) {
  Pool& pool = this->PoolOf(organisation);
  const bool is_fresh = pool.account_at.us != 0 &&
                        now - pool.account_at < this->options.max_account_age;
  if (!pool.limit || this->closed || !is_fresh || pool.in_flight) {
    return Tokens(0);
  }
  if (pool.called_at.us != 0 &&
      now - pool.called_at < this->options.call_interval) {
    return Tokens(0);
  }
  const Tokens amount = this->returns.Shortage(this->SituationOf(pool));
  if (amount.count > 0) pool.called_at = now;
  return amount;
}

void GrantHolder::OnCall(TimePoint now, const std::string& organisation,
                         Tokens amount, double draw) {
  const auto found = this->pools.find(organisation);
  if (found == this->pools.end() || !found->second.limit) return;
  Pool& pool = found->second;
  pool.called_at = now;
  pool.called_amount = amount;
  pool.answers_call =
      !this->closed && !pool.in_flight &&
      this->returns.Answers(this->SituationOf(pool), amount, draw);
}

}  // namespace fuchsiadrum::budget
