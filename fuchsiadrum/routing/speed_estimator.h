#pragma once

#include <cstdint>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/routing/first_token_model.h"
#include "fuchsiadrum/routing/pace_record.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the estimator: of what upstreams share, and of each upstream's
/// slowness.
struct SpeedEstimatorOptions {
  FirstTokenModelOptions model;
  PaceRecordOptions pace;
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
    return this->Slowness(index) * this->model.Expected(factors);
  }
  /// Slowness of an upstream; 1 is the fleet's average.
  double Slowness(UpstreamIndex index) const;

 private:
  struct Record {
    uint32_t epoch = 0;
    PaceRecord pace;
  };

  const upstream::UpstreamTable& table;
  SpeedEstimatorOptions options;
  FirstTokenModel model;
  std::vector<Record> records;
};

}  // namespace fuchsiadrum::routing
