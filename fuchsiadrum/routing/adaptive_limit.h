#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::routing {

/// Options of an adaptive limit.
struct AdaptiveLimitOptions {
  double least = 2;
  double most = 4096;
  /// Factor after a refusal for load.
  double decrease = 0.7;
  /// At most one decrease in this time: refusals come in bursts.
  Duration decrease_interval = std::chrono::seconds(1);
};

/// A limit of concurrent requests that falls by a factor and rises by steps.
/// There is no limit until Start or the first decrease.
class AdaptiveLimit {
 public:
  /// Sets the limit; 0 removes it.
  void Start(double limit) { this->value = limit; }
  /// Multiplies the limit by `factor`, or sets it to `present` times that if
  /// there is none. Returns false if it fell less than the interval ago.
  bool Decrease(TimePoint now, double present, double factor,
                const AdaptiveLimitOptions& options);
  /// Raises the limit.
  void Increase(double step, const AdaptiveLimitOptions& options);

  bool IsSet() const { return this->value > 0; }
  double Value() const { return this->value; }

 private:
  double value = 0;
  TimePoint decreased_at;
};

}  // namespace fuchsiadrum::routing
