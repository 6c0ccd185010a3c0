#include "fuchsiadrum/budget/grant_sizer.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::budget {
namespace {

/// Estimates change once in this time; shorter windows only add noise.
constexpr Duration kWindow = std::chrono::seconds(1);

/// A clock that jumps ahead must not make the estimates vanish.
constexpr double kLongestWindowS = 10.0;

/// Share of the largest reservation that survives a second: it halves in six
/// minutes, so that an organisation with few requests keeps a useful step.
constexpr double kLargestDecay = 0.998;

/// The same for the peak of tokens in flight, which halves in 70 s.
constexpr double kPeakDecay = 0.99;

/// Bounds of a daemon's share of what is left, as multiples of an equal share:
/// a young estimate must neither starve a daemon nor give it everything.
constexpr double kLeastShare = 0.5;
constexpr double kMostShare = 2.0;

/// A daemon may hold this multiple of its share; more would leave others short
/// when a partition begins.
constexpr double kShareSlack = 1.1;

/// A grant holds this much more than its coarse step, which leaves time for
/// the next grant before the step is cut short.
constexpr double kGrantFactor = 1.2;

/// Without knowledge of the demand a daemon starts with this part of its fair
/// share.
constexpr int64_t kStartDivisor = 8;

Tokens FromDouble(double tokens) {
  return Tokens(static_cast<int64_t>(tokens));
}

}  // namespace

GrantSizerOptions GrantSizerOptions::CoralAndina() {
  return {.fine_seconds = 2.0, .coarse_seconds = 3600 * 2.2};
}

GrantSizerOptions GrantSizerOptions::DarilniZreb() {
  return {.fine_seconds = 1.0, .coarse_seconds = 3600 * 2.0};
}

void GrantSizer::OnTick(TimePoint now, Tokens in_flight) {
  this->peak = std::max(this->peak, in_flight);
  if (!this->started || now < this->updated) {
    this->started = true;
    this->updated = now;
    return;
  }
  if (now - this->updated < kWindow) return;

  const double dt = std::min(ToSeconds(now - this->updated), kLongestWindowS);
  this->updated = now;
  this->age_s += dt;

  // A young estimate is a plain mean.
  const double sample = static_cast<double>(this->window.count) / dt;
  const auto blend = [&](double rate, Duration constant) {
    const double span =
        std::max(dt, std::min(this->age_s, ToSeconds(constant)));
    return rate + (sample - rate) * dt / span;
  };
  this->fast_rate = blend(this->fast_rate, this->options.fast);
  this->slow_rate = blend(this->slow_rate, this->options.slow);
  this->window = Tokens(0);

  const auto decay = [](Tokens tokens, double share) {
    return FromDouble(static_cast<double>(tokens.count) * share);
  };
  this->largest = decay(this->largest, kLargestDecay);
  this->peak = std::max(in_flight, decay(this->peak, kPeakDecay));
}

Tokens GrantSizer::FineMargin() const {
  if (this->options.fine_step > Tokens(0)) return this->options.fine_step;
  const double rate = std::max(this->fast_rate, this->slow_rate);
  return FromDouble(rate * this->options.fine_seconds) + this->largest +
         this->largest;
}

Tokens GrantSizer::CoarseMargin(bool degraded) const {
  const Tokens fine = this->FineMargin();
  if (this->options.coarse_step > Tokens(0)) {
    return std::max(fine, this->options.coarse_step);
  }
  const double factor = degraded ? 2.0 : 1.0;
  return fine +
         FromDouble(this->slow_rate * this->options.coarse_seconds * factor);
}

Tokens GrantSizer::Want(Tokens left, int daemons) const {
  const Tokens coarse = this->CoarseMargin(false);
  const Tokens want =
      FromDouble(static_cast<double>(coarse.count) * kGrantFactor);
  const Tokens fair(left.count / daemons);
  const Tokens start(fair.count / kStartDivisor);

  // What is left is shared by demand, as far as the fleet's demand is known.
  const double equal = 1.0 / daemons;
  const double by_demand =
      this->fleet_rate > 0 ? this->slow_rate / this->fleet_rate : equal;
  const double share =
      std::clamp(by_demand, equal * kLeastShare, equal * kMostShare);
  const Tokens bound =
      FromDouble(static_cast<double>(left.count) * share * kShareSlack);
  return std::clamp(want, start, std::max(start, bound));
}

void GrantSizer::OnBilled(TimePoint now, Tokens billed) {
  if (!this->fleet_known || now <= this->fleet_updated) {
    this->fleet_known = true;
    this->fleet_updated = now;
    this->fleet_billed = billed;
    return;
  }

  const double dt = ToSeconds(now - this->fleet_updated);
  const double sample =
      static_cast<double>((billed - this->fleet_billed).count) / dt;
  this->fleet_updated = now;
  this->fleet_billed = billed;
  this->fleet_age_s += dt;
  const double span =
      std::max(dt, std::min(this->fleet_age_s, ToSeconds(this->options.slow)));
  this->fleet_rate += (sample - this->fleet_rate) * dt / span;
}

}  // namespace fuchsiadrum::budget
