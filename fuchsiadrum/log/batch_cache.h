#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace fuchsiadrum::log {

/// The latest serialised batches that this daemon read, for peers that do not
/// reach the log.
class BatchCache {
 public:
  explicit BatchCache(size_t max_bytes) : max_bytes(max_bytes) {}

  /// Adds batches from offset `from`. A gap behind the kept ones drops those.
  void Add(uint64_t from, const std::vector<std::string>& batches);
  /// Batches from offset `from`, up to the limits; at least one if it is kept.
  std::vector<std::string> Read(uint64_t from, size_t max_batches,
                                size_t max_read_bytes) const;
  /// First kept offset.
  uint64_t First() const { return this->first; }
  /// Offset behind the last kept batch.
  uint64_t End() const { return this->first + this->batches.size(); }

 private:
  size_t max_bytes;
  size_t bytes = 0;
  uint64_t first = 0;
  std::deque<std::string> batches;
};

}  // namespace fuchsiadrum::log
