#include "gateway/request_admission.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/core/rng.h"
#include "gateway/clock.h"
#include "gateway/request_task.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr Duration kRetryAfterNoConfig = std::chrono::milliseconds(300);
/// Without a time limit of the caller, a request ends at the timeout of its
/// route. A limit of the caller is extended by this much, so that an answer
/// that the upstream sends right at the limit still arrives.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(40);

/// Logs what a refusal for want of a route or key rests on, and returns it.
GatewayAnswer RefuseByConfig(GatewayCore& core, const ActiveRequest& active,
                             bool stale, std::string_view wanted) {
  core.LogConfigRefusal(active.request.id, active.config->version, wanted);
  const bool is_route = wanted == "route";
  if (stale) {
    return {503,
            is_route ? "no route in stale configuration"
                     : "unknown key in stale configuration",
            kRetryAfterNoConfig};
  }
  return is_route ? GatewayAnswer{404, "no route", std::nullopt}
                  : GatewayAnswer{401, "unknown key", std::nullopt};
}

/// Finds the route and, unless the route is open to all, the organisation.
std::optional<GatewayAnswer> FindRoute(GatewayCore& core,
                                       ActiveRequest& active) {
  if (!active.config) {
    return GatewayAnswer{503, "no configuration yet", kRetryAfterNoConfig};
  }
  // A route or key that a stale configuration lacks may have been added since,
  // so it is refused with 503 rather than 404 or 401.
  const bool stale = core.IsConfigStale(active.arrived);
  const serving::CallerRequest& request = active.request;
  active.route = active.config->Match(request.host, request.path);
  if (active.route == nullptr) {
    return RefuseByConfig(core, active, stale, "route");
  }
  if (active.config->organisations.empty() || active.route->anonymous) {
    return std::nullopt;
  }

  active.organisation = active.config->FindOrganisationByKey(request.key);
  if (active.organisation != nullptr) return std::nullopt;
  return RefuseByConfig(core, active, stale, "key");
}

/// Chooses one of the route's services. All attempts at one stream get the same
/// one while the route's shares stay as they are, so that a stream is not
/// joined from two services.
const std::string& ChooseService(GatewayCore& core,
                                 const ActiveRequest& active) {
  const serving::CallerRequest& request = active.request;
  const std::string& stream =
      request.last_event ? request.resumed_attempt : request.id;
  if (!active.route->resumable || stream.empty()) {
    return serving::ChooseService(*active.route, core.Random());
  }
  Rng of_stream(Hash64(stream));
  return serving::ChooseService(*active.route, of_stream);
}

/// True if not even the prompt fits into an upstream's memory. Upstreams refuse
/// such a request as if they were full, and so does every other one.
bool ExceedsMemory(const ActiveRequest& active) {
  const std::optional<Tokens>& prompt = active.request.prompt_tokens;
  return prompt && active.engine && active.engine->memory > Tokens(0) &&
         *prompt > active.engine->memory;
}

/// The longest time of the route's answers, those that are still open included.
std::optional<Duration> LongestWithOpen(GatewayCore& core,
                                        const std::string& route,
                                        TimePoint now) {
  std::optional<Duration> longest = core.Times().LongestInPeriod(route, now);
  for (const RequestTask* task : core.Tasks()) {
    const UpstreamAttempt* attempt = task->CurrentAttempt();
    if (attempt != nullptr && attempt->WasSent() &&
        attempt->RouteName() == route) {
      longest = std::max(longest, std::optional(attempt->Time(now).total));
    }
  }
  return longest;
}

/// Maximum number of events of the request's stream; nullopt: it states none.
std::optional<uint64_t> MaxEvents(const ActiveRequest& active) {
  const std::optional<Tokens>& max_output = active.request.max_output_tokens;
  if (!max_output) return std::nullopt;
  const auto tokens =
      static_cast<uint64_t>(std::max<int64_t>(max_output->count, 0));
  const auto per_event = static_cast<uint64_t>(
      active.engine ? std::max(active.engine->tokens_per_event, 1) : 1);
  return tokens / per_event + (tokens % per_event > 0 ? 1 : 0);
}

serving::StopRequest DescribeForStop(GatewayCore& core,
                                     const ActiveRequest& active,
                                     int events_relayed, TimePoint now) {
  const std::string& route = active.route->name;
  serving::StopRequest request = {
      .deadline = active.deadline,
      .begun_at = active.request.begun_at,
      .longest_answer = core.Times().Longest(route),
      .is_stream = active.route->kind == serving::RequestKind::kStreaming};
  if (!request.is_stream) return request;

  const std::optional<uint64_t> max_events = MaxEvents(active);
  request.limits_events = max_events.has_value();
  if (max_events) {
    const uint64_t rest =
        *max_events - std::min<uint64_t>(*max_events, events_relayed);
    request.longest_of_events = core.Times().LongestOfEvents(route, now, rest);
  } else {
    request.longest_in_period = LongestWithOpen(core, route, now);
  }
  return request;
}

/// Milliseconds for a log line; -1: not known.
double LoggedTime(const std::optional<Duration>& time) {
  return time ? ToMilliseconds(*time) : -1;
}

void LogStopDecision(GatewayCore& core, const ActiveRequest& active,
                     const serving::StopRequest& request, TimePoint now,
                     bool may_send) {
  const std::optional<Tokens>& max_output = active.request.max_output_tokens;
  core.Log().Write(
      "stop-decision",
      {{"request", active.request.id},
       {"route", active.route->name},
       {"sends", may_send},
       {"stream", request.is_stream},
       {"rest_ms", ToMilliseconds(core.Schedule().AnswerEnd() - now)},
       {"deadline_ms", ToMilliseconds(request.deadline - now)},
       {"longest_ms", LoggedTime(request.longest_answer)},
       {"longest_in_period_ms", LoggedTime(request.longest_in_period)},
       {"longest_of_events_ms", LoggedTime(request.longest_of_events)},
       {"max_tokens", max_output ? max_output->count : -1}});
}

}  // namespace

std::optional<GatewayAnswer> Admit(GatewayCore& core, ActiveRequest& active) {
  std::optional<GatewayAnswer> refusal = FindRoute(core, active);
  if (refusal) return refusal;
  if (core.Link().IsFull()) {
    return GatewayAnswer{503, "network link saturated", kRetryAfterOtherVm};
  }
  if (core.EventLoopDelay().IsFull()) {
    return GatewayAnswer{503, "processor saturated", kRetryAfterOtherVm};
  }

  active.SetService(ChooseService(core, active));
  if (ExceedsMemory(active)) {
    return GatewayAnswer{503, "prompt exceeds the upstreams' memory",
                         std::nullopt};
  }
  active.deadline = active.arrived + active.route->timeout;
  const std::optional<Duration>& limit = active.request.caller_timeout;
  if (limit) {
    active.deadline =
        std::min(active.deadline, active.arrived + *limit + kDeadlineSlack);
  }
  if (!MaySendInStop(core, active)) return MakeStopAnswer();
  return std::nullopt;
}

bool MaySendInStop(GatewayCore& core, ActiveRequest& active,
                   int events_relayed) {
  if (!core.IsStopping()) return true;
  const TimePoint now = Now();
  const serving::StopRequest request =
      DescribeForStop(core, active, events_relayed, now);
  const bool may_send = core.Schedule().MaySend(now, request);
  if (active.logged_stop_decision != may_send) {
    active.logged_stop_decision = may_send;
    LogStopDecision(core, active, request, now, may_send);
  }
  return may_send;
}

}  // namespace fuchsiadrum::gateway
