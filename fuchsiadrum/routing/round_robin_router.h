#pragma once

#include <cstddef>

#include "fuchsiadrum/routing/base_router.h"

namespace fuchsiadrum::routing {

/// Baseline: the next eligible candidate after the last choice.
class RoundRobinRouter final : public BaseRouter {
 public:
  RoundRobinRouter(upstream::UpstreamTable& table,
                   const BaseRouterOptions& options);

 protected:
  std::optional<UpstreamIndex> Pick(TimePoint now,
                                    const upstream::CandidateGroup& group,
                                    const RequestFeatures& request) override;

 private:
  size_t next = 0;
};

}  // namespace fuchsiadrum::routing
