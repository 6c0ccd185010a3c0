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

/// How a holder whose writes are not answered goes beyond its ceilings.
struct ReleaseOptions {
  /// Time without an answered write after which it begins to. Restarts take 0.6
  /// to 1.3 s; a successor that started sooner gets back all above the ceiling.
  Duration cut_off_after = std::chrono::milliseconds(2000);
  /// Time over which it takes the whole grant into use. A grant covers three
  /// times as much demand, so that no request waits for it; a VM that was
  /// without power for a few seconds strands only part of its grant.
  Duration release_time = std::chrono::seconds(4);
};

/// Part of what lies between ceiling and grant that may be in use after this
/// time without an answered write, 0 to 1.
double ReleasedPart(const ReleaseOptions& options, Duration silence);

/// Total that may be in use under a grant of `total` after this time without an
/// answered write. Holder and successor must agree on it.
Tokens ReleasedTotal(const ReleaseOptions& options, Tokens ceiling,
                     Tokens total, Duration silence);

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
/// `last_write` was taken before the process's last recorded write, `start`
/// when its successor started, at which time it was dead. Less time than
/// `limit` between the two means that it was not without an answer for that
/// long. Without a boot the two clocks agree; a step of the time of day moves
/// only the one.
ReclaimVerdict MayReclaim(const VmClocks& last_write, const VmClocks& start,
                          Duration limit);

/// Longest time for which the process can have been without an answered write,
/// if MayReclaim says kYes.
Duration SilenceByBootClock(const VmClocks& last_write, const VmClocks& start);

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
/// time of day on the own VM would show as a difference. `sign_interval`: how
/// often gateways write.
bool PeersConfirm(const ReclaimSpan& span, std::span<const FleetSign> signs,
                  Duration sign_interval);

/// Longest time for which the process can have been without an answered write,
/// if PeersConfirm: the median of the other VMs' spans. Each of them contains
/// the process's silence, so that the median does unless half of their clocks
/// were set back meanwhile.
Duration SilenceByPeers(const ReclaimSpan& span,
                        std::span<const FleetSign> signs);

}  // namespace fuchsiadrum::budget
