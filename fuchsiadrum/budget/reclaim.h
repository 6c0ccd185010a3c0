#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// A moment on the clocks of one VM.
struct VmClocks {
  /// Since boot, time in which the VM was suspended included.
  Duration since_boot = Duration::zero();
  /// Time of day, since the Unix epoch.
  Duration time_of_day = Duration::zero();
};

/// Whether what lies above the ceilings of a dead process may be given back.
enum class ReclaimVerdict {
  kYes,
  kNo,
  /// The VM was booted in between: the time of day of other VMs has to confirm
  /// its own.
  kAskPeers,
};

/// Judges by the clocks of the VM itself.
///
/// A process goes beyond its ceilings only after `cut_off_after` without an
/// answered write. `last_write` was taken before its last recorded write,
/// `start` when its successor started, at which time it was dead. Less time
/// between the two means that it never counted as cut off. Without a boot the
/// two clocks agree; a step of the time of day moves only the one.
ReclaimVerdict MayReclaim(const VmClocks& last_write, const VmClocks& start,
                          Duration cut_off_after);

/// A record that a gateway wrote, with its VM's time of day.
struct FleetSign {
  std::string vm;
  uint64_t offset = 0;
  Duration time_of_day = Duration::zero();
};

/// The former process's last record and its successor's first one.
struct ReclaimSpan {
  std::string vm;
  FleetSign last;
  FleetSign first;
};

/// Compares the span on the clocks of the other VMs, which wrote before and
/// after it: true if enough of them measured about the same time. A step of the
/// time of day on the own VM would show as a difference.
bool PeersConfirm(const ReclaimSpan& span, std::span<const FleetSign> signs);

}  // namespace fuchsiadrum::budget
