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
  /// Parts of `demand` by the availability zone of the holders. An
  /// organisation's callers are often in one zone.
  std::map<std::string, Tokens> zone_demand;

  /// Replaces the contribution of one holder, which is in that zone, to the
  /// sums.
  void Replace(const std::string& zone, const RecordedGrant& before,
               const RecordedGrant& after) {
    this->granted += after.granted - before.granted;
    this->spent += after.spent - before.spent;
    this->demand += after.demand - before.demand;
    if (zone.empty() || after.demand == before.demand) return;
    Tokens& in_zone = this->zone_demand[zone];
    in_zone += after.demand - before.demand;
    // A zone whose demand was not recorded from the start.
    if (in_zone.count <= 0) this->zone_demand.erase(zone);
  }
};

/// The accounts of the organisations that are kept in the same partition of the
/// store, by organisation.
using AccountBook = std::map<std::string, FleetAccount>;

}  // namespace fuchsiadrum::budget
