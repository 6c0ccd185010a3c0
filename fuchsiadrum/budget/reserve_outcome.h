#pragma once

namespace fuchsiadrum::budget {

/// Outcome of GrantHolder::Reserve.
enum class ReserveOutcome {
  kReserved,
  /// The pool holds too few tokens, or too few below the ceiling. The next
  /// grant record or heartbeat may change that; the caller has to retry then.
  kPending,
  /// Too few tokens are ungranted. Other holders hold some that they have not
  /// recorded as spent and may return. Also the outcome after Close.
  kHeldElsewhere,
  /// The unspent rest of the budget does not cover the amount.
  kExhausted,
};

}  // namespace fuchsiadrum::budget
