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
  /// Load below which no more callers are asked to leave.
  double calm_below = 0.85;
  /// Load above which the VM leaves the rotation: callers that leave are
  /// replaced by as many new ones.
  double leave_above = 1.3;
  /// The load must last for this long, and for a random part of `leave_spread`,
  /// before the VM leaves the rotation, so that neighbours with the same load
  /// do not leave together.
  Duration leave_after = std::chrono::seconds(1);
  Duration leave_spread = std::chrono::seconds(1);
  /// How long the VM is not ready. The balancer checks once a second, and takes
  /// a VM out after two checks.
  Duration away_time = std::chrono::milliseconds(2500);
  /// Minimum time from one such period to the next: a tenth of the time at
  /// most, where an eighth counts as a fault of the VM.
  Duration away_interval = std::chrono::seconds(25);
};

/// Decides how a VM that is short of link or processor moves callers to other
/// VMs: by announcing the end of the connection in a part of the answers, and
/// if that is not enough, by not being ready for a short time.
class RotationControl {
 public:
  RotationControl(const RotationOptions& opts, uint64_t seed)
      : options(opts), rng(seed) {}

  /// To be called every few milliseconds. Returns true if IsShedding or IsAway
  /// has changed.
  bool OnTick(TimePoint now, const RotationLoad& load);
  /// True if the readiness check should fail.
  bool IsAway() const { return this->is_away; }
  /// True if some callers should go to other VMs.
  bool IsShedding() const { return this->is_shedding; }
  /// The part of the load that should go to other VMs, from 0 to 1.
  double Excess() const { return this->excess; }
  /// Decides whether an answer to an organisation announces the end of its
  /// connection. `share`: its part of the load; `concentration`: the sum of the
  /// squares of the shares of all organisations. Over all answers the announced
  /// part of the load is Excess, most of it of the largest organisations.
  bool AnnouncesClose(double share, double concentration);

 private:
  RotationOptions options;
  Rng rng;
  bool is_shedding = false;
  bool is_away = false;
  double excess = 0;
  /// Since when the load has been above `leave_above`, and how long it may last
  /// before the VM leaves; zero: it is not above.
  TimePoint overloaded_since;
  Duration max_overload = Duration::zero();
  TimePoint away_since;
};

}  // namespace fuchsiadrum::serving
