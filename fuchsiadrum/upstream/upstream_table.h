#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/upstream/upstream_state.h"
#include "schema/catalogue.pb.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::upstream {

/// Options of the table.
struct UpstreamTableOptions {
  /// Age of a load report's content when it arrives. Reports carry no time of
  /// their own.
  Duration report_lag = std::chrono::seconds(2);
  /// Polls must succeed for this long before an unreachable upstream counts as
  /// reachable again. The first reports may describe a time before it began to
  /// leave; a heartbeat of each peer arrives within this time.
  Duration reconnect_hold = std::chrono::milliseconds(500);
  /// An upstream's "not leaving" is believed only this long after it said that
  /// it leaves: reports that were made before are still on the way.
  Duration own_answer_hold = std::chrono::seconds(6);
  /// A peer's hint that is not repeated is forgotten.
  Duration hint_lifetime = std::chrono::seconds(10);
  /// Hints that passed through more daemons than this are ignored, so that a
  /// withdrawn indication cannot circulate for ever.
  uint32_t max_hint_hops = 4;
};

/// Upstreams that may be chosen for one model or service.
struct CandidateGroup {
  /// All of them, in no particular but deterministic order.
  std::vector<UpstreamIndex> all;
  /// The same by zone; the index is a ZoneIndex.
  std::vector<std::vector<UpstreamIndex>> by_zone;
};

/// What this daemon knows of each upstream. Routing reads it; the catalogue,
/// reports, answers, the VM list and peers feed it.
class UpstreamTable {
 public:
  explicit UpstreamTable(UpstreamTableOptions options = {});

  /// Adds an upstream or takes over a changed catalogue entry.
  UpstreamIndex Put(TimePoint now, const std::string& name,
                    const pb::Upstream& entry);
  /// Removes an upstream whose catalogue entry is gone. Requests in flight end
  /// normally; their feedback is ignored.
  void Remove(std::string_view name);

  /// A poll was answered or failed. False if the upstream is unknown.
  bool OnReport(TimePoint now, std::string_view name, const LoadReport& report);
  /// A source says whether the upstream leaves. False if it is unknown.
  bool SetLeaving(TimePoint now, std::string_view name, LeavingSource source,
                  bool leaving);
  /// Another daemon's heartbeat says that the upstream leaves.
  void OnHint(TimePoint now, const pb::UpstreamHint& hint);
  /// Forgets hints that were not repeated.
  void OnTick(TimePoint now);
  /// What this daemon's heartbeats tell of leaving upstreams.
  std::vector<pb::UpstreamHint> Hints() const;

  /// Own requests in flight; called by the router.
  void AddInFlight(TimePoint now, UpstreamIndex index);
  void RemoveInFlight(TimePoint now, UpstreamIndex index);
  /// Set by the ejector and the limiter; called by the router.
  void SetEjected(UpstreamIndex index, bool ejected);
  void SetLearnedLimit(UpstreamIndex index, int limit);

  /// Slot of a present upstream; nullopt: unknown.
  std::optional<UpstreamIndex> Find(std::string_view name) const;
  /// Any slot below Slots().
  const UpstreamState& At(UpstreamIndex index) const {
    return this->states[index];
  }
  size_t Slots() const { return this->states.size(); }
  /// Present upstreams.
  size_t Size() const { return this->by_name.size(); }
  /// Candidates for a model that is observed on an upstream; nullptr: none.
  const CandidateGroup* ForModel(std::string_view model) const;
  /// Candidates for a plain service; nullptr: none.
  const CandidateGroup* ForService(std::string_view service) const;
  /// Number of a zone; nullopt: no upstream is or was there.
  std::optional<ZoneIndex> FindZone(std::string_view zone) const;
  const std::string& ZoneName(ZoneIndex zone) const {
    return this->zones[zone];
  }
  /// Why the last call returned false.
  const Reason& LastReason() const { return this->reason; }
  /// Approximate memory of the table, for the bench.
  size_t MemoryBytes() const;

 private:
  /// Own requests in flight at the times of the last seconds, so that the
  /// number at the moment of a report can be looked up.
  struct FlightHistory {
    static constexpr size_t kSlots = 16;
    std::array<int64_t, kSlots> until_us{};
    std::array<int, kSlots> in_flight{};
    size_t next = 0;
  };
  /// Facts that are not needed for a choice.
  struct Extra {
    TimePoint own_answer_at;
    /// First poll that succeeded after one that failed.
    std::optional<TimePoint> answers_since;
    TimePoint hint_at;
    uint32_t hint_hops = 0;
    FlightHistory history;
  };
  using GroupMap = std::map<std::string, CandidateGroup, std::less<>>;

  ZoneIndex InternZone(const std::string& zone);
  UpstreamIndex TakeSlot(const std::string& name);
  void FollowReachability(TimePoint now, UpstreamIndex index, bool answered);
  void SetSourceBit(UpstreamIndex index, LeavingSource source, bool leaving);
  void NoteInFlight(TimePoint now, UpstreamIndex index);
  int InFlightAt(UpstreamIndex index, TimePoint at) const;
  void AddToGroups(UpstreamIndex index);
  void RemoveFromGroups(UpstreamIndex index);
  void AddToGroup(CandidateGroup& group, UpstreamIndex index);
  static void RemoveFromGroup(GroupMap& groups, const std::string& key,
                              ZoneIndex zone, UpstreamIndex index);
  bool Unknown(std::string_view step, std::string_view name);

  UpstreamTableOptions options;
  std::vector<UpstreamState> states;
  std::vector<Extra> extras;
  std::vector<UpstreamIndex> free_slots;
  std::vector<std::string> zones;
  std::map<std::string, UpstreamIndex, std::less<>> by_name;
  GroupMap model_groups;
  GroupMap service_groups;
  Reason reason;
};

}  // namespace fuchsiadrum::upstream
