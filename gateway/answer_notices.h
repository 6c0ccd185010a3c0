#pragma once

#include <string>

#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/fleet_upstream.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {

/// The request to which an answer was read.
struct AnsweredRequest {
  const std::string& id;
  /// When the request was sent.
  TimePoint sent_at;
};

/// Applies what an upstream announces about itself in the head of an answer of
/// this exchange: its load, a time for which it asks to get no requests, its
/// limit, or that it is shutting down.
void ApplyNotices(GatewayCore& core, serving::FleetUpstream& upstream,
                  const serving::UpstreamAnswer& answer,
                  const AnsweredRequest& request);

}  // namespace fuchsiadrum::gateway
