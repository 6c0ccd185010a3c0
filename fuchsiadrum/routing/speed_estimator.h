#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the estimator.
struct SpeedEstimatorOptions {
  /// Share of the past that each observation keeps, for an upstream's slowness
  /// and for the fleet's coefficients.
  double upstream_memory = 0.95;
  double fleet_memory = 0.999;
  /// Observations that the prior counts as.
  double prior_weight = 2.0;
  /// Prior time to first token: fixed part, for each uncached prompt token and
  /// for each request at the upstream.
  Duration prior_fixed = std::chrono::milliseconds(30);
  double prior_us_per_token = 40.0;
  double prior_us_per_request = 1000.0;
};

/// What the time to first token depends on, besides the upstream itself.
struct FirstTokenFactors {
  /// Prompt tokens that are not cached.
  double uncached_tokens = 0;
  /// Requests at the upstream, and those that wait for a place.
  double requests = 0;
  double queued = 0;
};

/// Learns the time to first token from observations: one slowness for each
/// upstream times a linear function of the factors that all upstreams share.
/// The shared part lets an upstream with few observations profit from the
/// others.
class SpeedEstimator {
 public:
  SpeedEstimator(const upstream::UpstreamTable& table,
                 SpeedEstimatorOptions options);

  /// A first token arrived this long after the dispatch.
  void OnFirstToken(UpstreamIndex index, const FirstTokenFactors& factors,
                    Duration observed);
  /// Expected time to first token, microseconds.
  double Expected(UpstreamIndex index, const FirstTokenFactors& factors) const {
    return this->Slowness(index) * this->Shared(factors);
  }
  /// Slowness of an upstream; 1 is the fleet's average.
  double Slowness(UpstreamIndex index) const;

 private:
  static constexpr size_t kFactors = 4;
  using Row = std::array<double, kFactors>;
  struct Record {
    uint32_t epoch = 0;
    double observed = 0;
    double expected = 0;
    double slowness = 1.0;
  };

  static Row ToRow(const FirstTokenFactors& factors);
  double Shared(const FirstTokenFactors& factors) const;
  void Learn(const Row& row, double value);
  void Solve();

  const upstream::UpstreamTable& table;
  SpeedEstimatorOptions options;
  std::vector<Record> records;
  /// Decayed normal equations of the shared function.
  std::array<Row, kFactors> products{};
  Row sums{};
  Row coefficients{};
  Row prior{};
};

}  // namespace fuchsiadrum::routing
