#pragma once

#include <cstdint>
#include <optional>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/replica.h"

namespace fuchsiadrum::log {

/// Options of the schedule.
struct SnapshotScheduleOptions {
  /// How long the log keeps records.
  Duration retention = Duration(3'600'000'000);
  /// Each daemon waits this long for each daemon before it in the order of
  /// writers, so that usually one writes.
  Duration rank_delay = Duration(2'000'000);
  /// Time for a snapshot to be read back before this daemon writes another.
  Duration rewrite_after = Duration(10'000'000);
};

/// Decides when this daemon writes a snapshot: when a quarter of the retention
/// time has passed since the last one, or at once when the log has records but
/// no snapshot that a starting daemon could use.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(SnapshotScheduleOptions options)
      : options(options) {}

  /// True if a snapshot is to be written now. Call it while the replica is
  /// ready and reads the log itself; it counts as written then.
  bool IsDue(TimePoint now, const Replica& replica, const PeerView& peers);

 private:
  Duration Rank(const PeerView& peers, uint64_t salt) const;

  SnapshotScheduleOptions options;
  /// Base of the newest snapshot when it was last seen to change.
  std::optional<uint64_t> seen_base;
  std::optional<TimePoint> changed_at;
  /// Since when the log is without a usable snapshot.
  std::optional<TimePoint> missing_since;
  std::optional<TimePoint> written_at;
};

}  // namespace fuchsiadrum::log
