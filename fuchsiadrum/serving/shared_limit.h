#pragma once

#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/upstream_notices.h"

namespace fuchsiadrum::serving {

/// Limit that an upstream has named, and how the gateways share it. The store
/// keeps one record for each limited upstream.
struct SharedLimit {
  UpstreamIncarnation upstream;
  std::string service;
  /// Requests per second that the upstream takes from all VMs together.
  double requests_per_s = 0;
  /// Part of it that each holder may use, by "<vm>/<incarnation>".
  std::map<std::string, double> shares;

  bool operator==(const SharedLimit&) const = default;
  double SumOfShares() const {
    double sum = 0;
    for (const auto& [holder, share] : this->shares) sum += share;
    return sum;
  }
};

/// Records that a gateway writes in one append. With changes of limits, the
/// append must depend on the end of the stream up to which the gateway has
/// read.
struct LimitUpdate {
  std::vector<SharedLimit> changed;
  /// Ids of upstreams whose records are deleted.
  std::vector<std::string> deleted;
  /// Number of the own lease's renewal; 0: none.
  uint64_t renewal = 0;
  /// Holders whose lease records are deleted.
  std::vector<std::string> ended_holders;

  bool IsEmpty() const {
    return !this->ChangesLimits() && this->renewal == 0 &&
           this->ended_holders.empty();
  }
  bool ChangesLimits() const {
    return !this->changed.empty() || !this->deleted.empty();
  }
};

}  // namespace fuchsiadrum::serving
