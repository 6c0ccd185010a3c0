#pragma once

#include <string>

#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/budget_client.h"

namespace fuchsiadrum::gateway {

/// What a request has used when it ends.
struct TokenUse {
  /// Attempts that may have run the request.
  int runs = 0;
  int events_passed = 0;
  int tokens_per_event = 1;
};

/// The tokens of one request: reserved at their most, and settled to what was
/// used.
class TokenReservation {
 public:
  explicit TokenReservation(BudgetClient& budget_client)
      : budgets(budget_client) {}

  /// Reserves prompt and most output. Requests without a prompt cost nothing.
  asio::awaitable<budget::ReserveOutcome> Reserve(
      const std::string& organisation_name,
      const serving::CallerRequest& request);
  /// Ends the reservation, if there is one.
  void Settle(const TokenUse& use);
  /// Tokens reserved.
  Tokens Amount() const { return this->amount; }

 private:
  BudgetClient& budgets;
  std::string organisation;
  Tokens prompt;
  Tokens most_output;
  Tokens amount;
  bool held = false;
};

}  // namespace fuchsiadrum::gateway
