#include "gateway/token_reservation.h"

#include <algorithm>

namespace fuchsiadrum::gateway {
namespace {

/// Maximum time that a request waits for a grant, which takes a write and a
/// read of the store.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(300);

}  // namespace

asio::awaitable<budget::ReserveOutcome> TokenReservation::Reserve(
    const std::string& organisation_name,
    const serving::CallerRequest& request) {
  if (!request.prompt_tokens) co_return budget::ReserveOutcome::kReserved;
  const std::optional<Tokens> max_tokens = request.MaxTokens();
  // No budget covers more tokens than can be counted.
  if (!max_tokens) co_return budget::ReserveOutcome::kExhausted;
  this->organisation = organisation_name;
  this->prompt = *request.prompt_tokens;
  this->max_output = *request.max_output_tokens;
  const Tokens wanted = *max_tokens;
  const budget::ReserveOutcome result =
      co_await this->budgets.Reserve(organisation_name, wanted, kGrantTimeout);
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
