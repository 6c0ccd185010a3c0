#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/upstream_notices.h"

namespace fuchsiadrum::serving {

/// Options of the directory.
struct UpstreamDirectoryOptions {
  /// An upstream whose entry went is kept as a last resort for this long; it
  /// must be below the time within which a gone upstream gets no new request.
  Duration keep_missing = std::chrono::milliseconds(1200);
  /// After the store has come back, entries that lapsed meanwhile return within
  /// two seconds; until then a missing one is kept as well.
  Duration return_time = std::chrono::milliseconds(2200);
  UpstreamOptions upstream;
  UpstreamNoticeOptions notices;
};

/// Whether an upstream may get a request.
enum class UpstreamUse {
  kUsable,
  kLastResort,  // it fails or its entry is missing: only without usable ones
  kNever,       // it leaves, is gone, or has asked for a pause
};

/// How long a missing upstream may be kept if a gone one must get no request
/// after `drain_time`: the entry's deletion is read some 0.4 s late, and a
/// request takes a moment to be sent.
Duration KeepMissingTime(Duration drain_time);

/// All upstreams, and which of them may get requests: the one place where their
/// entries, their own notices and this VM's outcomes come together.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(const UpstreamDirectoryOptions& opts)
      : options(opts), notices(opts.notices) {}

  /// An entry was written; true if it says anything new besides that the
  /// upstream lives.
  bool Put(const UpstreamEntry& entry);
  /// An entry was deleted, or its value names no upstream.
  void Remove(TimePoint now, const std::string& id);
  /// Another upstream answers at the address: this one is gone.
  void Forget(const std::string& id);
  /// The store could not be reached until now.
  void OnStoreBack(TimePoint now) { this->store_back_at = now; }
  /// An answer of the upstream announced that it leaves; true if that is news.
  bool OnLeaving(TimePoint now, FleetUpstream& upstream);
  /// An answer of the upstream asked for no requests for so long.
  void OnPause(TimePoint now, const FleetUpstream& upstream, Duration pause);
  /// Drops upstreams that are missing for too long.
  void OnTick(TimePoint now);

  UpstreamUse UseOf(TimePoint now, const FleetUpstream& upstream) const;
  /// Upstreams of the service that may get a new request, without the ids in
  /// `excluded`. Failing ones are among them if they are more than half of the
  /// service, which then has another cause than the upstreams; failing and
  /// missing ones if there is no other.
  std::vector<FleetUpstreamPtr> Candidates(
      TimePoint now, std::string_view service,
      std::span<const std::string> excluded = {}) const;
  /// When the first of the service's pausing upstreams may get requests again;
  /// nullopt: none is pausing.
  std::optional<TimePoint> FirstPauseEnd(TimePoint now,
                                         std::string_view service) const;
  size_t Size() const { return this->upstreams.size(); }

 private:
  bool IsKept(TimePoint now, const FleetUpstream& upstream) const;
  static UpstreamLife LifeOf(const UpstreamEntry& entry);

  UpstreamDirectoryOptions options;
  UpstreamNotices notices;
  std::map<std::string, FleetUpstreamPtr> upstreams;
  TimePoint store_back_at;
};

}  // namespace fuchsiadrum::serving
