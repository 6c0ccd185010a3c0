#include "fuchsiadrum/serving/service_model.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {
namespace {

/// One long answer counts as at most this many average ones.
constexpr double kMaxHoldRatio = 4.0;
/// Until it is observed, half of the parts that this VM has not sent to a
/// preferred upstream count as cached there.
constexpr double kFirstUnseenHits = 0.5;
/// Bounds of the ratio above which a first token is late.
constexpr double kMinLateRatio = 2.0;
constexpr double kMaxLateRatio = 8.0;
constexpr Duration kRateWindow = std::chrono::seconds(20);

/// Moves a moving average that begins with its first observation.
void Average(double& mean, double value, double weight) {
  mean = mean > 0 ? mean + weight * (value - mean) : value;
}

}  // namespace

ServiceModel::ServiceModel(const ServiceModelOptions& opts)
    : options(opts),
      model(opts.first_token),
      uncached_rate(kRateWindow),
      unseen_hits(kFirstUnseenHits),
      late_ratio(kMinLateRatio) {
  this->typical.hold = opts.hold;
}

void ServiceModel::OnFirstToken(const routing::FirstTokenFactors& factors,
                                double us) {
  this->model.Learn(factors, us);
}

void ServiceModel::OnRatio(double ratio) {
  // Stochastic approximation of a quantile: steps up and down balance there.
  constexpr double kQuantile = 0.9;
  const double direction = ratio > this->late_ratio ? kQuantile : kQuantile - 1;
  const double moved =
      this->late_ratio * (1 + this->options.weight * direction);
  this->late_ratio = std::clamp(moved, kMinLateRatio, kMaxLateRatio);
}

void ServiceModel::OnOthers(double others_per_slot) {
  this->typical.others_per_slot +=
      this->options.weight * (others_per_slot - this->typical.others_per_slot);
}

void ServiceModel::OnHold(Duration time) {
  const double mean = ToMilliseconds(this->typical.hold);
  const double ms = std::min(ToMilliseconds(time), kMaxHoldRatio * mean);
  this->typical.hold =
      FromMilliseconds(mean + this->options.weight * (ms - mean));
}

Duration ServiceModel::OnEventInterval(Duration interval) {
  Average(this->event_interval_ms, ToMilliseconds(interval),
          this->options.weight);
  return FromMilliseconds(this->event_interval_ms);
}

void ServiceModel::OnRequest(TimePoint now, int64_t tokens, int64_t uncached) {
  const auto uncached_tokens = static_cast<double>(uncached);
  Average(this->mean_tokens, static_cast<double>(tokens), this->options.weight);
  Average(this->mean_uncached, uncached_tokens, this->options.weight);
  this->uncached_rate.Add(now, uncached_tokens);
}

void ServiceModel::OnUnseenParts(bool were_cached) {
  this->unseen_hits +=
      this->options.weight * ((were_cached ? 1.0 : 0.0) - this->unseen_hits);
}

}  // namespace fuchsiadrum::serving
