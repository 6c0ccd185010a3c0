#pragma once

#include <memory>

#include "bench/budget_policy.h"

namespace fuchsiadrum::bench {

/// Baselines:
/// - fixed-split: each VM may spend its equal part of each top-up.
/// - central: each reservation is a record on the log.
/// - time-lease: tokens are leased for a time; a lease that is not renewed in
///   time is reclaimed.
/// nullptr: there is no baseline of that name.
std::unique_ptr<BudgetPolicy> MakeBudgetBaseline(
    const BudgetPolicySetup& setup);

}  // namespace fuchsiadrum::bench
