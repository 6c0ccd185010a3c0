#include "gateway/token_reservation.h"

#include <algorithm>

namespace fuchsiadrum::gateway {
namespace {

/// Part of the latency target for which a request waits for tokens; the rest is
/// left for the answer.
constexpr double kWaitFraction = 0.6;
/// Minimum of that time. A grant takes a write and a read of the store; a late
/// answer still has a value, whereas a refused request may be refused again.
constexpr Duration kMinWait = std::chrono::milliseconds(300);

}  // namespace

asio::awaitable<budget::ReserveOutcome> TokenReservation::Reserve(
    const std::string& organisation_name, const serving::CallerRequest& request,
    Duration target_latency) {
  if (!request.prompt_tokens) co_return budget::ReserveOutcome::kReserved;
  this->organisation = organisation_name;
  this->prompt = *request.prompt_tokens;
  this->max_output = *request.max_output_tokens;
  const Tokens wanted = this->prompt + this->max_output;
  const Duration max_wait = std::max(
      kMinWait,
      std::chrono::duration_cast<Duration>(kWaitFraction * target_latency));
  const budget::ReserveOutcome result =
      co_await this->budgets.Reserve(organisation_name, wanted, max_wait);
  if (result == budget::ReserveOutcome::kReserved) {
    this->amount = wanted;
    this->held = true;
  }
  co_return result;
}

void TokenReservation::Settle(const TokenUse& use) {
  if (!this->held) return;
  this->held = false;
  Tokens spent(0);
  if (use.runs > 0) {
    // One more event than was relayed is charged, because another one may have
    // been in transit.
    const Tokens output(static_cast<int64_t>(use.tokens_per_event) *
                        (use.events_relayed + 1));
    spent = this->prompt + std::min(output, this->max_output);
  }
  this->budgets.Settle(this->organisation, this->amount, spent);
}

}  // namespace fuchsiadrum::gateway
