#include "fuchsiadrum/routing/least_reported_router.h"

namespace fuchsiadrum::routing {

std::optional<UpstreamIndex> LeastReportedRouter::Pick(
    TimePoint /*now*/, const upstream::CandidateGroup& group,
    const RequestFeatures& request) {
  std::optional<UpstreamIndex> choice;
  int least = 0;
  uint64_t ties = 0;

  for (const UpstreamIndex index : group.all) {
    if (!this->IsEligible(index, request)) continue;
    const upstream::UpstreamState& state = this->table.At(index);
    const int load = state.running + state.queued;
    if (!choice || load < least) {
      choice = index;
      least = load;
      ties = 1;
    } else if (load == least && this->rng.Below(++ties) == 0) {
      choice = index;
    }
  }
  return choice;
}

}  // namespace fuchsiadrum::routing
