#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiadrum::bench {

/// What happened to one append.
enum class AppendResult { kStored, kStoredAnswerLost, kFailed };

/// The platform's log: offsets, retention by count, outage, lost answers.
class FakeLog {
 public:
  /// Stores the batch; returns its offset.
  uint64_t Append(std::string batch);
  /// The batch at the offset; nullopt if it is trimmed or not yet written.
  std::optional<std::string> Read(uint64_t offset) const;
  /// Oldest offset that can be read.
  uint64_t FirstRetained() const { return this->first; }
  /// Offset of the next append.
  uint64_t End() const { return this->first + this->batches.size(); }
  /// Drops batches below the offset.
  void TrimBefore(uint64_t offset);

 private:
  uint64_t first = 0;
  std::deque<std::string> batches;
};

}  // namespace fuchsiadrum::bench
