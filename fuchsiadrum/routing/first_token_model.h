#pragma once

#include <array>
#include <cstddef>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::routing {

/// What the time to first token depends on, besides the upstream itself.
struct FirstTokenFactors {
  /// Prompt tokens that are not cached.
  double uncached_tokens = 0;
  /// Requests at the upstream, and those that wait for a place.
  double requests = 0;
  double queued = 0;
};

/// Options of a FirstTokenModel.
struct FirstTokenModelOptions {
  /// Share of the past that each observation keeps.
  double memory = 0.999;
  /// Weight of the prior; an observation of a time t has the weight 1 us / t.
  double ridge = 1e-5;
  /// Prior time to first token: fixed part, for each uncached prompt token and
  /// for each request that is at the upstream or waits there for a place.
  Duration prior_fixed = std::chrono::milliseconds(30);
  double prior_us_per_token = 40.0;
  double prior_us_per_request = 1000.0;
  double prior_us_per_queued = 1000.0;
};

/// Learns the time to first token at an upstream of slowness 1: a linear
/// function of the factors, by ridge regression towards the prior.
class FirstTokenModel {
 public:
  explicit FirstTokenModel(const FirstTokenModelOptions& opts);

  /// Expected time, microseconds.
  double Expected(const FirstTokenFactors& factors) const;
  /// A first token arrived after `us`, divided by the upstream's slowness.
  void Learn(const FirstTokenFactors& factors, double us);
  /// Time for each uncached token, microseconds.
  double UsPerToken() const;

 private:
  static constexpr size_t kFactors = 4;
  using Row = std::array<double, kFactors>;

  static Row ToRow(const FirstTokenFactors& factors);
  void Solve();

  FirstTokenModelOptions options;
  /// Decayed normal equations of the function.
  std::array<Row, kFactors> products{};
  Row sums{};
  Row coefficients{};
  Row prior{};
};

}  // namespace fuchsiadrum::routing
