#pragma once

#include "fuchsiadrum/core/decaying_rate.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Measures the token demand of one organisation's requests: the rate, as an
/// exponentially weighted average that is unbiased from the first seconds on,
/// and the size of the largest recent request.
class DemandMeter {
 public:
  /// GrantHolder passes the time constants of its options; the defaults of the
  /// members apply to a default-constructed meter only.
  DemandMeter() = default;
  DemandMeter(Duration rate_constant, Duration largest_constant)
      : rate(rate_constant), largest_request_time_constant(largest_constant) {}

  /// Records a request for `amount` tokens.
  void Add(TimePoint now, Tokens amount);
  /// Decays the rate and the largest request up to `now`.
  void Advance(TimePoint now);

  /// Demand in tokens per second.
  double Rate() const { return this->rate.PerSecond(); }
  /// Size in tokens of the largest recent request, decayed exponentially since
  /// then.
  double Largest() const { return this->largest; }

 private:
  DecayingRate rate{std::chrono::seconds(6)};
  Duration largest_request_time_constant = std::chrono::seconds(20);
  double largest = 0;
  TimePoint updated_at;
  bool started = false;
};

}  // namespace fuchsiadrum::budget
