#include "fuchsiadrum/budget/reclaim.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

namespace fuchsiadrum::budget {
namespace {

/// Difference of the two clocks above which one of them was set or reset.
constexpr Duration kClockTolerance = std::chrono::milliseconds(100);
/// Margin for a span that only the time of day measures.
constexpr Duration kDayMargin = std::chrono::milliseconds(400);
/// Gateways write every half second: other VMs' spans are longer by the age of
/// the record before and the wait for the one after.
constexpr Duration kSignSlack = std::chrono::milliseconds(1100);
/// Other VMs whose clocks must have measured the span.
constexpr int kLeastPeers = 3;

struct PeerSpan {
  std::optional<Duration> before;
  std::optional<Duration> after;
};

}  // namespace

ReclaimVerdict MayReclaim(const VmClocks& last_write, const VmClocks& start,
                          Duration limit) {
  const Duration by_boot = start.since_boot - last_write.since_boot;
  const Duration by_day = start.time_of_day - last_write.time_of_day;
  if (by_day < Duration::zero()) return ReclaimVerdict::kNo;
  if (std::chrono::abs(by_boot - by_day) <= kClockTolerance) {
    return by_boot + kClockTolerance < limit ? ReclaimVerdict::kYes
                                             : ReclaimVerdict::kNo;
  }
  return by_day + kDayMargin < limit ? ReclaimVerdict::kAskPeers
                                     : ReclaimVerdict::kNo;
}

double ReleasedPart(const ReleaseOptions& options, Duration silence) {
  const auto beyond =
      static_cast<double>((silence - options.cut_off_after).count());
  return std::clamp(beyond / static_cast<double>(options.release_time.count()),
                    0.0, 1.0);
}

Duration LongestSilence(ReclaimVerdict verdict, const VmClocks& last_write,
                        const VmClocks& start) {
  if (verdict == ReclaimVerdict::kYes) {
    return start.since_boot - last_write.since_boot + kClockTolerance;
  }
  return start.time_of_day - last_write.time_of_day + kSignSlack;
}

bool PeersConfirm(const ReclaimSpan& span, std::span<const FleetSign> signs) {
  std::map<std::string, PeerSpan> peers;
  for (const FleetSign& sign : signs) {
    if (sign.vm == span.vm) continue;
    PeerSpan& peer = peers[sign.vm];
    if (sign.offset < span.last.offset) peer.before = sign.time_of_day;
    if (sign.offset > span.first.offset && !peer.after) {
      peer.after = sign.time_of_day;
    }
  }

  const Duration own = span.first.time_of_day - span.last.time_of_day;
  int agree = 0;
  int measured = 0;
  for (const auto& [vm, peer] : peers) {
    if (!peer.before || !peer.after) continue;
    ++measured;
    if (*peer.after - *peer.before <= own + kSignSlack) ++agree;
  }
  return measured >= kLeastPeers && agree * 3 > measured * 2;
}

}  // namespace fuchsiadrum::budget
