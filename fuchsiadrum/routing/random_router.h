#pragma once

#include "fuchsiadrum/routing/base_router.h"

namespace fuchsiadrum::routing {

/// Baseline: any eligible candidate with the same probability.
class RandomRouter final : public BaseRouter {
 public:
  using BaseRouter::BaseRouter;

 protected:
  std::optional<UpstreamIndex> Pick(TimePoint now,
                                    const upstream::CandidateGroup& group,
                                    const RequestFeatures& request) override;
};

}  // namespace fuchsiadrum::routing
