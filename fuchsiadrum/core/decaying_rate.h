#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum {

/// Exponentially weighted average of a rate, unbiased from the first seconds
/// on.
class DecayingRate {
 public:
  explicit DecayingRate(Duration time_constant) : constant(time_constant) {}

  /// Records an event of this size, for example 1 for one request.
  void Add(TimePoint now, double amount);
  /// Decays the rate up to `now`.
  void Advance(TimePoint now);
  double PerSecond() const;

 private:
  Duration constant;
  /// Exponentially weighted sum of the amounts, and the equally weighted time
  /// in seconds over which they were recorded.
  double weighted_amount = 0;
  double weighted_seconds = 0;
  TimePoint updated_at;
  bool started = false;
};

}  // namespace fuchsiadrum
