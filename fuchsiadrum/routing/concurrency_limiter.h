#pragma once

#include <cstdint>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/routing/adaptive_limit.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the adaptive limits.
using ConcurrencyLimiterOptions = AdaptiveLimitOptions;

/// Learns how many requests this daemon may keep in flight at each upstream:
/// multiplicative decrease when the upstream refuses for load, additive
/// increase while answers come with the limit in use. No limit is set before
/// the first refusal.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(upstream::UpstreamTable& table,
                     ConcurrencyLimiterOptions options)
      : table(table), options(options) {}

  /// The upstream refused a request for load.
  void OnRefused(TimePoint now, UpstreamIndex index);
  /// The upstream completed a request that was one of `in_flight`.
  void OnCompleted(UpstreamIndex index, int in_flight);

 private:
  struct Record {
    uint32_t epoch = 0;
    AdaptiveLimit limit;
  };

  Record& RecordOf(UpstreamIndex index);

  upstream::UpstreamTable& table;
  ConcurrencyLimiterOptions options;
  std::vector<Record> records;
};

}  // namespace fuchsiadrum::routing
