#include "fuchsiadrum/serving/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::serving {

Duration KeepMissingTime(Duration drain_time) {
  constexpr double kPart = 0.6;
  return std::min(UpstreamDirectoryOptions().keep_missing,
                  std::chrono::duration_cast<Duration>(drain_time * kPart));
}

bool UpstreamDirectory::Put(const UpstreamEntry& entry) {
  FleetUpstreamPtr& known = this->upstreams[entry.id];
  const bool same_life =
      known && known->entry.started_unix_ms == entry.started_unix_ms &&
      known->entry.address == entry.address &&
      known->entry.service == entry.service;
  // An upstream that has begun to leave does not come back in the same life.
  const bool draining = entry.draining ||
                        this->notices.IsLeaving(LifeOf(entry)) ||
                        (same_life && known->entry.draining);
  if (!same_life) {
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

void UpstreamDirectory::Remove(TimePoint now, const std::string& id) {
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) return;
  if (found->second->entry.draining) {
    this->upstreams.erase(found);
  } else if (found->second->missing_since.us == 0) {
    found->second->missing_since = now;
  }
}

void UpstreamDirectory::Forget(const std::string& id) {
  this->upstreams.erase(id);
}

bool UpstreamDirectory::OnLeaving(TimePoint now, FleetUpstream& upstream) {
  upstream.entry.draining = true;
  return this->notices.OnLeaving(now, LifeOf(upstream.entry));
}

void UpstreamDirectory::OnPause(TimePoint now, const FleetUpstream& upstream,
                                Duration pause) {
  this->notices.OnPause(now, LifeOf(upstream.entry), pause);
}

void UpstreamDirectory::OnTick(TimePoint now) {
  this->notices.OnTick(now);
  std::erase_if(this->upstreams, [&](const auto& item) {
    return !this->IsKept(now, *item.second);
  });
}

bool UpstreamDirectory::IsKept(TimePoint now,
                               const FleetUpstream& upstream) const {
  if (upstream.missing_since.us == 0) return true;
  if (now - upstream.missing_since < this->options.keep_missing) return true;
  return this->store_back_at.us != 0 &&
         now - this->store_back_at < this->options.return_time;
}

UpstreamLife UpstreamDirectory::LifeOf(const UpstreamEntry& entry) {
  return {.id = entry.id, .started_unix_ms = entry.started_unix_ms};
}

UpstreamUse UpstreamDirectory::UseOf(TimePoint now,
                                     const FleetUpstream& upstream) const {
  if (upstream.entry.draining) return UpstreamUse::kNever;
  if (now < this->notices.PausedUntil(LifeOf(upstream.entry))) {
    return UpstreamUse::kNever;
  }
  if (!this->IsKept(now, upstream)) return UpstreamUse::kNever;
  const bool missing = upstream.missing_since.us != 0;
  return missing || upstream.IsEjected(now) ? UpstreamUse::kLastResort
                                            : UpstreamUse::kUsable;
}

std::vector<FleetUpstreamPtr> UpstreamDirectory::Candidates(
    TimePoint now, std::string_view service,
    std::span<const std::string> excluded) const {
  std::vector<FleetUpstreamPtr> usable;
  std::vector<FleetUpstreamPtr> failing;
  std::vector<FleetUpstreamPtr> missing;
  size_t listed = 0;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service) continue;
    const UpstreamUse use = this->UseOf(now, *upstream);
    if (use == UpstreamUse::kNever) continue;
    const bool is_missing = upstream->missing_since.us != 0;
    if (!is_missing) ++listed;
    if (std::ranges::find(excluded, id) != excluded.end()) continue;
    if (use == UpstreamUse::kUsable) {
      usable.push_back(upstream);
    } else {
      (is_missing ? missing : failing).push_back(upstream);
    }
  }
  if (usable.size() * 2 < listed) {
    usable.insert(usable.end(), failing.begin(), failing.end());
  }
  return usable.empty() ? missing : usable;
}

std::optional<TimePoint> UpstreamDirectory::FirstPauseEnd(
    TimePoint now, std::string_view service) const {
  std::optional<TimePoint> first;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service || upstream->entry.draining) {
      continue;
    }
    const TimePoint until = this->notices.PausedUntil(LifeOf(upstream->entry));
    if (until <= now) continue;
    if (!first || until < *first) first = until;
  }
  return first;
}

}  // namespace fuchsiadrum::serving
