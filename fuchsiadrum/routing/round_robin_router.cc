#include "fuchsiadrum/routing/round_robin_router.h"

namespace fuchsiadrum::routing {

RoundRobinRouter::RoundRobinRouter(upstream::UpstreamTable& table,
                                   const BaseRouterOptions& options)
    : BaseRouter(table, options),
      // Daemons start at different places, so that they do not run in step.
      next(this->rng.Below(1U << 16U)) {}

std::optional<UpstreamIndex> RoundRobinRouter::Pick(
    TimePoint /*now*/, const upstream::CandidateGroup& group,
    const RequestFeatures& request) {
  for (size_t tried = 0; tried < group.all.size(); ++tried) {
    const UpstreamIndex index = group.all[this->next++ % group.all.size()];
    if (this->IsEligible(index, request)) return index;
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::routing
