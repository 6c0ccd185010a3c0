#include "fuchsiadrum/routing/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace fuchsiadrum::routing {
namespace {

/// Scales that bring the factors to the order of 1, for the ridge term.
constexpr double kTokenScale = 1000.0;
constexpr double kRequestScale = 10.0;
/// Bounds of a learned slowness: upstreams differ by 1:4, faults by more.
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;
/// Least expected time, microseconds.
constexpr double kLeastShared = 1000.0;

}  // namespace

SpeedEstimator::SpeedEstimator(const upstream::UpstreamTable& table,
                               SpeedEstimatorOptions options)
    : table(table), options(options) {
  this->prior = {static_cast<double>(options.prior_fixed.count()),
                 options.prior_us_per_token * kTokenScale,
                 options.prior_us_per_request * kRequestScale,
                 options.prior_us_per_request * kRequestScale};
  this->coefficients = this->prior;
}

void SpeedEstimator::OnFirstToken(UpstreamIndex index,
                                  const FirstTokenFactors& factors,
                                  Duration observed) {
  if (this->records.size() <= index) {
    this->records.resize(this->table.Slots());
  }
  Record& record = this->records[index];
  const uint32_t epoch = this->table.At(index).epoch;
  if (record.epoch != epoch) record = Record{.epoch = epoch};

  // Slowness is a ratio of sums, so that long waits weigh by their length.
  const double value = static_cast<double>(observed.count());
  const double shared = this->Shared(factors);
  const double keep = this->options.upstream_memory;
  record.observed = record.observed * keep + value;
  record.expected = record.expected * keep + shared;
  const double prior = this->options.prior_weight * shared;
  record.slowness =
      std::clamp((record.observed + prior) / (record.expected + prior),
                 kMinSlowness, kMaxSlowness);

  this->Learn(ToRow(factors), value / record.slowness);
}

double SpeedEstimator::Slowness(UpstreamIndex index) const {
  if (index >= this->records.size()) return 1.0;
  const Record& record = this->records[index];
  return record.epoch == this->table.At(index).epoch ? record.slowness : 1.0;
}

SpeedEstimator::Row SpeedEstimator::ToRow(const FirstTokenFactors& factors) {
  return {1.0, factors.uncached_tokens / kTokenScale,
          factors.requests / kRequestScale, factors.queued / kRequestScale};
}

double SpeedEstimator::Shared(const FirstTokenFactors& factors) const {
  const Row row = ToRow(factors);
  double value = 0;
  for (size_t i = 0; i < kFactors; ++i) value += row[i] * this->coefficients[i];
  return std::max(value, kLeastShared);
}

void SpeedEstimator::Learn(const Row& row, double value) {
  // Relative errors count: a long wait is not known to the microsecond.
  const double weight = 1.0 / std::max(value, kLeastShared);
  for (size_t i = 0; i < kFactors; ++i) {
    for (size_t j = 0; j < kFactors; ++j) {
      this->products[i][j] = this->products[i][j] * this->options.fleet_memory +
                             weight * row[i] * row[j];
    }
    this->sums[i] =
        this->sums[i] * this->options.fleet_memory + weight * row[i] * value;
  }
  this->Solve();
}

void SpeedEstimator::Solve() {
  // Ridge regression towards the prior by Gauss-Seidel steps from the present
  // solution; negative coefficients have no meaning and are cut off.
  constexpr double kRidge = 1e-5;
  constexpr int kSweeps = 2;
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (size_t i = 0; i < kFactors; ++i) {
      double rest = this->sums[i] + kRidge * this->prior[i];
      for (size_t j = 0; j < kFactors; ++j) {
        if (j != i) rest -= this->products[i][j] * this->coefficients[j];
      }
      this->coefficients[i] =
          std::max(0.0, rest / (this->products[i][i] + kRidge));
    }
  }
}

}  // namespace fuchsiadrum::routing
