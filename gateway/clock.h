#pragma once

#include "daemon/clock.h"
#include "fuchsiadrum/budget/reclaim.h"

namespace fuchsiadrum::gateway {

using daemon::Now;

/// This VM's clocks.
budget::VmClocks ReadVmClocks();
/// This VM's clocks when the process started.
const budget::VmClocks& ClocksAtStart();

}  // namespace fuchsiadrum::gateway
