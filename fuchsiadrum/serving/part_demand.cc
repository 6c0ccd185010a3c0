#include "fuchsiadrum/serving/part_demand.h"

#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

double PartDemand::Add(TimePoint now, uint64_t part) {
  constexpr uint64_t kMix = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kShift = 40;
  const size_t set = ((part * kMix) >> kShift) % kSets * kWays;
  const double window = ToSeconds(kWindow);

  Entry* entry = nullptr;
  for (size_t way = 0; way < kWays; ++way) {
    Entry& candidate = this->entries[set + way];
    const double age = ToSeconds(now - candidate.updated_at);
    if (candidate.count > 0) candidate.count *= std::exp(-age / window);
    candidate.updated_at = now;
    if (candidate.count > 0 && candidate.part == part) {
      entry = &candidate;
      break;
    }
    if (entry == nullptr || candidate.count < entry->count) entry = &candidate;
  }
  if (entry->part != part) {
    entry->part = part;
    entry->count = 0;
  }
  entry->count += 1;
  return entry->count / window;
}

}  // namespace fuchsiadrum::serving
