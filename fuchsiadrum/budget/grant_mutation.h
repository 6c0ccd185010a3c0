#pragma once

namespace fuchsiadrum::budget {

/// Rules of GrantHolder that a test can break on purpose, to show that its
/// checks find the fault. Programs always run with kNone.
enum class GrantMutation {
  kNone,
  kSpendBeforeWritten,    // a higher total counts when its write is planned
  kReturnBindsLate,       // a lower total binds only when it is written
  kRefusedCountsWritten,  // a refused write counts as done
  kUnknownKeepsHigher,    // after an unknown outcome the higher total counts
  kIgnoreCeiling,         // the grant is used up to its total at any time
  kPlannedCeilingCounts,  // a higher ceiling counts before it is recorded
  kReleaseWithoutDelay,   // tokens above the ceiling are released at once
  kUnrecordedHeadroom,    // the minimum headroom counts without a record
  kAnswerForgetsReserved  // the answer to a call returns reserved tokens
};

}  // namespace fuchsiadrum::budget
