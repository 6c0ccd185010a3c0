#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/serving/fleet_upstream.h"

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
};

/// How long a missing upstream may be kept if a gone one must get no request
/// after `drain_time`: the entry's deletion is read some 0.4 s late, and a
/// request takes a moment to be sent.
Duration KeepMissingTime(Duration drain_time);

/// All upstreams that may get requests, by service.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(const UpstreamDirectoryOptions& opts)
      : options(opts) {}

  /// An entry was written; true if it says anything new besides that the
  /// upstream lives.
  bool Put(const UpstreamEntry& entry);
  /// An entry was deleted, or its value names no upstream.
  void Remove(TimePoint now, const std::string& id);
  /// Another upstream answers at the address: this one is gone.
  void Forget(const std::string& id);
  /// The store could not be reached until now.
  void OnStoreBack(TimePoint now) { this->store_back_at = now; }
  /// Drops upstreams that are missing for too long.
  void OnTick(TimePoint now);

  /// Upstreams of the service that may get a new request. Those whose entry is
  /// missing come into the list only if there is no other.
  std::vector<FleetUpstreamPtr> Candidates(TimePoint now,
                                           std::string_view service) const;
  size_t Size() const { return this->upstreams.size(); }

 private:
  bool IsKept(TimePoint now, const FleetUpstream& upstream) const;

  UpstreamDirectoryOptions options;
  std::map<std::string, FleetUpstreamPtr> upstreams;
  TimePoint store_back_at;
};

}  // namespace fuchsiadrum::serving
