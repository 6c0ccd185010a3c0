#pragma once

#include <cstdint>
#include <string_view>

namespace fuchsiadrum {

/// Deterministic random numbers (SplitMix64): the same seed gives the same
/// numbers with every compiler, which the standard distributions do not.
class Rng {
 public:
  explicit Rng(uint64_t seed) : state(seed) {}

  /// Uniform over all 64-bit values.
  uint64_t Next();
  /// Uniform in [0, bound); bound > 0.
  uint64_t Below(uint64_t bound);
  /// Uniform in [low, high].
  int64_t Between(int64_t low, int64_t high);
  /// Uniform in [0, 1).
  double Unit();
  /// True with the given probability.
  bool Chance(double probability) { return this->Unit() < probability; }
  /// Exponentially distributed with the given mean.
  double Exponential(double mean);
  /// An independent generator, named so that adding a consumer does not
  /// change the numbers of the others.
  Rng Fork(std::string_view name) const;

 private:
  uint64_t state;
};

}  // namespace fuchsiadrum
