#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::daemon {

/// Monotonic time whose epoch is the Unix epoch as the system clock showed it
/// when the process started, so that clock jumps do not move it.
TimePoint Now();

/// Start of the process in microseconds of the system clock; used as the
/// incarnation of this daemon.
uint64_t StartIncarnation();

}  // namespace fuchsiadrum::daemon
