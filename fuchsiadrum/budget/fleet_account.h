#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// The record that one holder keeps in the store for one organisation. All
/// fields except `demand` are totals: they count tokens cumulatively since the
/// start of the holder.
struct RecordedGrant {
  Tokens granted;
  /// Settled spend when the record was written. The present spend is at least
  /// this.
  Tokens spent;
  /// Tokens per second that the holder's callers request.
  Tokens demand;
  /// Total that the holder's use does not exceed as long as the store answers
  /// its writes; at most `granted`. A heartbeat may state a higher one.
  Tokens ceiling;
  /// The holder had written no heartbeat: it does not exceed the ceiling under
  /// this record, whether the store answers or not.
  bool is_ceiling_final = false;
};

/// Sums of one organisation's grant records over all holders of the fleet,
/// those of dead holders included. Each write of a grant record updates the
/// sums.
struct FleetAccount {
  Tokens granted;
  Tokens spent;
  Tokens demand;
  /// The organisation's budget according to the newest configuration that any
  /// writer has loaded, and the version of that configuration. An account is
  /// written only for a limited budget.
  Tokens limit;
  uint64_t limit_version = 0;

  /// Replaces the contribution of one holder to the sums.
  void Replace(const RecordedGrant& before, const RecordedGrant& after) {
    this->granted += after.granted - before.granted;
    this->spent += after.spent - before.spent;
    this->demand += after.demand - before.demand;
  }
};

/// The accounts of the organisations that are kept in the same partition of the
/// store, by organisation.
using AccountBook = std::map<std::string, FleetAccount>;

}  // namespace fuchsiadrum::budget
