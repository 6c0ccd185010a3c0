#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fuchsiadrum/budget/grant_holder_options.h"
#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {

/// Load and store of a TokenFleet. The defaults are those of a deployment with
/// 113 VMs in 4 zones whose VMs lose the store twice, for about 9 s each.
struct TokenFleetOptions {
  int vms = 113;
  int zones = 4;
  /// The first organisation has a crowd of callers that all reach one VM of
  /// zone 0 for `crowd_stay`, and then another one.
  double crowd_per_s = 140;
  /// Part of the time in which the crowd is there.
  double crowd_fraction = 0.45;
  Duration crowd_stay = std::chrono::milliseconds(2500);
  int crowd_vms = 6;
  /// Greatest delay of a message at a VM, and at one whose link the crowd
  /// fills.
  Duration delay = std::chrono::milliseconds(8);
  Duration crowd_delay = std::chrono::milliseconds(300);
  int organisations = 24;
  /// Requests of all organisations but the crowd. The callers of an
  /// organisation stick to their VMs; most are in one zone.
  double requests_per_s = 300;
  double home_zone_fraction = 0.7;
  /// Duration of the load.
  Duration duration = std::chrono::seconds(45);
  /// Budget of each organisation as a multiple of the tokens that its callers
  /// ask for in expectation.
  double budget_factor = 1.2;
  double writes_per_s = 2000;
  /// Time that the store needs for one append to a partition.
  Duration append_time = std::chrono::milliseconds(2);
  /// Times at which all VMs lose the store for `cut_duration`.
  std::vector<Duration> cuts = {std::chrono::milliseconds(5700),
                                std::chrono::seconds(24)};
  Duration cut_duration = std::chrono::milliseconds(8500);
  uint64_t seed = 1;
  /// Whether gateways call for tokens of accounts that are short.
  bool calls = true;
  GrantHolderOptions holder;
};

/// What has become of the attempts of a TokenFleet's callers.
struct TokenFleetResult {
  int attempts = 0;
  int served = 0;
  int refused_pending = 0;
  int refused_held_elsewhere = 0;
  int refused_exhausted = 0;
  /// Refusals of the first two kinds outside of the cuts.
  int refused_calm = 0;
  /// Refusals that needed only a higher ceiling.
  int refused_ceiling = 0;
  /// Requests, and those refused at both attempts.
  int requests = 0;
  int lost_calm = 0;
  int lost_cut = 0;
  int requests_cut = 0;
  int crowd_attempts = 0;
  int crowd_refused = 0;
  uint64_t account_reads = 0;
  uint64_t appends = 0;
  uint64_t lost_races = 0;
  uint64_t heartbeats = 0;
  uint64_t token_calls = 0;
  uint64_t call_reads = 0;
  /// Fractions of all budgets at the end.
  double spent = 0;
  double pooled = 0;
  double ungranted = 0;
  /// Greatest spend of a budget as a fraction of it.
  double max_spent = 0;

  double RefusedFraction() const {
    return static_cast<double>(this->refused_pending +
                               this->refused_held_elsewhere) /
           std::max(1, this->attempts);
  }
  double CrowdRefusedFraction() const {
    return static_cast<double>(this->crowd_refused) /
           std::max(1, this->crowd_attempts);
  }
  double CallsPerSecond(const TokenFleetOptions& options) const {
    return static_cast<double>(this->account_reads + this->appends +
                               this->heartbeats + this->token_calls +
                               this->call_reads) /
           ToSeconds(options.duration) / options.vms;
  }
};

}  // namespace fuchsiadrum::budget
