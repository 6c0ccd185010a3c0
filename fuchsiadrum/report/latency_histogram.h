#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>
#include <cstdint>
#include <tuple>

#include "fuchsiadrum/core/types.h"
#include "schema/report.pb.h"

namespace fuchsiadrum::report {

/// Distribution of durations from 0.25 ms to 131 s with a relative error below
/// 7%. Counts are integers, so merging daemons' histograms loses nothing.
class LatencyHistogram {
 public:
  /// Version of the bins; histograms of other layouts cannot be merged.
  static constexpr uint32_t kLayout = 1;

  LatencyHistogram();

  void Add(Duration value);
  /// Adds another histogram of the same layout.
  void Merge(const LatencyHistogram& other);
  /// Adds a serialised histogram; false (nothing added) if it is malformed.
  bool Merge(const pb::SparseHistogram& other);
  pb::SparseHistogram ToProto() const;
  /// Milliseconds that `ratio` of the values do not exceed (upper edge of the
  /// bin); 0 without values.
  double QuantileMs(double ratio) const;
  uint64_t Count() const;
  void Clear();

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::unlimited_storage<>>;

  static Axis MakeAxis();

  Histogram histogram;
};

}  // namespace fuchsiadrum::report
