#include "fuchsiadrum/serving/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace fuchsiadrum::serving {
namespace {

/// What the lost runs of all crashes say of one part.
struct PartRecord {
  /// Times at which its crashes became known, and their keys.
  std::vector<std::pair<TimePoint, std::string>> crashes;
  std::set<uint64_t> requests;
  std::set<uint64_t> organisations;
  /// Parts that are in each of its lost runs.
  std::set<uint64_t> companions;
  int64_t separate_crashes = 0;
};

/// True if a lost run has the part.
bool Accuses(const UpstreamCrash& crash, uint64_t part) {
  return std::ranges::any_of(crash.runs, [part](const LostRun& run) {
    return std::ranges::find(run.parts, part) != run.parts.end();
  });
}

/// The runs to which a crash is blamed.
std::vector<const LostRun*> BlamedRuns(const UpstreamCrash& crash) {
  std::vector<const LostRun*> blamed;
  for (const LostRun& run : crash.runs) {
    if (run.has_begun) blamed.push_back(&run);
  }
  if (!blamed.empty()) return blamed;
  for (const LostRun& run : crash.runs) blamed.push_back(&run);
  return blamed;
}

int64_t CountSeparate(std::vector<std::pair<TimePoint, std::string>>& crashes,
                      Duration common_cause) {
  std::ranges::sort(crashes);
  int64_t count = 0;
  std::optional<TimePoint> last;
  for (const auto& [at, key] : crashes) {
    if (!last || at - *last > common_cause) ++count;
    last = at;
  }
  return count;
}

void AddRun(PartRecord& record, const LostRun& run) {
  const std::set<uint64_t> parts(run.parts.begin(), run.parts.end());
  if (record.requests.empty()) {
    record.companions = parts;
  } else {
    std::erase_if(record.companions,
                  [&](uint64_t other) { return !parts.contains(other); });
  }
  record.requests.insert(run.request);
  record.organisations.insert(run.organisation);
}

}  // namespace

void CrashEvidence::AddOwn(TimePoint now, const UpstreamCrash& crash) {
  Entry& entry = this->EntryOf(now, crash.upstream);
  for (const LostRun& run : crash.runs) {
    if (entry.own.runs.size() >= this->options.max_runs) break;
    LostRun bounded = run;
    if (bounded.parts.size() > this->options.max_parts) {
      bounded.parts.resize(this->options.max_parts);
    }
    if (!bounded.parts.empty()) entry.own.runs.push_back(bounded);
  }
  this->DropOldest();
}

void CrashEvidence::OnRecord(TimePoint now, const UpstreamCrash& crash) {
  Entry& entry = this->EntryOf(now, crash.upstream);
  entry.stored = crash;
  // From here on, the record alone says what is held against the own runs.
  std::erase_if(entry.own.runs, [&](const LostRun& own) {
    return std::ranges::any_of(crash.runs, [&](const LostRun& run) {
      return run.request == own.request;
    });
  });
  this->obsolete.erase(CrashKey(crash.upstream));
  this->DropOldest();
}

void CrashEvidence::OnRecordDeleted(const std::string& key) {
  this->obsolete.erase(key);
  const auto found = this->crashes.find(key);
  // What is not written yet has not been decided on by whoever deleted it.
  if (found != this->crashes.end() && found->second.stored) {
    this->crashes.erase(found);
  }
}

bool CrashEvidence::OnSound(const std::vector<uint64_t>& parts) {
  bool has_changed = false;
  for (auto& [key, entry] : this->crashes) {
    for (const uint64_t part : parts) {
      const bool is_accused = Accuses(entry.own, part) ||
                              (entry.stored && Accuses(*entry.stored, part));
      if (is_accused) has_changed |= entry.sound.insert(part).second;
    }
  }
  return has_changed;
}

bool CrashEvidence::OnAlive(const UpstreamIncarnation& upstream,
                            uint64_t mark) {
  const std::string key = CrashKey(upstream);
  const auto found = this->crashes.find(key);
  if (found == this->crashes.end() || found->second.mark > mark) return false;
  if (found->second.stored) this->obsolete.insert(key);
  this->crashes.erase(found);
  return true;
}

void CrashEvidence::Expire(TimePoint now) {
  for (auto it = this->crashes.begin(); it != this->crashes.end();) {
    if (now - it->second.known_at < this->options.retention) {
      ++it;
      continue;
    }
    if (it->second.stored) this->obsolete.insert(it->first);
    it = this->crashes.erase(it);
  }
}

std::vector<Suspicion> CrashEvidence::Suspicions(int64_t crashes_min) const {
  const std::vector<MergedCrash> merged = this->MergedCrashes();
  // Most parts are in the runs of one crash only.
  std::unordered_map<uint64_t, int64_t> counts;
  for (const MergedCrash& each : merged) {
    for (const uint64_t part : each.parts) ++counts[part];
  }
  std::map<uint64_t, PartRecord> records;
  for (const MergedCrash& each : merged) {
    for (const uint64_t part : each.parts) {
      if (counts[part] < crashes_min) continue;
      records[part].crashes.emplace_back(each.known_at, each.key);
    }
    for (const LostRun* run : BlamedRuns(each.crash)) {
      for (const uint64_t part : run->parts) {
        if (counts[part] >= crashes_min) AddRun(records[part], *run);
      }
    }
  }
  for (auto& [part, record] : records) {
    record.separate_crashes =
        CountSeparate(record.crashes, this->options.common_cause);
  }
  std::erase_if(records, [crashes_min](const auto& item) {
    return item.second.separate_crashes < crashes_min ||
           item.second.requests.size() < 2;
  });

  std::map<std::vector<uint64_t>, Suspicion> found;
  for (const auto& [part, record] : records) {
    Suspicion suspicion;
    suspicion.crashes = record.separate_crashes;
    suspicion.requests = record.requests.size();
    suspicion.organisations.assign(record.organisations.begin(),
                                   record.organisations.end());
    bool is_explained = false;
    for (const uint64_t other : record.companions) {
      const auto companion = records.find(other);
      if (companion == records.end()) continue;
      const int64_t more = companion->second.separate_crashes;
      // A part that is in all of these runs and in those of further crashes
      // explains them without this one.
      is_explained = is_explained || more > record.separate_crashes;
      if (more == record.separate_crashes) suspicion.parts.push_back(other);
    }
    if (is_explained) continue;
    for (const auto& [at, key] : record.crashes) suspicion.keys.push_back(key);
    suspicion.first_known = record.crashes.front().first;
    found.emplace(suspicion.parts, suspicion);
  }
  std::vector<Suspicion> out;
  out.reserve(found.size());
  for (auto& [parts, suspicion] : found) out.push_back(std::move(suspicion));
  return out;
}

std::set<uint64_t> CrashEvidence::OrganisationsOf(
    const std::vector<uint64_t>& parts) const {
  std::set<uint64_t> out;
  for (const MergedCrash& each : this->MergedCrashes()) {
    for (const LostRun* run : BlamedRuns(each.crash)) {
      const bool has_all = std::ranges::all_of(parts, [run](uint64_t part) {
        return std::ranges::find(run->parts, part) != run->parts.end();
      });
      if (has_all) out.insert(run->organisation);
    }
  }
  return out;
}

std::set<uint64_t> CrashEvidence::AccusedParts() const {
  std::set<uint64_t> out;
  for (const auto& [key, entry] : this->crashes) {
    for (const LostRun& run : this->Merged(entry, {}).runs) {
      out.insert(run.parts.begin(), run.parts.end());
    }
  }
  return out;
}

std::vector<UpstreamCrash> CrashEvidence::Unwritten(
    TimePoint now, const std::set<uint64_t>& suspects) const {
  std::vector<UpstreamCrash> out;
  for (const auto& [key, entry] : this->crashes) {
    std::set<uint64_t> sound;
    std::ranges::set_intersection(entry.sound, suspects,
                                  std::inserter(sound, sound.begin()));
    UpstreamCrash merged = this->Merged(entry, sound);
    if (entry.stored && *entry.stored == merged) continue;
    if (!entry.stored && merged.runs.empty()) continue;
    const bool has_begun =
        std::ranges::any_of(merged.runs, &LostRun::has_begun);
    const bool adds_begun =
        std::ranges::any_of(entry.own.runs, &LostRun::has_begun);
    // Runs that had not begun are no evidence beside one that had.
    if (sound.empty() && has_begun && !adds_begun) continue;
    if (!has_begun && now - entry.known_at < this->options.report_delay) {
      continue;
    }
    out.push_back(std::move(merged));
  }
  return out;
}

std::vector<CrashEvidence::MergedCrash> CrashEvidence::MergedCrashes() const {
  std::vector<MergedCrash> out;
  for (const auto& [key, entry] : this->crashes) {
    MergedCrash& merged = out.emplace_back();
    merged.key = key;
    merged.known_at = entry.known_at;
    merged.crash = this->Merged(entry, entry.sound);
    for (const LostRun* run : BlamedRuns(merged.crash)) {
      merged.parts.insert(run->parts.begin(), run->parts.end());
    }
  }
  return out;
}

CrashEvidence::Entry& CrashEvidence::EntryOf(
    TimePoint now, const UpstreamIncarnation& upstream) {
  const auto [it, is_new] = this->crashes.try_emplace(CrashKey(upstream));
  if (is_new) {
    it->second.own.upstream = upstream;
    it->second.known_at = now;
    it->second.mark = ++this->marks;
  }
  return it->second;
}

void CrashEvidence::DropOldest() {
  if (this->crashes.size() <= this->options.max_crashes) return;
  const auto oldest = std::ranges::min_element(
      this->crashes, {}, [](const auto& item) { return item.second.mark; });
  if (oldest->second.stored) this->obsolete.insert(oldest->first);
  this->crashes.erase(oldest);
}

UpstreamCrash CrashEvidence::Merged(const Entry& entry,
                                    const std::set<uint64_t>& sound) const {
  UpstreamCrash merged = entry.own;
  merged.runs.clear();
  const auto add = [&](const LostRun& run) {
    const bool is_known = std::ranges::any_of(
        merged.runs,
        [&](const LostRun& known) { return known.request == run.request; });
    if (is_known || merged.runs.size() >= this->options.max_runs) return;
    LostRun kept = run;
    std::erase_if(kept.parts,
                  [&](uint64_t part) { return sound.contains(part); });
    merged.runs.push_back(std::move(kept));
  };
  if (entry.stored) std::ranges::for_each(entry.stored->runs, add);
  std::ranges::for_each(entry.own.runs, add);
  std::erase_if(merged.runs,
                [](const LostRun& run) { return run.parts.empty(); });
  return merged;
}

}  // namespace fuchsiadrum::serving
