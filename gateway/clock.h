#pragma once

#include "daemon/clock.h"
#include "fuchsiadrum/budget/reclaim.h"

namespace fuchsiadrum::gateway {

using daemon::Now;

/// Reads this VM's clocks.
budget::VmClocks ReadVmClocks();
/// Time since the VM's boot, including time in which it was suspended.
inline TimePoint BootNow() { return {ReadVmClocks().since_boot.count()}; }
/// Returns this VM's clocks at the start of the process.
const budget::VmClocks& ClocksAtStart();

}  // namespace fuchsiadrum::gateway
