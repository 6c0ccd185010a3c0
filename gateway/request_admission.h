#pragma once

#include <optional>

#include "gateway/active_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {

/// Looks up the request's route, organisation and service, and sets its
/// deadline. Returns the answer that refuses it, or nullopt if it may go on.
std::optional<GatewayAnswer> Admit(GatewayCore& core, ActiveRequest& active);

/// False if the gateway is stopping and an answer to the request, which Admit
/// has admitted, might come too late. `events_relayed`: events of its stream
/// that the caller has.
bool MaySendInStop(GatewayCore& core, ActiveRequest& active,
                   int events_relayed = 0);

}  // namespace fuchsiadrum::gateway
