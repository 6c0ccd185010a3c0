#pragma once

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Measures what one organisation's requests ask for: a rate that is right from
/// the first seconds on, and the largest recent request.
class DemandMeter {
 public:
  DemandMeter() = default;
  DemandMeter(Duration rate_memory_time, Duration largest_memory_time)
      : rate_memory(rate_memory_time), largest_memory(largest_memory_time) {}

  /// A request asked for this much.
  void Add(TimePoint now, Tokens amount);
  /// Brings the figures to the present.
  void Advance(TimePoint now);

  /// Tokens per second.
  double Rate() const;
  /// Size of the largest request; it fades with time.
  double Largest() const { return this->largest; }

 private:
  Duration rate_memory = std::chrono::seconds(6);
  Duration largest_memory = std::chrono::seconds(20);
  /// Exponentially weighted sum of amounts, and of the time that it covers.
  double amounts = 0;
  double seconds = 0;
  double largest = 0;
  TimePoint at;
  bool started = false;
};

}  // namespace fuchsiadrum::budget
