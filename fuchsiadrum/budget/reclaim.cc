#include "fuchsiadrum/budget/reclaim.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::budget {
namespace {

/// Difference of the two clocks above which one of them was set or reset.
constexpr Duration kClockTolerance = std::chrono::milliseconds(100);
/// Margin for a span that only the time of day measures.
constexpr Duration kDayMargin = std::chrono::milliseconds(400);
/// Other VMs' spans are longer by the age of the record before and the wait for
/// the one after, and by the time of both writes.
constexpr int kSignsAround = 2;
constexpr Duration kWriteTime = std::chrono::milliseconds(100);
/// Other VMs whose clocks must have measured the span.
constexpr size_t kLeastPeers = 3;

struct PeerSpan {
  std::optional<Duration> before;
  std::optional<Duration> after;
};

/// Time that each other VM measured between its last sign before the span and
/// its first one after it.
std::vector<Duration> PeerSpans(const ReclaimSpan& span,
                                std::span<const FleetSign> signs) {
  std::map<std::string, PeerSpan> peers;
  for (const FleetSign& sign : signs) {
    if (sign.vm == span.vm) continue;
    PeerSpan& peer = peers[sign.vm];
    if (sign.offset < span.last.offset) peer.before = sign.time_of_day;
    if (sign.offset > span.first.offset && !peer.after) {
      peer.after = sign.time_of_day;
    }
  }
  std::vector<Duration> spans;
  for (const auto& [vm, peer] : peers) {
    if (peer.before && peer.after) spans.push_back(*peer.after - *peer.before);
  }
  return spans;
}

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

Tokens ReleasedTotal(const ReleaseOptions& options, Tokens ceiling,
                     Tokens total, Duration silence) {
  if (total <= ceiling) return total;
  const auto beyond = static_cast<double>((total - ceiling).count);
  const double part = ReleasedPart(options, silence);
  return ceiling + Tokens(static_cast<int64_t>(part * beyond));
}

Duration SilenceByBootClock(const VmClocks& last_write, const VmClocks& start) {
  return start.since_boot - last_write.since_boot + kClockTolerance;
}

bool PeersConfirm(const ReclaimSpan& span, std::span<const FleetSign> signs,
                  Duration sign_interval) {
  const Duration slack = kSignsAround * sign_interval + kWriteTime;
  const Duration own = span.first.time_of_day - span.last.time_of_day;
  const std::vector<Duration> spans = PeerSpans(span, signs);
  const auto agree = static_cast<size_t>(std::ranges::count_if(
      spans, [own, slack](Duration peer) { return peer <= own + slack; }));
  return spans.size() >= kLeastPeers && agree * 3 > spans.size() * 2;
}

Duration SilenceByPeers(const ReclaimSpan& span,
                        std::span<const FleetSign> signs) {
  std::vector<Duration> spans = PeerSpans(span, signs);
  FD_ASSERT(!spans.empty(), "no other gateway measured the span");
  const auto middle =
      spans.begin() + static_cast<std::ptrdiff_t>(spans.size() / 2);
  std::ranges::nth_element(spans, middle);
  return *middle;
}

}  // namespace fuchsiadrum::budget
