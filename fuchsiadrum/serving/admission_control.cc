#include "fuchsiadrum/serving/admission_control.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {
namespace {

/// Size of a request without length on a route of which no size is known yet: a
/// large one, as a chunked body seldom is short.
constexpr double kUnknownBytes = 8192;
/// Weight of the latest size in a route's mean.
constexpr double kMeanWeight = 0.1;
/// Number of organisations and routes above which those that were not seen for
/// long are forgotten.
constexpr size_t kMaxEntries = 1024;

}  // namespace

std::string_view AdmissionResultName(AdmissionResult result) {
  static constexpr std::array<std::string_view, 3> kNames = {"taken", "link",
                                                             "processor"};
  return kNames[static_cast<size_t>(result)];
}

AdmissionDecision AdmissionControl::Decide(TimePoint now,
                                           const OfferedRequest& request,
                                           const VmLoad& load, Rng& rng) {
  const bool is_bulky = this->IsBulky(request);
  this->shares.Add(now, request.organisation, request.bytes);
  this->ForgetOldKinds(now);
  this->kinds[{request.priority, request.target_latency.count(), is_bulky}] =
      now;

  AdmissionDecision decision;
  Duration excess = Duration::zero();
  if (this->RefusesForLink(now, request, load, excess)) {
    decision.result = AdmissionResult::kLinkFull;
  } else if (load.is_processor_busy &&
             load.processor_load > this->Factor(now, request, false)) {
    decision.result = AdmissionResult::kProcessorFull;
    excess = this->options.max_retry_after;
  }
  if (decision.result != AdmissionResult::kTaken) {
    const Duration spread = std::clamp(
        excess, this->options.min_retry_after,
        this->options.max_retry_after - this->options.min_retry_after);
    decision.retry_after = this->options.min_retry_after +
                           FromSeconds(rng.Unit() * ToSeconds(spread));
    return decision;
  }
  if (is_bulky) {
    this->taken_by_priority[request.priority] = now;
    this->taken_by_organisation[std::string(request.organisation)] = now;
  }
  return decision;
}

bool AdmissionControl::RefusesForLink(TimePoint now,
                                      const OfferedRequest& request,
                                      const VmLoad& load, Duration& excess) {
  if (load.link_bytes_per_s <= 0) return false;
  if (load.link_wait <= this->options.idle_wait) return false;
  const Duration own =
      FromSeconds(static_cast<double>(request.bytes) / load.link_bytes_per_s);
  const bool is_bulky = this->IsBulky(request);
  const Duration limit =
      FromSeconds(this->Factor(now, request, is_bulky) *
                  ToSeconds(this->WaitLimit(request, !is_bulky)));
  if (load.link_wait + own <= limit) return false;
  if (is_bulky && load.link_wait <= this->WaitLimit(request, true) &&
      this->IsStarved(now, request)) {
    return false;
  }
  excess = load.link_wait + own - limit;
  return true;
}

double AdmissionControl::Factor(TimePoint now, const OfferedRequest& request,
                                bool bulky_only) {
  int steps = 0;
  if (!request.continues_stream) {
    int last = request.priority;
    for (const auto& [kind, seen_at] : this->kinds) {
      const auto& [priority, target, is_bulky] = kind;
      // The kinds are in the order of their priorities.
      if (priority >= request.priority) break;
      if (priority == last || (bulky_only && !is_bulky)) continue;
      last = priority;
      steps += 2;
    }
    if (this->shares.IsAboveFair(now, request.organisation)) ++steps;
  }
  return std::pow(this->options.step_factor,
                  std::min(steps, this->options.max_steps));
}

Duration AdmissionControl::WaitLimit(const OfferedRequest& request,
                                     bool as_small) const {
  Duration tightest = request.target_latency;
  for (const auto& [kind, seen_at] : this->kinds) {
    const auto& [priority, target, is_bulky] = kind;
    if (as_small && priority > request.priority) break;
    tightest = std::min(tightest, Duration(target));
  }
  const double fraction =
      as_small ? this->options.small_fraction : this->options.large_fraction;
  const Duration most =
      as_small ? this->options.max_small_wait : this->options.max_large_wait;
  return std::clamp(FromSeconds(fraction * ToSeconds(tightest)),
                    this->options.min_wait, most);
}

bool AdmissionControl::IsStarved(TimePoint now,
                                 const OfferedRequest& request) const {
  const auto is_old = [&](const auto& found, const auto& end) {
    return found == end || now - found->second >= this->options.starvation_time;
  };
  return is_old(this->taken_by_priority.find(request.priority),
                this->taken_by_priority.end()) ||
         is_old(this->taken_by_organisation.find(request.organisation),
                this->taken_by_organisation.end());
}

void AdmissionControl::ForgetOldKinds(TimePoint now) {
  std::erase_if(this->kinds, [&](const auto& entry) {
    return now - entry.second > this->options.demand_time;
  });
  if (this->taken_by_organisation.size() > kMaxEntries) {
    std::erase_if(this->taken_by_organisation, [&](const auto& entry) {
      return now - entry.second >= this->options.starvation_time;
    });
  }
}

size_t AdmissionControl::MeanBytes(const std::string& route) const {
  const auto found = this->mean_bytes.find(route);
  return static_cast<size_t>(found == this->mean_bytes.end() ? kUnknownBytes
                                                             : found->second);
}

void AdmissionControl::OnLength(const std::string& route, size_t bytes) {
  const auto latest = static_cast<double>(bytes);
  const auto found = this->mean_bytes.find(route);
  if (found != this->mean_bytes.end()) {
    found->second += kMeanWeight * (latest - found->second);
    return;
  }
  // Routes come from the configuration; those of old ones are dropped at once.
  if (this->mean_bytes.size() >= kMaxEntries) this->mean_bytes.clear();
  this->mean_bytes.emplace(route, latest);
}

}  // namespace fuchsiadrum::serving
