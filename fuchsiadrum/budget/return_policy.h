#pragma once

#include <cstddef>

#include "fuchsiadrum/budget/grant_holder_options.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// What is known about one pool when tokens are short somewhere. Rates are in
/// tokens per second.
struct ReturnSituation {
  /// Unused tokens of this pool, and those that its waiting requests need.
  Tokens unused;
  Tokens need;
  double expected_rate = 0;
  double largest_request = 0;
  double typical_request = 0;
  /// Ungranted tokens that this gateway may take, and tokens that other
  /// gateways hold beyond their recorded spend.
  Tokens ungranted;
  Tokens held_elsewhere;
  size_t fleet_size = 0;
};

/// Decides which gateway calls for tokens of an account that is short, which
/// ones return some, and how many.
class ReturnPolicy {
 public:
  explicit ReturnPolicy(const GrantHolderOptions& holder_options)
      : options(holder_options) {}

  /// Tokens to call for; 0: the account is not short, or nothing can come back.
  Tokens Shortage(const ReturnSituation& pool) const;
  /// Unused tokens that a pool keeps while another gateway is short.
  Tokens Kept(const ReturnSituation& pool) const;
  /// Returns true if this gateway answers a call for `amount` tokens. `draw` is
  /// uniform from 0 to 1: only as many gateways answer as are needed, since
  /// their writes compete.
  bool Answers(const ReturnSituation& pool, Tokens amount, double draw) const;

 private:
  GrantHolderOptions options;
};

}  // namespace fuchsiadrum::budget
