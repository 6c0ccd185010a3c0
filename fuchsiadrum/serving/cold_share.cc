#include "fuchsiadrum/serving/cold_share.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {
namespace {

/// Most ranks that are remembered: ids of upstreams that are gone would
/// otherwise pile up.
constexpr size_t kMaxRanks = 4096;

}  // namespace

void ColdShare::SetFleet(const FleetView& view) {
  if (view.vms != this->fleet.vms) this->ranks.clear();
  this->fleet = view;
}

bool ColdShare::IsFleetKnown(TimePoint now) const {
  if (this->fleet.reads < this->options.min_reads) return false;
  if (!this->fleet.vms.contains(this->options.vm)) return false;
  if (this->fleet.was_listed) return true;
  return this->fleet.first_heartbeat_at &&
         now - *this->fleet.first_heartbeat_at >= this->options.listing_time;
}

int ColdShare::RequestsPerPeriod(TimePoint now, const std::string& upstream,
                                 double bound) const {
  constexpr double kMaxRequests = 1000000;
  const auto requests = static_cast<size_t>(
      std::clamp(bound * this->options.bound_fraction, 0.0, kMaxRequests));
  if (requests == 0 || !this->IsFleetKnown(now)) return 0;

  const size_t vms = this->fleet.vms.size();
  if (vms <= requests) return static_cast<int>(requests / vms);
  return this->RankOf(upstream) < requests ? 1 : 0;
}

size_t ColdShare::RankOf(const std::string& upstream) const {
  const auto known = this->ranks.find(upstream);
  if (known != this->ranks.end()) return known->second;
  if (this->ranks.size() >= kMaxRanks) this->ranks.clear();

  const uint64_t seed = Hash64(upstream);
  const auto weight = [seed](const std::string& vm) {
    return std::pair(Hash64(vm, seed), vm);
  };
  const auto own = weight(this->options.vm);
  const auto above = std::ranges::count_if(
      this->fleet.vms, [&](const std::string& vm) { return weight(vm) > own; });
  return this->ranks[upstream] = static_cast<size_t>(above);
}

}  // namespace fuchsiadrum::serving
