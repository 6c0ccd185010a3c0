#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of PendingBodies.
struct PendingBodiesOptions {
  /// Time for which an admitted request counts: as long as a link that admits
  /// requests takes for one, and a wait for tokens. A client that does not send
  /// what it has announced must not keep others out for longer.
  Duration max_age = std::chrono::milliseconds(300);
  /// Bytes that one request counts as at most: its transfer is limited by the
  /// window of its connection, so that others are sent between its packets.
  size_t max_bytes = 65536;
};

/// Requests that were admitted on their heads and are not forwarded yet: their
/// bytes are going to be sent on the link.
class PendingBodies {
 public:
  explicit PendingBodies(const PendingBodiesOptions& opts) : options(opts) {}

  /// Returns the number of the request, which is never 0.
  uint64_t Add(TimePoint now, size_t bytes) {
    const size_t counted = std::min(bytes, this->options.max_bytes);
    this->entries.emplace(++this->last, Entry{now, counted});
    this->bytes += counted;
    return this->last;
  }
  /// The request was forwarded or refused. Unknown numbers are ignored.
  void Remove(uint64_t number) {
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) return;
    this->bytes -= found->second.bytes;
    this->entries.erase(found);
  }
  /// Sum over the requests that still count.
  size_t Bytes(TimePoint now) {
    while (!this->entries.empty() &&
           now - this->entries.begin()->second.added_at >
               this->options.max_age) {
      this->Remove(this->entries.begin()->first);
    }
    return this->bytes;
  }

 private:
  struct Entry {
    TimePoint added_at;
    size_t bytes = 0;
  };

  PendingBodiesOptions options;
  /// By number, and so in the order in which they were added.
  std::map<uint64_t, Entry> entries;
  uint64_t last = 0;
  size_t bytes = 0;
};

}  // namespace fuchsiadrum::serving
