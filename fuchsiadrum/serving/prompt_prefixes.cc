#include "fuchsiadrum/serving/prompt_prefixes.h"

#include <algorithm>

namespace fuchsiadrum::serving {

uint64_t MixHashes(uint64_t first, uint64_t second) {
  // One round of SplitMix64 over both.
  uint64_t z = (first * 0x9E3779B97F4A7C15ULL) ^ second;
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

size_t SharedPartCount(std::span<const PromptPart> parts) {
  return parts.size() <= 1 ? parts.size() : parts.size() - 1;
}

size_t HashPrefixes(std::span<const PromptPart> parts, PrefixHashes& hashes) {
  const size_t count = std::min(parts.size(), kMaxPrefixes);
  uint64_t hash = 0;
  for (size_t i = 0; i < count; ++i) {
    hash = MixHashes(parts[i].id, hash);
    hashes[i] = hash;
  }
  return count;
}

}  // namespace fuchsiadrum::serving
