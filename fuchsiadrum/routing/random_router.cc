#include "fuchsiadrum/routing/random_router.h"

namespace fuchsiadrum::routing {

std::optional<UpstreamIndex> RandomRouter::Pick(
    TimePoint /*now*/, const upstream::CandidateGroup& group,
    const RequestFeatures& request) {
  std::optional<UpstreamIndex> choice;
  uint64_t seen = 0;
  for (const UpstreamIndex index : group.all) {
    if (!this->IsEligible(index, request)) continue;
    if (this->rng.Below(++seen) == 0) choice = index;
  }
  return choice;
}

}  // namespace fuchsiadrum::routing
