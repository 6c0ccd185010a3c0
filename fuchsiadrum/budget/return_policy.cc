#include "fuchsiadrum/budget/return_policy.h"

#include <algorithm>
#include <cstdint>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

Tokens ReturnPolicy::Shortage(const ReturnSituation& pool) const {
  const auto soon = Tokens(static_cast<int64_t>(
      pool.expected_rate * ToSeconds(this->options.call_horizon)));
  const Tokens wanted = std::max(pool.need, soon);
  const Tokens reachable =
      pool.need.count > 0 ? pool.ungranted : pool.unused + pool.ungranted;
  if (wanted.count == 0 || reachable >= wanted) return Tokens(0);
  const bool is_worthwhile =
      static_cast<double>(pool.held_elsewhere.count) >= pool.typical_request;
  return is_worthwhile ? pool.need + soon : Tokens(0);
}

Tokens ReturnPolicy::Kept(const ReturnSituation& pool) const {
  const double recent =
      pool.expected_rate * ToSeconds(this->options.spare_request_time);
  // One request more than expected, where any is.
  const double spare = recent < pool.typical_request ? 0 : pool.largest_request;
  const double expected =
      pool.expected_rate * ToSeconds(this->options.return_horizon);
  return std::max(pool.need, Tokens(static_cast<int64_t>(expected + spare)));
}

bool ReturnPolicy::Answers(const ReturnSituation& pool, Tokens amount,
                           double draw) const {
  const Tokens surplus = pool.unused - this->Kept(pool);
  if (static_cast<double>(surplus.count) < pool.typical_request) return false;
  const auto held =
      static_cast<double>((pool.held_elsewhere + pool.unused).count);
  if (held <= 0 || pool.fleet_size == 0) return true;
  const double by_amount =
      this->options.answers_per_call * static_cast<double>(amount.count) / held;
  const double by_number =
      this->options.min_answers / static_cast<double>(pool.fleet_size);
  return draw < std::max(by_amount, by_number);
}

}  // namespace fuchsiadrum::budget
