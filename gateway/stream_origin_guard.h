#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/serving/stream_versions.h"
#include "gateway/active_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/gateway_core.h"

namespace fuchsiadrum::gateway {

/// Keeps one request's stream at upstreams of the software version that began
/// it: within the answer, and if the caller takes up a stream of an earlier
/// attempt. Requests on routes whose streams can't be taken up are not
/// concerned, but for the rest of their own answer.
class StreamOriginGuard {
 public:
  StreamOriginGuard(GatewayCore& gateway_core, ActiveRequest& active_request)
      : core(gateway_core), active(active_request) {}

  /// Finds the origin of the stream that the request takes up, if it does, and
  /// sets the service of the request to it. Returns the answer that refuses the
  /// request if the origin can't be known.
  asio::awaitable<std::optional<GatewayAnswer>> Find();
  /// Returns whether an upstream of one service may be sent the request now;
  /// empty: all may. To be used at once.
  std::function<bool(const serving::UpstreamEntry&)> Filter() const;
  /// The request is sent to the upstream.
  void OnSend(const serving::FleetUpstream& upstream);
  /// To be awaited before the first event of an attempt is forwarded. Returns
  /// false if its upstream may have another version than the stream, or if the
  /// stream's origin could not be recorded in time; then no event may be
  /// forwarded.
  asio::awaitable<bool> BeginStream(const serving::FleetUpstream& upstream);
  /// Version to which the stream is bound; empty: to none.
  std::string_view Version() const;

 private:
  /// True if an upstream of the origin's version serves. Only with an origin.
  bool IsServed() const;
  bool IsTakenUpLater() const;
  bool Accepts(const serving::UpstreamEntry& entry) const;
  std::optional<GatewayAnswer> Bind(const serving::FoundOrigin& found);

  GatewayCore& core;
  ActiveRequest& active;
  /// Name of the stream that this request's attempt begins; set by OnSend if it
  /// may be taken up.
  std::string stream;
  /// Origin of the events that the caller has.
  std::optional<serving::StreamOrigin> origin;
  /// The caller has events that came when no upstream of the service was known
  /// to name a version. Once one does, nothing tells which of them may go on.
  bool is_unversioned = false;
  /// Origin of the attempt that was sent last.
  serving::StreamOrigin sent;
  bool needs_record = false;
};

}  // namespace fuchsiadrum::gateway
