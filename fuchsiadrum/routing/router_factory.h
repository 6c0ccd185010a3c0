#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "fuchsiadrum/routing/cost_router.h"
#include "fuchsiadrum/routing/router.h"

namespace fuchsiadrum::routing {

/// Names of the policies: "cost", "random", "round-robin", "least-reported" and
/// "affinity".
std::vector<std::string_view> PolicyNames();

/// A router of this policy that reads and updates `table`, which must outlive
/// it; nullptr: there is no such policy.
std::unique_ptr<Router> MakeRouter(std::string_view policy,
                                   upstream::UpstreamTable& table,
                                   const CostRouterOptions& options);

}  // namespace fuchsiadrum::routing
