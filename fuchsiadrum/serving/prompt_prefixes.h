#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "fuchsiadrum/serving/fleet_upstream.h"

namespace fuchsiadrum::serving {

/// Prompts of more parts are told apart by their first ones.
constexpr size_t kMaxPrefixes = 16;

/// The hashes of the growing prefixes of a prompt.
using PrefixHashes = std::array<uint64_t, kMaxPrefixes>;

/// Mixes two numbers to a hash that is equal on all machines.
uint64_t MixHashes(uint64_t first, uint64_t second);

/// Returns the number of leading parts that other requests may share. The last
/// part of a prompt belongs to one request or session.
size_t SharedPartCount(std::span<const PromptPart> parts);

/// Writes the hashes of the growing prefixes and returns their number.
size_t HashPrefixes(std::span<const PromptPart> parts, PrefixHashes& hashes);

}  // namespace fuchsiadrum::serving
