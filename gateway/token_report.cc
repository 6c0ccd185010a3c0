#include "gateway/token_report.h"

#include <array>
#include <utility>

#include "fuchsiadrum/core/duration.h"
#include "gateway/gateway_metrics.h"

namespace fuchsiadrum::gateway {
namespace {

std::string_view OutcomeName(budget::ReserveOutcome outcome) {
  switch (outcome) {
    case budget::ReserveOutcome::kReserved:
      return "reserved";
    case budget::ReserveOutcome::kPending:
      return "pending";
    case budget::ReserveOutcome::kHeldElsewhere:
      return "held-elsewhere";
    case budget::ReserveOutcome::kExhausted:
      return "exhausted";
  }
  return "";
}

}  // namespace

void TokenReport::CountRefusal(const TokenRefusal& refusal) {
  std::string labels = "{outcome=\"";
  labels += OutcomeName(refusal.outcome);
  labels += "\",need=\"";
  labels += refusal.needs_only_ceiling ? "ceiling" : "grant";
  labels += "\",silent=\"";
  if (refusal.is_account_silent) {
    labels += "account";
  } else {
    labels += refusal.is_heartbeat_silent ? "heartbeat" : "none";
  }
  labels += "\"}";
  ++this->refusals[labels];
}

void TokenReport::LogBreakdown(TimePoint now) {
  for (const std::string& name : this->holder.HeldOrganisations()) {
    const budget::TokenBreakdown found = this->holder.Breakdown(now, name);
    this->event_log.Write(
        "tokens", {{"organisation", name},
                   {"limit", found.limit.count},
                   {"fleet_granted", found.fleet_granted.count},
                   {"fleet_spent", found.fleet_spent.count},
                   {"ungranted", found.ungranted.count},
                   {"account_age_ms", ToMilliseconds(found.account_age)},
                   {"granted", found.own_granted.count},
                   {"spent", found.own_spent.count},
                   {"reserved_used", found.own_reserved_used.count},
                   {"reserved_excess", found.own_reserved_excess.count},
                   {"pool_needed", found.own_pool_needed.count},
                   {"pool_idle", found.own_pool_idle.count},
                   {"available", found.own_available.count},
                   {"demand", found.own_demand.count}});
  }
}

std::string TokenReport::MetricsText(TimePoint now,
                                     const BudgetCalls& calls) const {
  std::string text;
  const auto add = [&text](std::string_view name, uint64_t value) {
    text += GatewayMetrics::Line(name, static_cast<double>(value));
  };
  add("store_calls_by_purpose_total{purpose=\"account-read\"}",
      calls.accounts.reads);
  add("store_calls_by_purpose_total{purpose=\"account-append\"}",
      calls.accounts.appends);
  add("store_calls_by_purpose_total{purpose=\"heartbeat\"}", calls.heartbeats);
  add("store_calls_by_purpose_total{purpose=\"urgent-heartbeat\"}",
      calls.urgent_heartbeats);
  add("store_calls_by_purpose_total{purpose=\"fleet-read\"}",
      calls.fleet_reads);
  add("store_calls_by_purpose_total{purpose=\"token-call\"}",
      calls.token_calls);
  add("store_calls_by_purpose_total{purpose=\"token-call-read\"}",
      calls.token_call_reads);
  add("account_races_lost_total", calls.accounts.lost_races);
  for (const auto& [labels, count] : this->refusals) {
    add("token_refusals_total" + labels, count);
  }
  for (const std::string& name : this->holder.HeldOrganisations()) {
    const budget::TokenBreakdown found = this->holder.Breakdown(now, name);
    const std::array<std::pair<std::string_view, Tokens>, 8> parts = {{
        {"limit", found.limit},
        {"ungranted", found.ungranted},
        {"granted", found.own_granted},
        {"spent", found.own_spent},
        {"reserved_used", found.own_reserved_used},
        {"reserved_excess", found.own_reserved_excess},
        {"pool_needed", found.own_pool_needed},
        {"pool_idle", found.own_pool_idle},
    }};
    for (const auto& [part, tokens] : parts) {
      std::string line = "tokens{organisation=\"" + name + "\",part=\"";
      line += part;
      line += "\"}";
      text += GatewayMetrics::Line(line, static_cast<double>(tokens.count));
    }
  }
  return text;
}

}  // namespace fuchsiadrum::gateway
