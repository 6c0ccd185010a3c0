#include "fuchsiadrum/serving/fleet_upstream.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {
namespace {

/// Bounds of one slowness observation, so that a single stalled request does
/// not keep an upstream from being chosen.
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 6.0;
/// Bounds of the factor by which a report may change the expected time. A wrong
/// report must neither attract all requests nor exclude an upstream.
constexpr double kMinWorkFactor = 0.25;
constexpr double kMaxWorkFactor = 10.0;

}  // namespace

int64_t PromptCache::CachedTokens(std::span<const PromptPart> parts) const {
  int64_t tokens = 0;
  for (const PromptPart& part : parts) {
    if (!this->entries.contains(part.id)) break;
    tokens += part.tokens;
  }
  return tokens;
}

double PromptCache::ExpectedTokens(TimePoint now,
                                   std::span<const PromptPart> parts,
                                   Duration retention) const {
  // Certain up to half of the retention, impossible from one and a half on.
  constexpr double kCertain = 0.5;
  const double span = std::max(1.0, static_cast<double>(retention.count()));
  double tokens = 0;
  double chance = 1;
  for (const PromptPart& part : parts) {
    const auto found = this->entries.find(part.id);
    if (found == this->entries.end()) break;
    const Duration age = now - found->second->used_at;
    const double kept = 1 + kCertain - static_cast<double>(age.count()) / span;
    chance = std::min(chance, std::clamp(kept, 0.0, 1.0));
    tokens += chance * static_cast<double>(part.tokens);
  }
  return tokens;
}

void PromptCache::Use(std::span<const PromptPart> parts, TimePoint now) {
  // Iterate backwards so that the first part becomes the most recent one: a
  // cached part is only useful while all parts before it are cached.
  for (size_t i = parts.size(); i-- > 0;) {
    const PromptPart& part = parts[i];
    const auto found = this->entries.find(part.id);
    if (found != this->entries.end()) {
      found->second->used_at = now;
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      continue;
    }
    this->recent.push_front(
        {.id = part.id, .tokens = part.tokens, .used_at = now});
    this->entries[part.id] = this->recent.begin();
    this->used += part.tokens;
  }

  while (this->used > this->capacity && this->recent.size() > 1) {
    const Entry& oldest = this->recent.back();
    this->used -= oldest.tokens;
    this->entries.erase(oldest.id);
    this->recent.pop_back();
  }
}

FleetUpstream::FleetUpstream(UpstreamEntry upstream_entry,
                             const UpstreamOptions& opts)
    : entry(std::move(upstream_entry)),
      id_hash(Hash64(this->entry.id)),
      cache(opts.default_memory_tokens),
      ramp(opts.ramp),
      options(opts) {}

int FleetUpstream::Slots() const {
  return std::max(
      1, this->report.slots > 0 ? this->report.slots : this->entry.slots);
}

LoadEstimate FleetUpstream::Load(TimePoint now,
                                 const TypicalLoad& typical) const {
  const int slots = this->Slots();
  double weight = 0;
  if (this->report_at.us != 0) {
    const auto age = static_cast<double>((now - this->report_at).count());
    weight = std::exp(-age / static_cast<double>(typical.hold.count()));
  }
  const double typical_others = typical.others_per_slot * slots;
  const double reported_others = this->ReportedOthersPerSlot() * slots;
  return {.requests = this->in_flight + typical_others +
                      weight * (reported_others - typical_others),
          .waiting = weight * this->report.waiting,
          .slots = slots,
          .staleness = 1 - weight};
}

double FleetUpstream::ReportedOthersPerSlot() const {
  const int others =
      this->report.running + this->report.waiting - this->in_flight_at_report;
  return static_cast<double>(std::max(0, others)) / this->Slots();
}

std::optional<int> FleetUpstream::ReportedRequests(TimePoint now) const {
  if (this->report_at.us == 0 ||
      now - this->report_at > this->options.report_lifetime) {
    return std::nullopt;
  }
  const int since = this->in_flight - this->in_flight_at_report;
  return std::max(this->in_flight,
                  this->report.running + this->report.waiting + since);
}

void FleetUpstream::OnReport(TimePoint now, const LoadReport& load) {
  this->report = load;
  this->report_at = now;
  this->in_flight_at_report = this->in_flight;
}

bool FleetUpstream::OnUnusableReport() {
  return !std::exchange(this->has_unusable_report, true);
}

double FleetUpstream::WorkFactor(TimePoint now) const {
  const Duration age = now - this->report_at;
  if (!this->report.work_percent || age >= this->options.work_lifetime) {
    return 1;
  }
  constexpr double kPercent = 100;
  const double reported = std::clamp(*this->report.work_percent / kPercent,
                                     kMinWorkFactor, kMaxWorkFactor);
  const double weight =
      1 - ToSeconds(age) / ToSeconds(this->options.work_lifetime);
  return 1 + weight * (reported - 1);
}

void FleetUpstream::OnSuccess(TimePoint /*now*/, double slowness_ratio) {
  this->failure_ratio *= 1 - this->options.outcome_weight;
  this->failures = 0;
  this->ejections = 0;
  if (slowness_ratio <= 0) return;
  const double bounded = std::clamp(slowness_ratio, kMinSlowness, kMaxSlowness);
  this->prefill.Add(bounded, 1.0, this->decode.Slowness(),
                    this->options.prefill);
}

void FleetUpstream::OnLate(double slowness_ratio) {
  const double bounded = std::clamp(slowness_ratio, kMinSlowness, kMaxSlowness);
  this->prefill.Add(bounded, 1.0, this->decode.Slowness(),
                    this->options.prefill);
}

void FleetUpstream::OnEventInterval(Duration interval, Duration typical) {
  if (typical <= Duration::zero()) return;
  const double ratio = ToSeconds(interval) / ToSeconds(typical);
  this->decode.Add(std::clamp(ratio, kMinSlowness, kMaxSlowness), 1.0, 1.0,
                   this->options.decode);
}

double FleetUpstream::Slowness() const {
  return this->prefill.SlownessTowards(this->decode.Slowness(),
                                       this->options.prefill);
}

bool FleetUpstream::TakeRecovery(TimePoint now) {
  if (!this->has_recovery || this->IsEjected(now)) return false;
  this->has_recovery = false;
  return true;
}

void FleetUpstream::OnFailure(TimePoint now) {
  const double weight = this->options.outcome_weight;
  this->failure_ratio += weight * (1 - this->failure_ratio);
  this->ramp.OnRefused(now);
  ++this->failures;
  if (this->failures >= this->options.failures_to_eject) this->Eject(now);
}

void FleetUpstream::OnUnreachable(TimePoint now) {
  const double weight = this->options.outcome_weight;
  this->failure_ratio += weight * (1 - this->failure_ratio);
  this->Eject(now);
}

void FleetUpstream::Eject(TimePoint now) {
  constexpr int kMaxDoublings = 10;
  const int64_t factor = int64_t{1} << std::min(this->ejections, kMaxDoublings);
  ++this->ejections;
  this->has_recovery = true;
  this->ejected_until = now + std::min(this->options.max_ejection,
                                       this->options.first_ejection * factor);
  // A single failure after the ejection time ejects the upstream again.
  this->failures = this->options.failures_to_eject - 1;
}

void FleetUpstream::OnDispatch(TimePoint now) {
  // An idle upstream sends nothing, so silence is measured from the first
  // request after an idle time.
  if (this->in_flight == 0) this->last_bytes_at = now;
  ++this->in_flight;
}

Duration FleetUpstream::Silence(TimePoint now) const {
  if (this->in_flight == 0) return Duration::zero();
  const Duration silence = now - this->last_bytes_at;
  return silence > this->options.silent_after ? silence : Duration::zero();
}

}  // namespace fuchsiadrum::serving
