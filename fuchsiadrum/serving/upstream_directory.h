#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/serving/cold_upstreams.h"
#include "fuchsiadrum/serving/entry_sequences.h"
#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/send_permit.h"
#include "fuchsiadrum/serving/upstream_limits.h"
#include "fuchsiadrum/serving/upstream_notices.h"
#include "fuchsiadrum/serving/zone_evacuations.h"

namespace fuchsiadrum::serving {

/// Options of UpstreamDirectory.
struct UpstreamDirectoryOptions {
  /// An upstream whose entry was deleted is kept as a last resort for this
  /// long. This must be less than the drain time, after which a stopped
  /// upstream must get no new request.
  Duration keep_missing = std::chrono::milliseconds(1200);
  /// Missing upstreams are also kept for this long after the store became
  /// reachable again: entries that expired during the outage reappear within
  /// two seconds.
  Duration reconnect_grace = std::chrono::milliseconds(2200);
  UpstreamOptions upstream;
  EntrySequencesOptions sequences;
  UpstreamNoticeOptions notices;
  UpstreamLimitsOptions limits;
  ZoneEvacuationsOptions evacuations;
  ColdUpstreamsOptions cold;
};

/// Whether an upstream may be sent a request.
enum class UpstreamEligibility {
  kUsable,
  kLastResort,  // ejected, or its entry is missing: only if none is usable
  kIneligible,  // it is shutting down, is gone, asked for a pause, its zone is
                // evacuated, or it has a limit or is cold and this VM has no
                // permit
};

/// Returns how long a missing upstream may be kept if a stopped one must get no
/// request after `drain_time`. The deletion of the entry is read about 0.4 s
/// late, and sending a request takes some time.
Duration KeepMissingTime(Duration drain_time);

/// Holds all upstreams and decides which of them may get requests, from their
/// entries in the store, their own notices and the outcomes of this VM's
/// requests.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(const UpstreamDirectoryOptions& opts)
      : options(opts),
        sequences(opts.sequences),
        notices(opts.notices),
        limits(opts.limits),
        evacuations(opts.evacuations),
        cold(opts.cold) {}

  /// Stores an entry that was written. Returns true if the upstream is new,
  /// was missing or begins to drain, and false if the entry only confirms that
  /// it is alive. An entry that is not newer than those known of the same
  /// incarnation is no sign of life: it tells at most that the upstream drains.
  bool Put(TimePoint now, const UpstreamEntry& entry);
  /// An entry was deleted. Drops a draining upstream and marks any other one as
  /// missing.
  void Remove(TimePoint now, const std::string& id);
  /// The value of an entry does not describe an upstream, so that it comes from
  /// another writer: the upstream is treated as if its entry were deleted until
  /// its own is written again.
  void OnUnusableEntry(TimePoint now, const std::string& id);
  /// Drops an upstream at once, because another upstream has answered at its
  /// address.
  void EraseMisdirected(const FleetUpstream& upstream);
  /// True if the upstream's id belongs to another incarnation by now.
  bool IsReplaced(const FleetUpstream& upstream) const;
  /// The store is reachable again after an outage.
  void OnStoreReconnected(TimePoint now) { this->store_reconnected_at = now; }
  /// The store was restored from an older copy, whose entries may be outdated.
  void OnStoreRestored(TimePoint now) {
    this->OnStoreReconnected(now);
    this->sequences.OnStoreRestored(now);
  }
  /// The next three functions ignore an upstream that has been replaced by
  /// another incarnation. An answer of the upstream announced that it is
  /// shutting down. Returns true if that was not known before.
  bool OnLeaving(TimePoint now, FleetUpstream& upstream);
  /// An answer of the upstream asked for no requests during `pause`.
  void OnPause(TimePoint now, const FleetUpstream& upstream, Duration pause);
  /// An answer of the upstream named this limit in requests per second of all
  /// VMs, or none, to a request that was sent at `sent_at`. Returns true if the
  /// known limit has changed.
  bool OnLimit(TimePoint now, const FleetUpstream& upstream,
               std::optional<double> limit, TimePoint sent_at);
  /// An answer of the upstream says for how long it will be cold; zero: it is
  /// not.
  void OnColdTime(TimePoint now, const FleetUpstream& upstream,
                  Duration cold_left);
  /// The upstream could not be reached or broke a connection off; it may have
  /// been started again since.
  void OnLost(TimePoint now, const UpstreamIncarnation& upstream);
  /// All upstreams of the zone get no request until LiftEvacuation. Returns
  /// true if that was not known.
  bool BeginEvacuation(TimePoint now, const std::string& zone) {
    return this->evacuations.Begin(now, zone);
  }
  /// Returns true if the zone was evacuated. Its upstreams may be cold.
  bool LiftEvacuation(TimePoint now, const std::string& zone);
  /// Drops expired notices and upstreams that have been missing for too long.
  void OnTick(TimePoint now);

  /// Whether the upstream may get a new request.
  UpstreamEligibility EligibilityOf(TimePoint now,
                                    const FleetUpstream& upstream) const;
  /// Takes what one request of this priority needs: a permit if the upstream
  /// has a limit, and one if it is cold. Returns nullopt if one is not to be
  /// had.
  std::optional<SendPermit> TakePermit(TimePoint now,
                                       const FleetUpstream& upstream,
                                       int priority);
  /// Puts back the permit of a request that was not sent.
  void ReturnPermit(TimePoint now, const FleetUpstream& upstream,
                    const SendPermit& permit);
  /// True if a request that was placed earlier may be sent now. `permit`: what
  /// TakePermit returned for it.
  bool MaySend(TimePoint now, const FleetUpstream& upstream,
               const SendPermit& permit) const;
  /// The request is sent.
  void OnSend(TimePoint now, const FleetUpstream& upstream,
              const SendPermit& permit);
  /// Another upstream has answered the request that was sent at `sent_at`.
  void OnMisdirected(const FleetUpstream& upstream, TimePoint sent_at);
  /// True if the upstream has a limit.
  bool IsLimited(const FleetUpstream& upstream) const;
  /// True if the upstream's zone is evacuated.
  bool IsEvacuated(const FleetUpstream& upstream) const {
    return this->evacuations.IsEvacuated(upstream.entry.availability_zone);
  }
  /// True if the upstream is cold or may be.
  bool IsCold(TimePoint now, const FleetUpstream& upstream) const {
    return this->cold.IsCold(now, upstream.entry);
  }
  /// Returns the upstreams of the service that may get a new request, without
  /// the ids in `excluded`. Ejected upstreams are included if fewer than half
  /// of the upstreams that have an entry would remain: if so many fail, the
  /// cause is not the upstreams. Missing ones are returned only if there is no
  /// other. Cold ones for which there is a permit are included only if fewer
  /// than half of the upstreams are warm. If all of them have limits, less
  /// urgent requests get only the permits that more urgent ones leave.
  /// Upstreams for which `accepts` returns false do not count as upstreams of
  /// the service; without it all do.
  std::vector<FleetUpstreamPtr> Candidates(
      TimePoint now, const std::string& service,
      std::span<const std::string> excluded = {}, int priority = 0,
      const std::function<bool(const UpstreamEntry&)>& accepts = {});
  /// Software versions that the entries of each service name; an entry that
  /// names none counts as version "".
  std::map<std::string, std::set<std::string>> VersionsByService() const;
  /// True if an upstream of the service that may get requests, now or later,
  /// has this software version.
  bool HasVersion(TimePoint now, std::string_view service,
                  std::string_view version) const;
  /// Returns when the first pause among the service's upstreams ends; nullopt
  /// if no upstream has asked for a pause.
  std::optional<TimePoint> FirstPauseEnd(TimePoint now,
                                         std::string_view service) const;
  /// Returns when the service's upstreams are expected back if the zones of all
  /// of them are evacuated; nullopt if one is elsewhere, or there is none.
  std::optional<TimePoint> EvacuationEnd(TimePoint now,
                                         std::string_view service) const;
  /// Returns when the first of the service's upstreams that are cold may get a
  /// request of this VM; nullopt if none is cold.
  std::optional<TimePoint> FirstColdChance(TimePoint now,
                                           std::string_view service) const;
  /// Ids of the upstreams that are cold or may be.
  std::set<std::string> ColdIds(TimePoint now) const;
  const ZoneEvacuations& Evacuations() const { return this->evacuations; }
  ColdUpstreams& Cold() { return this->cold; }
  UpstreamLimits& Limits() { return this->limits; }
  const UpstreamLimits& Limits() const { return this->limits; }
  size_t Size() const { return this->upstreams.size(); }

 private:
  /// Returns true if the upstream is known and begins to drain.
  bool PutOutdated(const UpstreamEntry& entry);
  bool IsKept(TimePoint now, const FleetUpstream& upstream) const;
  /// EligibilityOf without regard to permits.
  UpstreamEligibility UnlimitedEligibilityOf(
      TimePoint now, const FleetUpstream& upstream) const;
  /// True if the upstream would be usable with a permit.
  bool IsHeldCold(TimePoint now, const FleetUpstream& upstream) const;
  static UpstreamIncarnation IncarnationOf(const UpstreamEntry& entry);

  UpstreamDirectoryOptions options;
  EntrySequences sequences;
  UpstreamNotices notices;
  UpstreamLimits limits;
  ZoneEvacuations evacuations;
  ColdUpstreams cold;
  std::map<std::string, FleetUpstreamPtr> upstreams;
  TimePoint store_reconnected_at;
};

}  // namespace fuchsiadrum::serving
