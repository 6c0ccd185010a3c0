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
  if (!same_life) {
    known = std::make_shared<FleetUpstream>(entry, this->options.upstream);
    return true;
  }

  // An upstream that has begun to leave does not come back in the same life.
  const bool draining = known->entry.draining || entry.draining;
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

void UpstreamDirectory::OnTick(TimePoint now) {
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

std::vector<FleetUpstreamPtr> UpstreamDirectory::Candidates(
    TimePoint now, std::string_view service) const {
  std::vector<FleetUpstreamPtr> listed;
  std::vector<FleetUpstreamPtr> missing;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream->entry.service != service || upstream->entry.draining) {
      continue;
    }
    if (upstream->missing_since.us == 0) {
      listed.push_back(upstream);
    } else if (this->IsKept(now, *upstream)) {
      missing.push_back(upstream);
    }
  }
  return listed.empty() ? missing : listed;
}

}  // namespace fuchsiadrum::serving
