#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fuchsiadrum/upstream/upstream_state.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the index.
struct PrefixIndexOptions {
  /// Largest number of prefixes; rounded up to a power of two. The memory is
  /// allocated once.
  size_t capacity = 65536;
};

/// Upstreams that are thought to have a prefix of one prompt cached.
struct PrefixMatch {
  struct Holder {
    UpstreamIndex upstream = 0;
    /// Number of leading hashes that it holds.
    uint32_t depth = 0;
  };
  static constexpr size_t kMaxHolders = 16;
  std::array<Holder, kMaxHolders> holders{};
  size_t count = 0;
  /// Leading hashes that so many upstreams hold that the index does not name
  /// them all.
  uint32_t wide_depth = 0;

  /// Leading hashes that the upstream is thought to hold.
  uint32_t DepthOf(UpstreamIndex upstream) const {
    for (size_t i = 0; i < this->count; ++i) {
      if (this->holders[i].upstream == upstream) return this->holders[i].depth;
    }
    return this->wide_depth;
  }
};

/// Which upstream has which prompt prefix cached: hints in bounded memory from
/// own dispatches and late cache events. Sets of four entries replace their
/// least recently used one.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixIndexOptions options = {});

  /// Holders of the longest known prefixes.
  void Match(std::span<const uint64_t> hashes, PrefixMatch& match) const;
  /// The upstream holds this prefix.
  void Add(uint64_t hash, UpstreamIndex upstream);
  /// The upstream evicted this prefix.
  void Remove(uint64_t hash, UpstreamIndex upstream);
  /// All hints of this upstream are void: events were missed or it restarted.
  void Invalidate(UpstreamIndex upstream);

  /// Bytes for one prefix.
  static constexpr size_t EntryBytes() { return sizeof(Entry); }
  size_t Capacity() const { return this->entries.size(); }

 private:
  static constexpr size_t kHolders = 8;
  static constexpr size_t kWays = 4;
  static constexpr uint32_t kIndexBits = 20;
  static constexpr uint32_t kIndexMask = (1U << kIndexBits) - 1;

  struct Entry {
    uint64_t hash = 0;  // 0: free
    std::array<uint32_t, kHolders> holders{};
    uint32_t last_use = 0;
    uint16_t count = 0;
    bool wide = false;
  };

  size_t SetOf(uint64_t hash) const { return (hash & this->set_mask) * kWays; }
  const Entry* Find(uint64_t hash) const;
  uint32_t Tag(UpstreamIndex upstream) const;
  bool IsCurrent(uint32_t tag) const;
  void DropStale(Entry& entry) const;
  size_t DeepestKnown(std::span<const uint64_t> hashes) const;
  void Collect(const Entry& entry, uint32_t depth, PrefixMatch& match) const;

  std::vector<Entry> entries;
  uint64_t set_mask = 0;
  uint32_t use_counter = 0;
  /// Generation of each upstream's hints, in the upper bits of a tag.
  std::vector<uint16_t> generations;
};

}  // namespace fuchsiadrum::routing
