#include "fuchsiadrum/serving/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::serving {

Duration KeepMissingTime(Duration drain_time) {
  constexpr double kFraction = 0.6;
  return std::min(UpstreamDirectoryOptions().keep_missing,
                  std::chrono::duration_cast<Duration>(drain_time * kFraction));
}

bool UpstreamDirectory::Put(TimePoint now, const UpstreamEntry& entry) {
  const auto found = this->upstreams.find(entry.id);
  // Another address or service is another process's, which counts on its own.
  const bool is_other = found != this->upstreams.end() &&
                        (found->second->entry.address != entry.address ||
                         found->second->entry.service != entry.service);
  const bool is_newer =
      this->sequences.Advance(now, IncarnationOf(entry), entry.sequence);
  if (!is_newer && !is_other) return this->PutOutdated(entry);

  FleetUpstreamPtr& known = this->upstreams[entry.id];
  const bool same_incarnation =
      known && known->entry.started_unix_ms == entry.started_unix_ms &&
      known->entry.address == entry.address &&
      known->entry.service == entry.service;
  this->cold.OnEntry(now, entry, known && !same_incarnation);
  // Draining is final: within one incarnation an upstream never becomes usable
  // again.
  const bool draining = entry.draining ||
                        this->notices.IsLeaving(IncarnationOf(entry)) ||
                        (same_incarnation && known->entry.draining);
  if (!same_incarnation) {
    known = std::make_shared<FleetUpstream>(entry, this->options.upstream);
    known->entry.draining = draining;
    return true;
  }

  const bool changed =
      draining != known->entry.draining || known->missing_since.us != 0;
  known->entry = entry;
  known->entry.draining = draining;
  known->missing_since = TimePoint();
  return changed;
}

bool UpstreamDirectory::PutOutdated(const UpstreamEntry& entry) {
  const auto found = this->upstreams.find(entry.id);
  if (found == this->upstreams.end()) return false;
  UpstreamEntry& known = found->second->entry;
  if (IncarnationOf(known) != IncarnationOf(entry)) return false;
  if (known.draining || !entry.draining) return false;
  known.draining = true;
  return true;
}

void UpstreamDirectory::Remove(TimePoint now, const std::string& id) {
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) return;
  if (found->second->entry.draining) {
    this->upstreams.erase(found);
  } else if (found->second->missing_since.us == 0) {
    found->second->missing_since = now;
  }
}

void UpstreamDirectory::OnUnusableEntry(TimePoint now, const std::string& id) {
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) return;
  this->sequences.OnReplacedEntry(IncarnationOf(found->second->entry));
  this->Remove(now, id);
}

void UpstreamDirectory::EraseMisdirected(const FleetUpstream& upstream) {
  if (this->IsReplaced(upstream)) return;
  this->sequences.OnReplacedEntry(IncarnationOf(upstream.entry));
  this->upstreams.erase(upstream.entry.id);
}

bool UpstreamDirectory::IsReplaced(const FleetUpstream& upstream) const {
  const auto found = this->upstreams.find(upstream.entry.id);
  return found != this->upstreams.end() && found->second.get() != &upstream;
}

bool UpstreamDirectory::OnLeaving(TimePoint now, FleetUpstream& upstream) {
  if (this->IsReplaced(upstream)) return false;
  upstream.entry.draining = true;
  return this->notices.OnLeaving(now, IncarnationOf(upstream.entry));
}

void UpstreamDirectory::OnPause(TimePoint now, const FleetUpstream& upstream,
                                Duration pause) {
  if (this->IsReplaced(upstream)) return;
  this->notices.OnPause(now, IncarnationOf(upstream.entry), pause);
}

bool UpstreamDirectory::OnLimit(TimePoint now, const FleetUpstream& upstream,
                                std::optional<double> limit,
                                TimePoint sent_at) {
  if (this->IsReplaced(upstream)) return false;
  const UpstreamIncarnation incarnation = IncarnationOf(upstream.entry);
  if (!limit) return this->limits.OnUnnamed(now, incarnation, sent_at);
  return this->limits.OnNamed(now, incarnation, upstream.entry.service, *limit,
                              sent_at);
}

void UpstreamDirectory::OnColdTime(TimePoint now, const FleetUpstream& upstream,
                                   Duration cold_left) {
  if (this->IsReplaced(upstream)) return;
  this->cold.OnAnswer(now, upstream.entry.id, cold_left);
}

void UpstreamDirectory::OnLost(TimePoint now,
                               const UpstreamIncarnation& upstream) {
  const auto found = this->upstreams.find(upstream.id);
  if (found == this->upstreams.end() ||
      IncarnationOf(found->second->entry) != upstream) {
    return;
  }
  this->cold.OnDoubt(now, upstream.id);
}

bool UpstreamDirectory::LiftEvacuation(TimePoint now, const std::string& zone) {
  if (!this->evacuations.Lift(zone)) return false;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.availability_zone != zone) continue;
    this->cold.OnDoubt(now, id);
  }
  return true;
}

void UpstreamDirectory::OnTick(TimePoint now) {
  this->notices.OnTick(now);
  const auto is_known = [this](const std::string& id) {
    return this->upstreams.contains(id);
  };
  this->limits.DropUnknown(now, is_known);
  this->cold.DropUnknown(now, is_known);
  std::erase_if(this->upstreams, [&](const auto& item) {
    return !this->IsKept(now, *item.second);
  });
  this->sequences.DropUnknown(now, [this](const auto& incarnation) {
    const auto found = this->upstreams.find(incarnation.id);
    return found != this->upstreams.end() &&
           IncarnationOf(found->second->entry) == incarnation;
  });
}

bool UpstreamDirectory::IsKept(TimePoint now,
                               const FleetUpstream& upstream) const {
  if (upstream.missing_since.us == 0) return true;
  if (now - upstream.missing_since < this->options.keep_missing) return true;
  return this->store_reconnected_at.us != 0 &&
         now - this->store_reconnected_at < this->options.reconnect_grace;
}

UpstreamIncarnation UpstreamDirectory::IncarnationOf(
    const UpstreamEntry& entry) {
  return {.id = entry.id, .started_unix_ms = entry.started_unix_ms};
}

UpstreamEligibility UpstreamDirectory::EligibilityOf(
    TimePoint now, const FleetUpstream& upstream) const {
  if (!this->limits.HasPermit(now, IncarnationOf(upstream.entry))) {
    return UpstreamEligibility::kIneligible;
  }
  if (this->IsCold(now, upstream) &&
      !this->cold.HasPermit(now, upstream.entry)) {
    return UpstreamEligibility::kIneligible;
  }
  return this->UnlimitedEligibilityOf(now, upstream);
}

std::optional<SendPermit> UpstreamDirectory::TakePermit(
    TimePoint now, const FleetUpstream& upstream, int priority) {
  SendPermit permit;
  if (this->IsCold(now, upstream)) {
    if (!this->cold.TakePermit(now, upstream.entry)) return std::nullopt;
    permit.of_cold = true;
  }
  if (!this->IsLimited(upstream)) return permit;
  permit.of_limit =
      this->limits.TakePermit(now, IncarnationOf(upstream.entry), priority);
  if (permit.of_limit) return permit;
  this->ReturnPermit(now, upstream, permit);
  return std::nullopt;
}

void UpstreamDirectory::ReturnPermit(TimePoint now,
                                     const FleetUpstream& upstream,
                                     const SendPermit& permit) {
  if (permit.of_cold) this->cold.ReturnPermit(upstream.entry.id);
  if (!permit.of_limit) return;
  this->limits.ReturnPermit(now, IncarnationOf(upstream.entry));
}

bool UpstreamDirectory::MaySend(TimePoint now, const FleetUpstream& upstream,
                                const SendPermit& permit) const {
  if (this->UnlimitedEligibilityOf(now, upstream) ==
      UpstreamEligibility::kIneligible) {
    return false;
  }
  if (this->IsCold(now, upstream) &&
      !(permit.of_cold && this->cold.IsPermitValid(now, upstream.entry))) {
    return false;
  }
  if (!this->IsLimited(upstream)) return true;
  return permit.of_limit &&
         this->limits.IsShareValid(IncarnationOf(upstream.entry));
}

void UpstreamDirectory::OnSend(TimePoint now, const FleetUpstream& upstream,
                               const SendPermit& permit) {
  this->cold.OnSend(now, upstream.entry.id, permit.of_cold);
}

void UpstreamDirectory::OnMisdirected(const FleetUpstream& upstream,
                                      TimePoint sent_at) {
  this->cold.OnMisdirected(upstream.entry.id, sent_at);
}

bool UpstreamDirectory::IsLimited(const FleetUpstream& upstream) const {
  return this->limits.LimitOf(IncarnationOf(upstream.entry)).has_value();
}

UpstreamEligibility UpstreamDirectory::UnlimitedEligibilityOf(
    TimePoint now, const FleetUpstream& upstream) const {
  if (upstream.entry.draining) return UpstreamEligibility::kIneligible;
  if (this->IsEvacuated(upstream)) return UpstreamEligibility::kIneligible;
  if (now < this->notices.PausedUntil(IncarnationOf(upstream.entry))) {
    return UpstreamEligibility::kIneligible;
  }
  if (!this->IsKept(now, upstream)) return UpstreamEligibility::kIneligible;
  const bool missing = upstream.missing_since.us != 0;
  return missing || upstream.IsEjected(now) ? UpstreamEligibility::kLastResort
                                            : UpstreamEligibility::kUsable;
}

bool UpstreamDirectory::IsHeldCold(TimePoint now,
                                   const FleetUpstream& upstream) const {
  return this->IsCold(now, upstream) &&
         this->UnlimitedEligibilityOf(now, upstream) ==
             UpstreamEligibility::kUsable;
}

std::vector<FleetUpstreamPtr> UpstreamDirectory::Candidates(
    TimePoint now, const std::string& service,
    std::span<const std::string> excluded, int priority,
    const std::function<bool(const UpstreamEntry&)>& accepts) {
  std::vector<FleetUpstreamPtr> usable;
  std::vector<FleetUpstreamPtr> failing;
  std::vector<FleetUpstreamPtr> missing;
  std::vector<FleetUpstreamPtr> cold_ones;
  size_t listed = 0;
  size_t held_cold = 0;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service) continue;
    if (accepts && !accepts(upstream->entry)) continue;
    const UpstreamEligibility eligibility = this->EligibilityOf(now, *upstream);
    if (eligibility == UpstreamEligibility::kIneligible) {
      if (this->IsHeldCold(now, *upstream)) ++held_cold;
      continue;
    }
    const bool is_missing = upstream->missing_since.us != 0;
    if (!is_missing) ++listed;
    if (std::ranges::find(excluded, id) != excluded.end()) continue;
    if (eligibility == UpstreamEligibility::kUsable) {
      (this->IsCold(now, *upstream) ? cold_ones : usable).push_back(upstream);
    } else {
      (is_missing ? missing : failing).push_back(upstream);
    }
  }
  if (usable.size() * 2 < listed + held_cold) {
    usable.insert(usable.end(), cold_ones.begin(), cold_ones.end());
  }
  if (usable.size() * 2 < listed) {
    usable.insert(usable.end(), failing.begin(), failing.end());
  }
  if (usable.empty()) usable = std::move(missing);
  const bool is_scarce =
      std::ranges::all_of(usable, [this](const FleetUpstreamPtr& upstream) {
        return this->IsLimited(*upstream);
      });
  if (is_scarce) {
    std::erase_if(usable, [&](const FleetUpstreamPtr& upstream) {
      return !this->limits.MayTakeScarce(now, IncarnationOf(upstream->entry),
                                         priority);
    });
  }
  return usable;
}

std::map<std::string, std::set<std::string>>
UpstreamDirectory::VersionsByService() const {
  std::map<std::string, std::set<std::string>> versions;
  for (const auto& [id, upstream] : this->upstreams) {
    versions[upstream->entry.service].insert(upstream->entry.version);
  }
  return versions;
}

bool UpstreamDirectory::HasVersion(TimePoint now, std::string_view service,
                                   std::string_view version) const {
  return std::ranges::any_of(this->upstreams, [&](const auto& item) {
    const UpstreamEntry& entry = item.second->entry;
    return entry.service == service && entry.version == version &&
           !entry.draining && this->IsKept(now, *item.second);
  });
}

std::optional<TimePoint> UpstreamDirectory::FirstPauseEnd(
    TimePoint now, std::string_view service) const {
  std::optional<TimePoint> first;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service || upstream->entry.draining ||
        this->IsEvacuated(*upstream)) {
      continue;
    }
    const TimePoint until =
        this->notices.PausedUntil(IncarnationOf(upstream->entry));
    if (until <= now) continue;
    if (!first || until < *first) first = until;
  }
  return first;
}

std::optional<TimePoint> UpstreamDirectory::EvacuationEnd(
    TimePoint now, std::string_view service) const {
  std::optional<TimePoint> first;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service || upstream->entry.draining ||
        upstream->missing_since.us != 0) {
      continue;
    }
    if (!this->IsEvacuated(*upstream)) return std::nullopt;
    const TimePoint end = now + this->evacuations.RetryAfter(
                                    now, upstream->entry.availability_zone);
    if (!first || end < *first) first = end;
  }
  return first;
}

std::optional<TimePoint> UpstreamDirectory::FirstColdChance(
    TimePoint now, std::string_view service) const {
  std::optional<TimePoint> first;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service ||
        !this->IsHeldCold(now, *upstream)) {
      continue;
    }
    const TimePoint chance = this->cold.NextChance(now, upstream->entry);
    if (!first || chance < *first) first = chance;
  }
  return first;
}

std::set<std::string> UpstreamDirectory::ColdIds(TimePoint now) const {
  std::set<std::string> ids;
  for (const auto& [id, upstream] : this->upstreams) {
    if (this->IsCold(now, *upstream)) ids.insert(id);
  }
  return ids;
}

}  // namespace fuchsiadrum::serving
