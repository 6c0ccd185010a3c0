#include "fuchsiadrum/routing/prefix_index.h"

#include <algorithm>
#include <bit>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::routing {
namespace {

/// Shorter prefixes that are looked at after the deepest known one. Their
/// holders share less; more steps cost more than they find.
constexpr size_t kShallowSteps = 4;

/// A hash of 0 marks a free entry.
uint64_t NonZero(uint64_t hash) { return hash == 0 ? 1 : hash; }

}  // namespace

PrefixIndex::PrefixIndex(PrefixIndexOptions options) {
  const size_t capacity = std::bit_ceil(std::max(options.capacity, kWays));
  this->entries.resize(capacity);
  this->set_mask = capacity / kWays - 1;
}

void PrefixIndex::Match(std::span<const uint64_t> hashes,
                        PrefixMatch& match) const {
  match.count = 0;
  match.wide_depth = 0;
  size_t depth = this->DeepestKnown(hashes);

  // The deepest prefix first, then shorter ones at halving distances: sharing
  // usually ends at a few boundaries, not at every block.
  for (size_t step = 0; step < kShallowSteps && depth > 0; ++step) {
    const Entry* entry = this->Find(hashes[depth - 1]);
    if (entry != nullptr) {
      this->Collect(*entry, static_cast<uint32_t>(depth), match);
      if (entry->wide) break;
    }
    depth = step + 1 < kShallowSteps ? depth * 2 / 3 : 1;
  }
}

void PrefixIndex::Add(uint64_t hash, UpstreamIndex upstream) {
  FD_ASSERT(upstream <= kIndexMask, "prefix: upstream number too large");
  if (this->generations.size() <= upstream) {
    this->generations.resize(upstream + 1U, 0);
  }
  const uint64_t key = NonZero(hash);
  const size_t set = this->SetOf(key);
  Entry* entry = &this->entries[set];

  // The entry itself, or the least recently used one of its set.
  for (size_t way = 0; way < kWays; ++way) {
    Entry& candidate = this->entries[set + way];
    if (candidate.hash == key) {
      entry = &candidate;
      break;
    }
    if (candidate.last_use < entry->last_use) entry = &candidate;
  }
  if (entry->hash != key) *entry = Entry{.hash = key};
  entry->last_use = ++this->use_counter;

  const uint32_t tag = this->Tag(upstream);
  const auto end = entry->holders.begin() + entry->count;
  if (std::find(entry->holders.begin(), end, tag) != end) return;
  if (entry->count == kHolders) this->DropStale(*entry);
  if (entry->count == kHolders) {
    // The oldest holder makes room.
    std::rotate(entry->holders.begin(), entry->holders.begin() + 1,
                entry->holders.end());
    --entry->count;
    entry->wide = true;
  }
  entry->holders[entry->count++] = tag;
}

void PrefixIndex::Remove(uint64_t hash, UpstreamIndex upstream) {
  const uint64_t key = NonZero(hash);
  const size_t set = this->SetOf(key);
  for (size_t way = 0; way < kWays; ++way) {
    Entry& entry = this->entries[set + way];
    if (entry.hash != key) continue;
    size_t kept = 0;
    for (size_t i = 0; i < entry.count; ++i) {
      if ((entry.holders[i] & kIndexMask) != upstream) {
        entry.holders[kept++] = entry.holders[i];
      }
    }
    entry.count = static_cast<uint16_t>(kept);
    entry.wide = false;
  }
}

void PrefixIndex::Invalidate(UpstreamIndex upstream) {
  if (this->generations.size() <= upstream) return;
  ++this->generations[upstream];
}

const PrefixIndex::Entry* PrefixIndex::Find(uint64_t hash) const {
  const uint64_t key = NonZero(hash);
  const size_t set = this->SetOf(key);
  for (size_t way = 0; way < kWays; ++way) {
    if (this->entries[set + way].hash == key) return &this->entries[set + way];
  }
  return nullptr;
}

uint32_t PrefixIndex::Tag(UpstreamIndex upstream) const {
  // 12 bits of the generation: a hint would have to survive 4096 losses of the
  // same upstream's events to be taken for a current one.
  return upstream |
         (static_cast<uint32_t>(this->generations[upstream]) << kIndexBits);
}

bool PrefixIndex::IsCurrent(uint32_t tag) const {
  const UpstreamIndex upstream = tag & kIndexMask;
  return upstream < this->generations.size() && this->Tag(upstream) == tag;
}

void PrefixIndex::DropStale(Entry& entry) const {
  const auto end =
      std::remove_if(entry.holders.begin(), entry.holders.begin() + entry.count,
                     [this](uint32_t tag) { return !this->IsCurrent(tag); });
  entry.count = static_cast<uint16_t>(end - entry.holders.begin());
}

size_t PrefixIndex::DeepestKnown(std::span<const uint64_t> hashes) const {
  // A cached prefix implies its shorter ones, so the deepest is found by
  // bisection. An evicted shorter entry only makes the match too short.
  size_t low = 0;
  size_t high = hashes.size();
  while (low < high) {
    const size_t middle = (low + high + 1) / 2;
    if (this->Find(hashes[middle - 1]) != nullptr) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

void PrefixIndex::Collect(const Entry& entry, uint32_t depth,
                          PrefixMatch& match) const {
  if (entry.wide) match.wide_depth = std::max(match.wide_depth, depth);
  for (size_t i = 0; i < entry.count; ++i) {
    if (match.count == PrefixMatch::kMaxHolders) return;
    if (!this->IsCurrent(entry.holders[i])) continue;
    const UpstreamIndex upstream = entry.holders[i] & kIndexMask;
    const auto end = match.holders.begin() + match.count;
    const bool known = std::any_of(
        match.holders.begin(), end,
        [upstream](const auto& holder) { return holder.upstream == upstream; });
    if (!known) match.holders[match.count++] = {upstream, depth};
  }
}

}  // namespace fuchsiadrum::routing
