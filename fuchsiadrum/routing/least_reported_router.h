#pragma once

#include "fuchsiadrum/routing/base_router.h"

namespace fuchsiadrum::routing {

/// Baseline: the candidate with the fewest requests in its last load report;
/// ties are broken at random.
class LeastReportedRouter final : public BaseRouter {
 public:
  using BaseRouter::BaseRouter;

 protected:
  std::optional<UpstreamIndex> Pick(TimePoint now,
                                    const upstream::CandidateGroup& group,
                                    const RequestFeatures& request) override;
};

}  // namespace fuchsiadrum::routing
