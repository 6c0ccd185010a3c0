#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// How often requests with each shared prompt part come to this VM. Memory is
/// fixed: sets of four entries replace the least demanded one.
class PartDemand {
 public:
  /// A request with this part has come. Returns the requests per second over
  /// the last kWindow.
  double Add(TimePoint now, uint64_t part);

  /// Time over which requests are counted: short enough to follow a caller who
  /// begins, and long enough for a few requests where a VM gets one every few
  /// seconds.
  static constexpr Duration kWindow = std::chrono::seconds(20);

 private:
  static constexpr size_t kWays = 4;
  static constexpr size_t kSets = 128;
  struct Entry {
    uint64_t part = 0;
    /// Exponentially decayed number of requests.
    double count = 0;
    TimePoint updated_at;
  };

  std::array<Entry, kSets * kWays> entries{};
};

}  // namespace fuchsiadrum::serving
