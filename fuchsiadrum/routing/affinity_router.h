#pragma once

#include "fuchsiadrum/routing/base_router.h"

namespace fuchsiadrum::routing {

/// Baseline: pure affinity. The prompt's prefix alone decides, by rendezvous
/// hashing; load and speed do not count. Its hit ratio is the reference for
/// the other policies.
class AffinityRouter final : public BaseRouter {
 public:
  using BaseRouter::BaseRouter;

 protected:
  std::optional<UpstreamIndex> Pick(TimePoint now,
                                    const upstream::CandidateGroup& group,
                                    const RequestFeatures& request) override;
};

}  // namespace fuchsiadrum::routing
