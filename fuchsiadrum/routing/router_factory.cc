#include "fuchsiadrum/routing/router_factory.h"

#include "fuchsiadrum/routing/affinity_router.h"
#include "fuchsiadrum/routing/least_reported_router.h"
#include "fuchsiadrum/routing/random_router.h"
#include "fuchsiadrum/routing/round_robin_router.h"

namespace fuchsiadrum::routing {

std::vector<std::string_view> PolicyNames() {
  return {"cost", "random", "round-robin", "least-reported", "affinity"};
}

std::unique_ptr<Router> MakeRouter(std::string_view policy,
                                   upstream::UpstreamTable& table,
                                   const CostRouterOptions& options) {
  if (policy == "cost") return std::make_unique<CostRouter>(table, options);
  if (policy == "random") {
    return std::make_unique<RandomRouter>(table, options.base);
  }
  if (policy == "round-robin") {
    return std::make_unique<RoundRobinRouter>(table, options.base);
  }
  if (policy == "least-reported") {
    return std::make_unique<LeastReportedRouter>(table, options.base);
  }
  if (policy == "affinity") {
    return std::make_unique<AffinityRouter>(table, options.base);
  }
  return nullptr;
}

}  // namespace fuchsiadrum::routing
