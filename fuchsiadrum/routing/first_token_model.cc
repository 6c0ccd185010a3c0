#include "fuchsiadrum/routing/first_token_model.h"

#include <algorithm>

namespace fuchsiadrum::routing {
namespace {

/// Scales that bring the factors to the order of 1, for the ridge term.
constexpr double kTokenScale = 1000.0;
constexpr double kRequestScale = 10.0;
/// Least expected time, microseconds.
constexpr double kLeastShared = 1000.0;

}  // namespace

FirstTokenModel::FirstTokenModel(const FirstTokenModelOptions& opts)
    : options(opts) {
  this->prior = {static_cast<double>(opts.prior_fixed.count()),
                 opts.prior_us_per_token * kTokenScale,
                 opts.prior_us_per_request * kRequestScale,
                 opts.prior_us_per_queued * kRequestScale};
  this->coefficients = this->prior;
}

FirstTokenModel::Row FirstTokenModel::ToRow(const FirstTokenFactors& factors) {
  return {1.0, factors.uncached_tokens / kTokenScale,
          factors.requests / kRequestScale, factors.queued / kRequestScale};
}

double FirstTokenModel::Expected(const FirstTokenFactors& factors) const {
  const Row row = ToRow(factors);
  double value = 0;
  for (size_t i = 0; i < kFactors; ++i) value += row[i] * this->coefficients[i];
  return std::max(value, kLeastShared);
}

double FirstTokenModel::UsPerToken() const {
  return this->coefficients[1] / kTokenScale;
}

void FirstTokenModel::Learn(const FirstTokenFactors& factors, double us) {
  const Row row = ToRow(factors);
  // Relative errors count: a long wait is not known to the microsecond.
  const double weight = 1.0 / std::max(us, kLeastShared);
  for (size_t i = 0; i < kFactors; ++i) {
    for (size_t j = 0; j < kFactors; ++j) {
      this->products[i][j] = this->products[i][j] * this->options.memory +
                             weight * row[i] * row[j];
    }
    this->sums[i] = this->sums[i] * this->options.memory + weight * row[i] * us;
  }
  this->Solve();
}

void FirstTokenModel::Solve() {
  // Ridge regression towards the prior by Gauss-Seidel steps from the present
  // solution; negative coefficients have no meaning and are cut off.
  constexpr int kSweeps = 2;
  const double ridge = this->options.ridge;
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (size_t i = 0; i < kFactors; ++i) {
      double rest = this->sums[i] + ridge * this->prior[i];
      for (size_t j = 0; j < kFactors; ++j) {
        if (j != i) rest -= this->products[i][j] * this->coefficients[j];
      }
      this->coefficients[i] =
          std::max(0.0, rest / (this->products[i][i] + ridge));
    }
  }
}

}  // namespace fuchsiadrum::routing
