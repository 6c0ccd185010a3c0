#pragma once

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Load of a VM, each as a multiple of the load from which callers should go to
/// other VMs.
struct RotationLoad {
  double link = 0;
  double processor = 0;
};

/// Options of RotationControl.
struct RotationOptions {
  /// The load must be above 1 for this long, and for a random part of
  /// `leave_spread`, before the VM leaves the rotation, so that neighbours with
  /// the same load do not leave together.
  Duration leave_after = std::chrono::milliseconds(200);
  Duration leave_spread = std::chrono::milliseconds(400);
  /// How long the VM is not ready. The balancer checks once a second, and takes
  /// a VM out after two checks.
  Duration away_time = std::chrono::milliseconds(2500);
  /// Time without readiness before answers announce the end of connections. A
  /// connection that ends before the second check may come back.
  Duration announce_after = std::chrono::milliseconds(500);
  /// Time without readiness that accrues in each second, and the most that
  /// accrues: two periods at once, since callers that have moved may come back
  /// from another loaded VM, and an eighth of any minute, above which the VM
  /// counts as faulty.
  double away_fraction = 0.08;
  Duration max_allowance = std::chrono::milliseconds(5000);
  /// Load that should remain. A queue that has formed must drain, too.
  double target_load = 0.5;
};

/// Decides how a VM that is short of link or processor moves callers to other
/// VMs: it is not ready for a short time, in which answers announce the end of
/// the connection to those callers that should move. At any other time a closed
/// connection may come back to the same VM, because the balancer chooses by a
/// hash.
class RotationControl {
 public:
  RotationControl(const RotationOptions& opts, uint64_t seed)
      : options(opts), rng(seed), allowance(opts.max_allowance) {}

  /// To be called every few milliseconds. Returns true if IsAway has changed.
  bool OnTick(TimePoint now, const RotationLoad& load);
  /// True if the readiness check should fail.
  bool IsAway() const { return this->is_away; }
  /// The part of the load that should go to other VMs now, from 0 to 1.
  double Excess() const { return this->excess; }
  /// Decides whether an answer to an organisation announces the end of its
  /// connection. `share`: its part of the load; `concentration`: the sum of the
  /// squares of the shares of all organisations. Over all answers the announced
  /// part of the load is Excess, most of it of the largest organisations.
  bool AnnouncesClose(double share, double concentration);

 private:
  RotationOptions options;
  Rng rng;
  bool is_away = false;
  double excess = 0;
  /// Since when the load has been above 1, and how long it may last before the
  /// VM leaves; zero: it is not above.
  TimePoint overloaded_since;
  Duration max_overload = Duration::zero();
  /// The highest load since the VM is away.
  double highest_load = 0;
  TimePoint away_since;
  /// Time for which the VM may be away, at `accrued_at`.
  Duration allowance;
  TimePoint accrued_at;
};

}  // namespace fuchsiadrum::serving
