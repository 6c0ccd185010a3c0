#pragma once

#include <cstddef>

namespace fuchsiadrum {

/// Bytes that parts of a process may hold in memory together. One thread.
class ByteBudget {
 public:
  /// `most_bytes` 0: not limited.
  explicit ByteBudget(size_t most_bytes) : most(most_bytes) {}

  size_t Held() const { return this->held; }

 private:
  friend class ByteHold;

  size_t most;
  size_t held = 0;
};

/// What one owner holds of a budget; given back at its end.
class ByteHold {
 public:
  explicit ByteHold(ByteBudget& byte_budget) : budget(byte_budget) {}
  ~ByteHold() { this->budget.held -= this->bytes; }
  ByteHold(const ByteHold&) = delete;
  ByteHold& operator=(const ByteHold&) = delete;

  /// Holds this many bytes from now on; false: the budget does not allow them,
  /// and nothing changes.
  bool Resize(size_t new_bytes) {
    const size_t total = this->budget.held - this->bytes + new_bytes;
    const bool grows = new_bytes > this->bytes;
    if (grows && this->budget.most > 0 && total > this->budget.most) {
      return false;
    }
    this->budget.held = total;
    this->bytes = new_bytes;
    return true;
  }

 private:
  ByteBudget& budget;
  size_t bytes = 0;
};

}  // namespace fuchsiadrum
