#include "gateway/gateway_answer.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Values of Retry-After by cause: about the time until the cause is gone.
constexpr Duration kRetryAfterNoUpstream = std::chrono::milliseconds(500);
constexpr Duration kRetryAfterFull = std::chrono::milliseconds(250);

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
  if (pause_end) return {503, "upstreams paused", *pause_end - now};
  if (core.Placer().LastReason().step == serving::kMemoryStep) {
    return {503, "upstream memory in use", kRetryAfterNoUpstream};
  }
  return {503, "no upstream", kRetryAfterNoUpstream};
}

GatewayAnswer MakeFailureAnswer(serving::NextStep step,
                                std::string_view reason) {
  if (step == serving::NextStep::kRefuse) {
    return {503, std::string(reason), kRetryAfterFull};
  }
  if (step == serving::NextStep::kTimeOut) {
    return {504, std::string(reason), std::nullopt};
  }
  return {502, std::string(reason), std::nullopt};
}

}  // namespace fuchsiadrum::gateway
