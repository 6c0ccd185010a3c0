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
    return this->Resize(new_bytes, this->budget.most);
  }
  /// The same if all owners together hold `bound` bytes at most afterwards; 0:
  /// not limited.
  bool Resize(size_t new_bytes, size_t bound) {
    const size_t total = this->budget.held - this->bytes + new_bytes;
    if (new_bytes > this->bytes && bound > 0 && total > bound) return false;
    this->Set(new_bytes);
    return true;
  }
  /// Holds this many bytes from now on, whatever the budget allows.
  void Set(size_t new_bytes) {
    this->budget.held += new_bytes - this->bytes;
    this->bytes = new_bytes;
  }

 private:
  ByteBudget& budget;
  size_t bytes = 0;
};

}  // namespace fuchsiadrum
