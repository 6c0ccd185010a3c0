#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace fuchsiadrum::serving {

/// Parts of prompts that this gateway has seen to be sound, by runs that went
/// on or ended well. Holds a bounded number, of which the least recently proven
/// ones are forgotten.
class PartProofs {
 public:
  explicit PartProofs(size_t max_parts) : capacity(max_parts) {}

  void Add(const std::vector<uint64_t>& parts);
  /// True if each of the parts was proven sound.
  bool HasAll(const std::vector<uint64_t>& parts) const;
  /// The part was in a lost run: what was proven of it before counts no more.
  void Remove(uint64_t part);

 private:
  size_t capacity;
  std::list<uint64_t> recent;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries;
};

}  // namespace fuchsiadrum::serving
