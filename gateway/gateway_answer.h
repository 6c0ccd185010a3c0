#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/budget/reserve_outcome.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/attempt_policy.h"
#include "gateway/active_request.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {

/// Retry-After where another VM can serve the request at once, to which the
/// load balancer sends the retry, and the random part that is added to it, so
/// that callers who were refused together do not return together.
constexpr Duration kRetryAfterOtherVm = std::chrono::milliseconds(25);
constexpr Duration kRetrySpread = std::chrono::milliseconds(50);

/// An answer that the gateway makes itself, without an upstream.
struct GatewayAnswer {
  int status = 0;
  std::string reason;
  /// The earliest time after which the caller should come back, and the random
  /// part that is added to it.
  std::optional<Duration> retry_after;
  Duration retry_spread = kRetrySpread;

  /// Chooses the time after which the caller should come back.
  std::optional<Duration> ChooseRetryAfter(Rng& rng) const;
};

/// Returns the answer to a request whose tokens could not be reserved, or
/// nullopt if they are reserved.
std::optional<GatewayAnswer> MakeBudgetRefusal(budget::ReserveOutcome result);

/// Returns the answer to a request that was not sent because the gateway stops.
GatewayAnswer MakeStopAnswer();

/// Returns the answer if there is no upstream for a further attempt. `runs`:
/// number of attempts that may have run the request.
GatewayAnswer MakeNoUpstreamAnswer(GatewayCore& core,
                                   const ActiveRequest& active, int runs);

/// Returns the answer after an attempt that ended the request; `step` is
/// kRefuse, kTimeOut or kGiveUp.
GatewayAnswer MakeFailureAnswer(GatewayCore& core, const ActiveRequest& active,
                                serving::NextStep step,
                                std::string_view reason);

}  // namespace fuchsiadrum::gateway
