#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "daemon/caller_request.h"
#include "fuchsiadrum/node/node.h"

namespace fuchsiadrum::daemon {

// Items of the rings between the threads.

/// Front: a request arrived.
struct CallerArrived {
  CallerRequestPtr request;
};
/// Front: the caller closed its connection, or read too slowly.
struct CallerGone {
  node::RequestHandle handle = 0;
};
/// Front or admin: a call for DecisionCore::OnAdmin. `reply` is called in the
/// control thread.
struct AdminCall {
  std::string method;
  std::string target;
  std::string body;
  std::function<void(node::Node::AdminAnswer)> reply;
};
/// Admin: asks for readiness or metrics.
struct StatusCall {
  bool metrics = false;
  std::function<void(std::string)> reply;
};
using FromFront = std::variant<CallerArrived, CallerGone, AdminCall>;
using FromAdmin = std::variant<AdminCall, StatusCall>;

/// Control: order to the front, always a reply.
using ToFront = node::RequestAction;

/// Control: send a request to an upstream.
struct DispatchOrder {
  CallerRequestPtr request;
  node::RequestAction action;
};
/// Control: close the stream of an attempt.
struct CancelOrder {
  node::RequestHandle handle = 0;
  uint32_t attempt = 0;
};
/// Control: poll these upstreams now.
struct PollOrder {
  std::vector<node::UpstreamAddress> upstreams;
};
/// Upstream: an engine answered a placement order.
struct PlacementAnswered {
  std::string upstream;
  upstream::OrderAnswer answer = upstream::OrderAnswer::kNoAnswer;
};
using ToUpstream = std::variant<DispatchOrder, CancelOrder, PollOrder,
                                upstream::PlacementOrder>;
using FromUpstream =
    std::variant<node::AttemptEvent, node::UpstreamReport, PlacementAnswered>;

/// Control: messages for other daemons.
using ToPeers = std::vector<Envelope>;
/// Peers: a checked frame.
struct PeerArrival {
  VmRef from;
  std::vector<pb::PeerMessage> messages;
};

/// Control: read the log from this offset, after a pause if the last read
/// failed.
struct ReadOrder {
  uint64_t from = 0;
};
/// Control: append this batch.
struct AppendOrder {
  std::string batch;
};
using ToLog = std::variant<ReadOrder, AppendOrder>;

/// Log: result of a read; without bounds the log could not be reached.
struct LogRead {
  struct Bounds {
    uint64_t first = 0;
    uint64_t end = 0;
  };
  std::optional<Bounds> bounds;
  uint64_t from = 0;
  std::vector<std::string> batches;
};
/// Log: result of an append.
struct AppendAnswered {
  bool stored = false;
};
/// Log: the VM list was read.
struct VmListRead {
  std::vector<node::ListedVm> vms;
};
using FromLog = std::variant<LogRead, AppendAnswered, VmListRead>;

}  // namespace fuchsiadrum::daemon
