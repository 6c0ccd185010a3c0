#pragma once

#include <string>

#include "bench/budget_world.h"

namespace fuchsiadrum::bench {

/// Kinds of faults of the mixed scenario.
enum class FaultKind {
  kZoneCut,
  kOneWayCut,
  kLogDown,
  kLogSlow,
  kAnswersLost,
  kKill,
  kPause,
  kClockJump,
  kMessageLoss,
  kMessageDuplicate,
  kDrain,
  kStalledAppend,
  kStaleSeal,
};
inline constexpr int kFaultKinds = 13;

/// Name of a kind, for traces.
std::string_view FaultName(FaultKind kind);

/// Schedules faults between now and `end`: run 3n one kind once, run 3n + 1 a
/// pair that overlaps, run 3n + 2 a random mix. Returns the text of what is
/// planned.
std::string ScheduleFaults(BudgetWorld& world, uint64_t run, TimePoint end);

/// Starts one fault now; it ends by itself after `length`.
void StartFault(BudgetWorld& world, FaultKind kind, Duration length);

}  // namespace fuchsiadrum::bench
