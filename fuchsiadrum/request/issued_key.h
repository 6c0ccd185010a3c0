#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::request {

/// What an idempotency key that the fleet issued says about itself.
struct IssuedKey {
  uint32_t shard = 0;
  /// Home term of the shard when the key was issued.
  LogPosition term;
};

/// A fresh idempotency key of a shard: "fd1-SHARD-OFFSET-INDEX-RANDOM".
std::string IssueKey(uint32_t shard, LogPosition term, Rng& rng);

/// Parts of a key made by IssueKey; nullopt for any other key.
std::optional<IssuedKey> ParseIssuedKey(std::string_view key);

}  // namespace fuchsiadrum::request
