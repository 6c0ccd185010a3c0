#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Where the tokens of one organisation's budget are, as one gateway knows it.
/// The sums of `own_*` over all live gateways, the account's `ungranted` and
/// the grants of dead holders (the account's `granted` less all live grants)
/// add up to the budget.
struct TokenBreakdown {
  /// The budget, and the sums of the account as last read.
  Tokens limit;
  Tokens fleet_granted;
  Tokens fleet_spent;
  Tokens ungranted;
  /// Age of that account; negative if it was not read yet.
  Duration account_age = Duration::zero();
  /// Total of this gateway's grant, and the settled spend within it.
  Tokens own_granted;
  Tokens own_spent;
  /// Reservations of running requests: what they are expected to use, by the
  /// fraction that settled requests have used, and the rest.
  Tokens own_reserved_used;
  Tokens own_reserved_excess;
  /// Unused tokens of the pool: those that the expected demand uses within the
  /// horizon, and the rest.
  Tokens own_pool_needed;
  Tokens own_pool_idle;
  /// Unused tokens that the ceiling lets this gateway use now.
  Tokens own_available;
  /// Expected demand at this gateway, in tokens per second.
  Tokens own_demand;
};

}  // namespace fuchsiadrum::budget
