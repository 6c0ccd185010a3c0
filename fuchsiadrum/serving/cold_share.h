#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of ColdShare.
struct ColdShareOptions {
  /// Name of this VM among the VMs of the fleet.
  std::string vm;
  /// Part of the bound on a cold upstream's requests that the shares of all VMs
  /// take. Two groups of VMs that know entirely different fleets then still
  /// stay below the bound together.
  double bound_fraction = 0.5;
  /// A VM's name counts as known to the fleet this long after its first
  /// heartbeat: the others read the list of VMs every 20 s.
  Duration listing_time = std::chrono::seconds(25);
  /// Number of times that the fleet must have been read. The first read, at the
  /// start, may miss VMs that start at the same time; the next one comes 3 s
  /// later.
  uint64_t min_reads = 2;
};

/// What this VM knows of the fleet.
struct FleetView {
  /// Names of all VMs that have ever written a heartbeat.
  std::set<std::string> vms;
  /// How often they were read by this process.
  uint64_t reads = 0;
  /// True if this VM had written heartbeats before this process started.
  bool was_listed = false;
  /// When this process has written its first heartbeat; empty: not yet.
  std::optional<TimePoint> first_heartbeat_at;
};

/// The part of each cold upstream's requests that this VM may always send,
/// without a message to others. The VMs that rank highest for the upstream in a
/// rendezvous hash over the fleet have one request each for a period; in a
/// fleet with fewer VMs than requests, all VMs have the same number.
class ColdShare {
 public:
  explicit ColdShare(ColdShareOptions opts) : options(std::move(opts)) {}

  /// Takes over a newer view of the fleet.
  void SetFleet(const FleetView& view);
  /// Number of requests in each period that this VM may send to the upstream,
  /// if all VMs together may send `bound`; 0 while the fleet is not known.
  int RequestsPerPeriod(TimePoint now, const std::string& upstream,
                        double bound) const;

 private:
  /// True if this VM's view of the fleet, and the others' view of this VM, are
  /// complete.
  bool IsFleetKnown(TimePoint now) const;
  /// Number of VMs that rank above this one for the upstream.
  size_t RankOf(const std::string& upstream) const;

  ColdShareOptions options;
  FleetView fleet;
  /// Cache of this VM's rank by upstream, until the fleet changes: a rank
  /// takes a hash for each VM of the fleet.
  mutable std::map<std::string, size_t> ranks;
};

}  // namespace fuchsiadrum::serving
