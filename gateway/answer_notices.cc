#include "gateway/answer_notices.h"

#include <optional>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Value in the log for an upstream that names no limit.
constexpr double kNoLimit = -1;

void ApplyLimit(GatewayCore& core, const serving::FleetUpstream& upstream,
                const serving::UpstreamAnswer& answer,
                const AnsweredRequest& request) {
  const std::optional<double>& limit = answer.request_limit;
  // Only the upstream itself withdraws its limit: an answer that was garbled on
  // the way says nothing.
  if (!limit && !answer.has_signature && !answer.not_executed) return;
  if (!core.Upstreams().OnLimit(Now(), upstream, limit, request.sent_at)) {
    return;
  }
  core.SharedLimits().Notify();
  core.Log().Write("upstream-limit",
                   {{"upstream", upstream.entry.id},
                    {"id", request.id},
                    {"requests_per_s", limit.value_or(kNoLimit)}});
}

void ApplyLoad(GatewayCore& core, serving::FleetUpstream& upstream,
               const serving::UpstreamAnswer& answer) {
  if (answer.load) upstream.OnReport(Now(), *answer.load);
  if (answer.load_fault.empty()) return;
  core.Metrics().CountUnusableLoad(upstream.entry.service);
  if (!upstream.OnUnusableReport()) return;
  core.Log().Write("upstream-load-unusable", {{"upstream", upstream.entry.id},
                                              {"reason", answer.load_fault}});
}

void ApplyColdTime(GatewayCore& core, const serving::FleetUpstream& upstream,
                   const serving::UpstreamAnswer& answer) {
  if (!answer.cold_left) return;
  // Only the upstream itself says that it is warm, as with a limit.
  const bool is_own = answer.has_signature || answer.not_executed;
  if (*answer.cold_left == Duration::zero() && !is_own) return;
  core.Upstreams().OnColdTime(Now(), upstream, *answer.cold_left);
}

}  // namespace

void ApplyNotices(GatewayCore& core, serving::FleetUpstream& upstream,
                  const serving::UpstreamAnswer& answer,
                  const AnsweredRequest& request) {
  const TimePoint now = Now();
  const std::string& id = upstream.entry.id;
  ApplyLoad(core, upstream, answer);
  if (!answer.fault.empty()) {
    core.Log().Write("upstream-notice-unusable",
                     {{"upstream", id}, {"reason", answer.fault}});
  }
  if (!answer.unknown_notice.empty()) {
    core.LogUnknownNotice(id, answer.unknown_notice);
  }
  if (answer.leaving && core.Upstreams().OnLeaving(now, upstream)) {
    core.Log().Write("upstream-leaves", {{"upstream", id}, {"id", request.id}});
  }
  if (answer.pause) {
    core.Upstreams().OnPause(now, upstream, *answer.pause);
    core.Log().Write("upstream-pauses",
                     {{"upstream", id},
                      {"id", request.id},
                      {"ms", ToMilliseconds(*answer.pause)}});
  }
  ApplyLimit(core, upstream, answer, request);
  ApplyColdTime(core, upstream, answer);
}

}  // namespace fuchsiadrum::gateway
