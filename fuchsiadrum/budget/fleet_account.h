#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// What one holder has recorded for one organisation: totals since its start.
struct RecordedGrant {
  Tokens granted;
  /// Settled spend when the record was written; a lower bound.
  Tokens spent;
  /// Tokens per second that the holder's callers asked for.
  Tokens demand;
  /// Total that the holder uses while it reaches the store.
  Tokens ceiling;
};

/// One organisation's tokens in the whole fleet, as the last writer left them:
/// sums over all holders, dead ones included.
struct FleetAccount {
  Tokens granted;
  Tokens spent;
  Tokens demand;
  /// The budget that the newest configuration among the writers' names, and
  /// that configuration's version.
  Tokens limit;
  uint64_t limit_version = 0;

  /// Replaces a holder's part of the sums.
  void Replace(const RecordedGrant& before, const RecordedGrant& after) {
    this->granted += after.granted - before.granted;
    this->spent += after.spent - before.spent;
    this->demand += after.demand - before.demand;
  }
};

/// The accounts of the organisations that share one partition of the store.
using AccountBook = std::map<std::string, FleetAccount>;

}  // namespace fuchsiadrum::budget
