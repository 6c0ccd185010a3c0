#include "fuchsiadrum/serving/part_proofs.h"

#include <algorithm>

namespace fuchsiadrum::serving {

void PartProofs::Add(const std::vector<uint64_t>& parts) {
  for (const uint64_t part : parts) {
    const auto found = this->entries.find(part);
    if (found != this->entries.end()) {
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      continue;
    }
    this->recent.push_front(part);
    this->entries[part] = this->recent.begin();
  }
  while (this->recent.size() > this->capacity) {
    this->entries.erase(this->recent.back());
    this->recent.pop_back();
  }
}

bool PartProofs::HasAll(const std::vector<uint64_t>& parts) const {
  return std::ranges::all_of(
      parts, [this](uint64_t part) { return this->entries.contains(part); });
}

void PartProofs::Remove(uint64_t part) {
  const auto found = this->entries.find(part);
  if (found == this->entries.end()) return;
  this->recent.erase(found->second);
  this->entries.erase(found);
}

}  // namespace fuchsiadrum::serving
