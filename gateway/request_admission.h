#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/active_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {

/// Size of a request as its head states it.
struct RequestSize {
  size_t head_bytes = 0;
  /// nullopt: the body comes in chunks.
  std::optional<uint64_t> body_bytes;
};

/// What was decided about a request on its head.
struct HeadAdmission {
  /// The answer that refuses it, or nullopt if its body may be read.
  std::optional<GatewayAnswer> refusal;
  /// Name of its organisation; empty if that is not known.
  std::string organisation;
  /// Number among the pending bodies of the VM (serving::PendingBodies); 0: it
  /// does not count.
  uint64_t pending = 0;
};

/// Decides whether the VM has the link and the processor for the request,
/// before its body is read, and logs a refusal. Requests that Admit is going to
/// refuse are let through.
HeadAdmission AdmitOnHead(GatewayCore& core,
                          const serving::CallerRequest& request,
                          const RequestSize& size);

/// Looks up the request's route, organisation and service, and sets its
/// deadline. Returns the answer that refuses it, or nullopt if it may go on.
std::optional<GatewayAnswer> Admit(GatewayCore& core, ActiveRequest& active);

/// False if the gateway is stopping and an answer to the request, which Admit
/// has admitted, might come too late. `events_relayed`: events of its stream
/// that the caller has.
bool MaySendInStop(GatewayCore& core, ActiveRequest& active,
                   int events_relayed = 0);

}  // namespace fuchsiadrum::gateway
