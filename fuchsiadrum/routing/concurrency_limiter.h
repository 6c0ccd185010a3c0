#pragma once

#include <cstdint>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the adaptive limits.
struct ConcurrencyLimiterOptions {
  int least = 2;
  int most = 4096;
  /// Factor after a refusal for load.
  double decrease = 0.7;
  /// At most one decrease in this time: refusals come in bursts.
  Duration decrease_interval = std::chrono::seconds(1);
};

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
    double limit = 0;
    TimePoint decreased_at;
  };

  Record& RecordOf(UpstreamIndex index);

  upstream::UpstreamTable& table;
  ConcurrencyLimiterOptions options;
  std::vector<Record> records;
};

}  // namespace fuchsiadrum::routing
