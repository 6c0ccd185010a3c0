#include "fuchsiadrum/budget/reclaim.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::budget {
namespace {

/// A difference between the two clocks of a VM above this means that the time
/// of day was set or that the VM was rebooted.
constexpr Duration kClockTolerance = std::chrono::milliseconds(100);
/// Safety margin for a duration that only the time of day measures.
constexpr Duration kTimeOfDayMargin = std::chrono::milliseconds(400);
/// A duration that another VM measures runs from its heartbeat before the span
/// to its heartbeat after it. So it may be longer than the span by up to two
/// heartbeat intervals and the time that the two writes take.
constexpr int kHeartbeatsAround = 2;
constexpr Duration kWriteTime = std::chrono::milliseconds(100);
/// Minimum number of other VMs that must have measured the span.
constexpr size_t kMinPeers = 3;

struct PeerTimes {
  std::optional<Duration> before;
  std::optional<Duration> after;
};

/// Returns the durations that the other VMs measured, each between its last
/// heartbeat before the span and its first one after it. VMs that lack one of
/// the two are left out.
std::vector<Duration> PeerDurations(
    const ReclaimSpan& span, std::span<const FleetHeartbeat> heartbeats) {
  std::map<std::string, PeerTimes> peers;
  for (const FleetHeartbeat& heartbeat : heartbeats) {
    if (heartbeat.vm == span.vm) continue;
    PeerTimes& peer = peers[heartbeat.vm];
    if (heartbeat.offset < span.last.offset) {
      peer.before = heartbeat.time_of_day;
    }
    if (heartbeat.offset > span.first.offset && !peer.after) {
      peer.after = heartbeat.time_of_day;
    }
  }
  std::vector<Duration> durations;
  for (const auto& [vm, peer] : peers) {
    if (peer.before && peer.after) {
      durations.push_back(*peer.after - *peer.before);
    }
  }
  return durations;
}

}  // namespace

ReclaimDecision MayReclaim(const VmClocks& last_write, const VmClocks& start,
                           Duration limit) {
  const Duration by_boot = start.since_boot - last_write.since_boot;
  const Duration by_time_of_day = start.time_of_day - last_write.time_of_day;
  if (by_time_of_day < Duration::zero()) return ReclaimDecision::kNo;
  if (std::chrono::abs(by_boot - by_time_of_day) <= kClockTolerance) {
    return by_boot + kClockTolerance < limit ? ReclaimDecision::kYes
                                             : ReclaimDecision::kNo;
  }
  return by_time_of_day + kTimeOfDayMargin < limit ? ReclaimDecision::kAskPeers
                                                   : ReclaimDecision::kNo;
}

double ReleasedFraction(const ReleaseOptions& options, Duration silence) {
  const auto releasing_for =
      static_cast<double>((silence - options.release_delay).count());
  return std::clamp(
      releasing_for / static_cast<double>(options.release_duration.count()),
      0.0, 1.0);
}

Tokens ReleasedTotal(const ReleaseOptions& options, Tokens ceiling,
                     Tokens total, Duration silence) {
  if (total <= ceiling) return total;
  const auto above_ceiling = static_cast<double>((total - ceiling).count);
  const double fraction = ReleasedFraction(options, silence);
  return ceiling + Tokens(SaturatedWhole(fraction * above_ceiling));
}

RecordedGrant SettledGrant(const ReleaseOptions& options,
                           const RecordedGrant& stored,
                           Tokens heartbeat_ceiling, Duration silence) {
  const Tokens released =
      stored.is_ceiling_final
          ? stored.ceiling
          : ReleasedTotal(options, std::max(stored.ceiling, heartbeat_ceiling),
                          stored.granted, silence);
  // Rounded up, so that tokens that may have been used stay counted.
  const Tokens bound = released + Tokens(1);
  RecordedGrant settled = stored;
  settled.granted = std::min(bound, stored.granted);
  settled.ceiling = settled.granted;
  settled.is_ceiling_final = false;
  settled.demand = Tokens(0);
  return settled;
}

Duration SilenceByBootClock(const VmClocks& last_write, const VmClocks& start) {
  return start.since_boot - last_write.since_boot + kClockTolerance;
}

bool PeersConfirm(const ReclaimSpan& span,
                  std::span<const FleetHeartbeat> heartbeats,
                  Duration heartbeat_interval) {
  const Duration slack = kHeartbeatsAround * heartbeat_interval + kWriteTime;
  const Duration own = span.first.time_of_day - span.last.time_of_day;
  const std::vector<Duration> durations = PeerDurations(span, heartbeats);
  const auto agree = static_cast<size_t>(std::ranges::count_if(
      durations, [own, slack](Duration peer) { return peer <= own + slack; }));
  return durations.size() >= kMinPeers && agree * 3 > durations.size() * 2;
}

Duration SilenceByPeers(const ReclaimSpan& span,
                        std::span<const FleetHeartbeat> heartbeats) {
  std::vector<Duration> durations = PeerDurations(span, heartbeats);
  FD_ASSERT(!durations.empty(), "no other gateway measured the span");
  const auto median =
      durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
  std::ranges::nth_element(durations, median);
  // The store may have carried out the last heartbeat late, so that the others
  // measured less than the time since it was made.
  return std::max(*median, span.first.time_of_day - span.last.time_of_day);
}

}  // namespace fuchsiadrum::budget
