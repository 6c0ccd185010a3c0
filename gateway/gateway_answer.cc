#include "gateway/gateway_answer.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Time after which an upstream that was full is asked again, if it is not
/// known how long answers take.
constexpr Duration kRetryAfterFull = std::chrono::milliseconds(150);
/// Slots of an upstream whose service does not state them.
constexpr int kUnknownSlots = 8;
constexpr Duration kMaxRetryAfterFull = std::chrono::milliseconds(500);

/// Retry-After of a request that upstreams have refused because they are full.
/// Every VM uses the same upstreams, so that the caller has to wait until slots
/// are free: twice the time in which one of a full upstream becomes free.
Duration RetryAfterFull(GatewayCore& core, const ActiveRequest& active) {
  const std::optional<Duration> longest =
      core.Times().Longest(active.route->name);
  if (!longest) return kRetryAfterFull;
  const int slots = active.engine ? active.engine->slots : kUnknownSlots;
  return std::clamp(2 * *longest / std::max(slots, 1), kRetryAfterOtherVm,
                    kMaxRetryAfterFull);
}

}  // namespace

std::optional<GatewayAnswer> MakeBudgetRefusal(budget::ReserveOutcome result) {
  switch (result) {
    case budget::ReserveOutcome::kReserved:
      return std::nullopt;
    case budget::ReserveOutcome::kExhausted:
      return GatewayAnswer{402, "budget used up", std::nullopt};
    // The load balancer may send the next connection to a gateway that holds
    // tokens.
    case budget::ReserveOutcome::kHeldElsewhere:
      return GatewayAnswer{503, "tokens held by other gateways",
                           kRetryAfterOtherVm};
    case budget::ReserveOutcome::kPending:
      return GatewayAnswer{503, "no grant in time", kRetryAfterOtherVm};
  }
  return std::nullopt;
}

std::optional<Duration> GatewayAnswer::ChooseRetryAfter(Rng& rng) const {
  if (!this->retry_after) return std::nullopt;
  return *this->retry_after +
         FromSeconds(rng.Unit() * ToSeconds(this->retry_spread));
}

GatewayAnswer MakeStopAnswer() { return {503, "stopping", kRetryAfterOtherVm}; }

GatewayAnswer MakeNoUpstreamAnswer(GatewayCore& core,
                                   const ActiveRequest& active, int runs) {
  if (runs > 0) return {502, "no other upstream", std::nullopt};
  const TimePoint now = Now();
  const std::optional<TimePoint> evacuation_end =
      core.Upstreams().EvacuationEnd(now, active.service);
  if (evacuation_end) {
    core.Metrics().CountWithheld("evacuated");
    return {503, "zones evacuated", *evacuation_end - now};
  }
  const std::optional<TimePoint> pause_end =
      core.Upstreams().FirstPauseEnd(now, active.service);
  const std::optional<TimePoint> limit_end =
      core.Upstreams().Limits().NextForPriority(now, active.service,
                                                active.Priority());
  const std::optional<TimePoint> cold_end =
      core.Upstreams().FirstColdChance(now, active.service);
  if (cold_end && (!pause_end || *cold_end < *pause_end) &&
      (!limit_end || *cold_end < *limit_end)) {
    core.Metrics().CountWithheld("cold");
    return {503, "upstreams cold",
            std::max(*cold_end - now, kRetryAfterOtherVm)};
  }
  if (limit_end && (!pause_end || *limit_end < *pause_end)) {
    return {503, "upstreams limited",
            std::max(*limit_end - now, kRetryAfterOtherVm)};
  }
  if (pause_end) {
    return {503, "upstreams paused", *pause_end - now, Duration::zero()};
  }
  if (core.Placer().LastReason().step == serving::kMemoryStep) {
    return {503, "upstream memory in use", kRetryAfterOtherVm,
            kRetryAfterOtherVm};
  }
  // The next read of the upstreams' entries may return one.
  return {503, "no upstream",
          std::max(core.NextUpstreamRead(now), kRetryAfterOtherVm),
          kUpstreamReadInterval};
}

GatewayAnswer MakeFailureAnswer(GatewayCore& core, const ActiveRequest& active,
                                serving::NextStep step,
                                std::string_view reason) {
  if (step == serving::NextStep::kRefuse) {
    const Duration earliest = RetryAfterFull(core, active);
    return {503, std::string(reason), earliest, earliest};
  }
  if (step == serving::NextStep::kTimeOut) {
    return {504, std::string(reason), std::nullopt};
  }
  return {502, std::string(reason), std::nullopt};
}

}  // namespace fuchsiadrum::gateway
