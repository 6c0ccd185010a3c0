#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "fuchsiadrum/budget/fleet_account.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// The two clocks of a VM, read at the same moment.
struct VmClocks {
  /// Time since boot, including time during which the VM was suspended.
  Duration since_boot = Duration::zero();
  /// Time of day, since the Unix epoch.
  Duration time_of_day = Duration::zero();
};

/// How a holder that the store does not answer goes beyond its ceiling: after
/// `release_delay` it takes the part of the grant above the ceiling into use,
/// in proportion to time, over `release_duration`.
struct ReleaseOptions {
  /// Time without an answered write after which the release begins. Restarts
  /// take 0.6 to 1.3 s. A successor that starts before this delay has passed
  /// can return all tokens above the ceiling to the account.
  Duration release_delay = std::chrono::milliseconds(2000);
  /// Time over which the whole grant is taken into use. A full pool covers the
  /// demand of three times as long (GrantHolderOptions::horizon), so that no
  /// request has to wait for the release. After a power cut of a few seconds
  /// only part of the grant is lost.
  Duration release_duration = std::chrono::seconds(4);
};

/// Fraction, 0 to 1, of the tokens between ceiling and grant that may be in use
/// after the time `silence` without an answered write.
double ReleasedFraction(const ReleaseOptions& options, Duration silence);

/// Total that may be in use under a grant of `total` after the time `silence`
/// without an answered write. The holder and the process that reclaims its
/// grant must compute the same value.
Tokens ReleasedTotal(const ReleaseOptions& options, Tokens ceiling,
                     Tokens total, Duration silence);

/// Returns the record that replaces `stored`, the grant of a holder that has
/// ended. Its total is the most that the holder can have used, and its ceiling
/// equals the total, so that a record that was settled once stays as it is,
/// whatever the other arguments are. `heartbeat_ceiling`: ceiling in the last
/// heartbeat; `silence`: longest time without an answered write. Neither counts
/// under a record whose ceiling is final.
RecordedGrant SettledGrant(const ReleaseOptions& options,
                           const RecordedGrant& stored,
                           Tokens heartbeat_ceiling, Duration silence);

/// Whether the tokens that a dead process cannot have released above the
/// ceilings of its grants may be returned to the accounts.
enum class ReclaimDecision {
  kYes,
  kNo,
  /// The VM's two clocks disagree, as after a reboot. The time of day of other
  /// VMs has to confirm that of this VM.
  kAskPeers,
};

/// Decides by the clocks of the VM itself.
///
/// `last_write` was read before the process's last recorded write, `start` when
/// its successor started, at which time the process was dead. If less time than
/// `limit` lies between the two, the process was without an answered write for
/// less than `limit`. `limit` is the time after which the whole grant may be in
/// use, so that nothing can be reclaimed. Unless the VM was rebooted, both
/// clocks measure the same time. A step of the time of day changes only one of
/// them.
ReclaimDecision MayReclaim(const VmClocks& last_write, const VmClocks& start,
                           Duration limit);

/// Upper bound of the time for which the process was without an answered write.
/// Valid if MayReclaim returned kYes.
Duration SilenceByBootClock(const VmClocks& last_write, const VmClocks& start);

/// A heartbeat record of a gateway: its position in the partition and its VM's
/// time of day at the write.
struct FleetHeartbeat {
  std::string vm;
  uint64_t offset = 0;
  Duration time_of_day = Duration::zero();
};

/// The last heartbeat of a dead process and the first one of its successor on
/// the same VM.
struct ReclaimSpan {
  std::string vm;
  FleetHeartbeat last;
  FleetHeartbeat first;
};

/// Compares the duration of `span` by the time of day of the restarted VM with
/// the durations that other VMs measured, which wrote heartbeats before and
/// after it. Returns true if enough of them measured about the same time. A
/// step of the time of day on the restarted VM would show as a difference.
/// `heartbeat_interval` is the interval at which gateways write heartbeats.
bool PeersConfirm(const ReclaimSpan& span,
                  std::span<const FleetHeartbeat> heartbeats,
                  Duration heartbeat_interval);

/// Upper bound of the time for which the process was without an answered write.
/// Valid if PeersConfirm returned true. It is the median of the durations that
/// the other VMs measured, or the one by this VM's time of day if that is
/// longer. Each of the others contains the time since the last heartbeat was
/// written, so the median covers it unless half of the clocks were set back in
/// the meantime.
Duration SilenceByPeers(const ReclaimSpan& span,
                        std::span<const FleetHeartbeat> heartbeats);

}  // namespace fuchsiadrum::budget
