#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "fuchsiadrum/budget/grant_holder.h"
#include "gateway/account_shard.h"
#include "gateway/event_log.h"

namespace fuchsiadrum::gateway {

/// Calls to the store for budgets by purpose, answered or not.
struct BudgetCalls {
  AccountCalls accounts;
  uint64_t heartbeats = 0;
  uint64_t urgent_heartbeats = 0;
  uint64_t fleet_reads = 0;
  uint64_t token_calls = 0;
  uint64_t token_call_reads = 0;
};

/// Why a request got no tokens.
struct TokenRefusal {
  budget::ReserveOutcome outcome = budget::ReserveOutcome::kPending;
  /// The grant covers the request, but the ceiling does not.
  bool needs_only_ceiling = false;
  /// A write of the account, or the heartbeat, has been unanswered for so long
  /// that the request did not wait for it.
  bool is_account_silent = false;
  bool is_heartbeat_silent = false;
};

/// Reports where the tokens of the budgets are, which calls to the store were
/// made for them, and why requests got none: as log lines and as metrics.
class TokenReport {
 public:
  TokenReport(const budget::GrantHolder& grant_holder, EventLog& log)
      : holder(grant_holder), event_log(log) {}

  void CountRefusal(const TokenRefusal& refusal);
  /// Writes one log line for each organisation of which this gateway holds a
  /// grant or knows a demand.
  void LogBreakdown(TimePoint now);
  /// Metrics in Prometheus text format.
  std::string MetricsText(TimePoint now, const BudgetCalls& calls) const;

 private:
  const budget::GrantHolder& holder;
  EventLog& event_log;
  /// Refusals by their metric labels.
  std::map<std::string, uint64_t, std::less<>> refusals;
};

}  // namespace fuchsiadrum::gateway
