#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/upstream_crash.h"

namespace fuchsiadrum::serving {

/// Options of CrashEvidence.
struct CrashEvidenceOptions {
  /// Crashes that become known within this time of each other count as one:
  /// their upstreams have something else in common, a rack or a network.
  Duration common_cause = std::chrono::milliseconds(150);
  /// Time for which a crash is held against the parts of its runs.
  Duration retention = std::chrono::minutes(2);
  /// A crash whose lost runs had all not begun is written after this time: one
  /// that had begun, at another gateway, makes them needless.
  Duration report_delay = std::chrono::milliseconds(150);
  size_t max_crashes = 64;
  size_t max_runs = 16;
  size_t max_parts = 16;
};

/// Parts of prompts that were in the lost runs of several crashes.
struct Suspicion {
  /// Sorted. No lost run tells them apart.
  std::vector<uint64_t> parts;
  /// Crashes, those with a common cause counted as one.
  int64_t crashes = 0;
  /// Different requests among the lost runs.
  size_t requests = 0;
  /// Sorted.
  std::vector<uint64_t> organisations;
  /// Keys of the crashes, and when the first of them became known.
  std::vector<std::string> keys;
  TimePoint first_known;
};

/// The crashes of upstreams in the last minutes, as all gateways report them,
/// and which parts of prompts they have in common.
///
/// A crash is blamed on the runs whose answers had just begun, or if there were
/// none, on those that had not. It is no longer held against a part that a run
/// has proven sound since.
class CrashEvidence {
 public:
  explicit CrashEvidence(const CrashEvidenceOptions& opts) : options(opts) {}

  /// This gateway lost these runs to a crash.
  void AddOwn(TimePoint now, const UpstreamCrash& crash);
  /// A record of the store was read, or deleted.
  void OnRecord(TimePoint now, const UpstreamCrash& crash);
  void OnRecordDeleted(const std::string& key);
  /// A run has proven the parts sound. Returns true if that clears one of them.
  bool OnSound(const std::vector<uint64_t>& parts);
  /// The upstream answers a request that was sent at `mark`, so that it has not
  /// crashed before. Returns true if it counted as crashed.
  bool OnAlive(const UpstreamIncarnation& upstream, uint64_t mark);
  /// Forgets old crashes.
  void Expire(TimePoint now);

  /// Advances with each crash that becomes known: the crashes known at a mark
  /// are those that became known before it.
  uint64_t Mark() const { return this->marks; }
  /// Parts in the lost runs of at least `crashes` crashes and two requests.
  std::vector<Suspicion> Suspicions(int64_t crashes) const;

  /// Organisations of the runs with all of these parts on which a crash is
  /// blamed.
  std::set<uint64_t> OrganisationsOf(const std::vector<uint64_t>& parts) const;

  /// Parts in the lost runs, whatever this gateway knows to be sound: others
  /// may suspect them.
  std::set<uint64_t> AccusedParts() const;
  /// Crashes whose record lacks what this gateway knows. What clears parts is
  /// written only for the parts in `suspects`.
  std::vector<UpstreamCrash> Unwritten(
      TimePoint now, const std::set<uint64_t>& suspects) const;
  /// Keys of records of crashes that are over.
  const std::set<std::string>& Obsolete() const { return this->obsolete; }
  size_t Size() const { return this->crashes.size(); }

 private:
  struct Entry {
    UpstreamCrash own;
    std::optional<UpstreamCrash> stored;
    std::set<uint64_t> sound;
    TimePoint known_at;
    uint64_t mark = 0;
  };

  /// What is held against the parts of a crash's runs.
  struct MergedCrash {
    std::string key;
    TimePoint known_at;
    UpstreamCrash crash;
    /// Parts of the runs on which it is blamed.
    std::set<uint64_t> parts;
  };

  std::vector<MergedCrash> MergedCrashes() const;
  Entry& EntryOf(TimePoint now, const UpstreamIncarnation& upstream);
  void DropOldest();
  /// All runs of the crash that are known, without sound parts of `sound`.
  UpstreamCrash Merged(const Entry& entry,
                       const std::set<uint64_t>& sound) const;

  CrashEvidenceOptions options;
  std::map<std::string, Entry> crashes;
  std::set<std::string> obsolete;
  uint64_t marks = 0;
};

}  // namespace fuchsiadrum::serving
