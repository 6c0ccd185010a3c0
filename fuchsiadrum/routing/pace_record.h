#pragma once

namespace fuchsiadrum::routing {

/// Options of a PaceRecord.
struct PaceRecordOptions {
  /// Share of the past that each observation keeps.
  double memory = 0.95;
  /// Observations that the prior counts as.
  double prior_weight = 2.0;
};

/// Slowness of one upstream: observed divided by expected time. It is a ratio
/// of decayed sums, so that long waits weigh by their length, and tends to a
/// prior while there are few observations.
class PaceRecord {
 public:
  /// An observation; both times have the same unit. `prior` is the slowness
  /// that is assumed without observations.
  void Add(double observed_time, double expected_time, double prior,
           const PaceRecordOptions& options);
  /// 1 before the first observation.
  double Slowness() const { return this->slowness; }
  /// The slowness with another prior than that of the last observation.
  double SlownessTowards(double prior, const PaceRecordOptions& options) const;

 private:
  double observed = 0;
  double expected = 0;
  /// Expected time of the last observation, which scales the prior.
  double last_expected = 0;
  double slowness = 1.0;
};

}  // namespace fuchsiadrum::routing
