#include "fuchsiadrum/core/rng.h"

#include <cmath>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum {

uint64_t Rng::Next() {
  this->state += 0x9E3779B97F4A7C15ULL;
  uint64_t z = this->state;
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

uint64_t Rng::Below(uint64_t bound) {
  FD_ASSERT(bound > 0, "rng: empty range");
  return static_cast<uint64_t>(
      (static_cast<unsigned __int128>(this->Next()) * bound) >> 64U);
}

int64_t Rng::Between(int64_t low, int64_t high) {
  FD_ASSERT(low <= high, "rng: empty range");
  return low + static_cast<int64_t>(
                   this->Below(static_cast<uint64_t>(high - low) + 1));
}

double Rng::Unit() {
  return static_cast<double>(this->Next() >> 11U) * 0x1.0p-53;
}

double Rng::Exponential(double mean) {
  return -mean * std::log(1.0 - this->Unit());
}

Rng Rng::Fork(std::string_view name) const {
  return Rng(Hash64(name, this->state));
}

}  // namespace fuchsiadrum
