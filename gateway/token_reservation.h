#pragma once

#include <string>

#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/budget_client.h"

namespace fuchsiadrum::gateway {

/// What a request has used by its end.
struct TokenUse {
  /// Number of attempts that may have run the request.
  int runs = 0;
  /// Number of stream events that were relayed to the caller.
  int events_relayed = 0;
  int tokens_per_event = 1;
};

/// Reserves the maximum number of tokens that one request may use, and settles
/// them to what it has used.
class TokenReservation {
 public:
  explicit TokenReservation(BudgetClient& budget_client)
      : budgets(budget_client) {}

  /// Reserves the tokens of the prompt and the maximum number of output tokens.
  /// Requests without a prompt cost nothing. Waits for them for a part of the
  /// latency target of the route.
  asio::awaitable<budget::ReserveOutcome> Reserve(
      const std::string& organisation_name,
      const serving::CallerRequest& request, Duration target_latency);
  /// Settles the reservation, if there is one that is not settled yet.
  void Settle(const TokenUse& use);
  /// Number of tokens that were reserved; stays the same after Settle.
  Tokens Amount() const { return this->amount; }

 private:
  BudgetClient& budgets;
  std::string organisation;
  Tokens prompt;
  Tokens max_output;
  Tokens amount;
  bool held = false;
};

}  // namespace fuchsiadrum::gateway
