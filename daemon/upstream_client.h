#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "daemon/connection_pool.h"
#include "daemon/daemon_metrics.h"
#include "daemon/messages.h"
#include "daemon/upstream_attempt.h"

namespace fuchsiadrum::daemon {

/// Bounds of the answers that are held in memory.
struct AnswerBounds {
  /// Bytes of one answer.
  size_t max_bytes = 4U << 20U;
  /// Bytes of all answers that are being read; 0: not limited.
  size_t max_total_bytes = 0;
};

/// Runs the attempts at the upstreams and polls their load, in the upstream
/// thread.
class UpstreamClient {
 public:
  UpstreamClient(const pb::UpstreamSettings& settings,
                 const AnswerBounds& bounds, asio::io_context& io_context,
                 Ring<ToUpstream>& from_control, Ring<FromUpstream>& to_control,
                 DaemonMetrics& daemon_metrics);

 private:
  using AttemptKey = std::pair<node::RequestHandle, uint32_t>;

  void OnOrder(ToUpstream& order);
  void Dispatch(DispatchOrder order);
  void Cancel(const CancelOrder& order);
  void OnEvent(node::AttemptEvent event);
  void Poll(const node::UpstreamAddress& upstream);
  /// Sends a placement order on a connection of its own.
  void Order(const upstream::PlacementOrder& order);
  /// The answer to a poll; `origin` tells whether it is.
  void OnLoad(const node::UpstreamAddress& upstream, const HttpAnswer& answer,
              upstream::AnswerOrigin origin);
  void Send(FromUpstream item);

  AttemptLimits limits;
  std::shared_ptr<ByteBudget> answer_memory;
  HttpCallLimits poll_limits;
  asio::io_context& context;
  Ring<ToUpstream>& orders;
  RingSender<FromUpstream> sender;
  ConnectionPool pool;
  ConnectionPool poll_pool;
  std::map<AttemptKey, std::shared_ptr<UpstreamAttempt>> attempts;
  std::map<std::string, std::shared_ptr<HttpCall>> polls;
  /// Number of the last poll, by which its answer is known.
  uint64_t last_poll = 0;
  std::map<std::string, std::shared_ptr<HttpCall>> placements;
};

}  // namespace fuchsiadrum::daemon
