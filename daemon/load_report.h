#pragma once

#include <string>

#include "fuchsiadrum/node/node.h"

namespace fuchsiadrum::daemon {

/// Reads the JSON of GET /v1/load. A report that is malformed is returned as
/// not reachable; single wrong values are left out.
node::UpstreamReport ParseLoadReport(const std::string& json);

/// Body of a placement order to an engine.
std::string PlacementOrderJson(const upstream::PlacementOrder& order);

}  // namespace fuchsiadrum::daemon
