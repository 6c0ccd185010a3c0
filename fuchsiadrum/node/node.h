#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/node/request_events.h"
#include "fuchsiadrum/upstream/placement_agent.h"
#include "schema/settings.pb.h"

namespace fuchsiadrum::node {

/// Options of a node.
struct NodeOptions {
  /// This daemon; the incarnation differs with each start.
  VmInfo self;
  /// The other daemons that the settings name; their incarnations are 0.
  std::vector<VmInfo> configured_peers;
  /// Key of the fleet, for MACs on the log.
  std::string fleet_key;
  /// Checked settings.
  pb::DaemonSettings settings;
  /// Seed of the node's random choices.
  uint64_t seed = 1;
};

/// What the daemon has to do after a call. The daemon empties it.
struct NodeActions {
  /// Messages to other daemons.
  std::vector<Envelope> messages;
  /// Orders to the front door.
  std::vector<RequestAction> requests;
  /// Serialised batch to append to the log; at most one is in flight until
  /// OnAppendAnswer.
  std::optional<std::string> append;
  /// Placement orders to send to engines, once each; see OnOrderAnswer.
  std::vector<upstream::PlacementOrder> orders;
  /// Lines for the log, already prefixed, with a severity of Boost.Log's names.
  struct LogLine {
    std::string severity;
    std::string text;
  };
  std::vector<LogLine> log_lines;
};

/// One entry of the platform's VM list.
struct ListedVm {
  std::string name;
  bool leaving = false;
};

/// Load report of an upstream, as polled by the daemon.
struct UpstreamReport {
  std::string upstream;
  bool reachable = false;
  int running = 0;
  int queued = 0;
  /// Tokens/s that the upstream claims; 0: not reported.
  double tokens_per_second = 0;
  std::vector<std::string> models;
  std::string version;
  std::string role;
  bool leaving = false;
  /// Cache events since the last report: hashes of cached prefixes and the
  /// sequence of the first one.
  uint64_t cache_sequence = 0;
  std::vector<uint64_t> cached_prefixes;
};

/// An upstream that the daemon has to poll.
struct UpstreamAddress {
  std::string upstream;
  std::string address;
};

/// The whole decision core of one daemon. All calls come from one thread.
class Node {
 public:
  explicit Node(NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Offset from which the daemon has to read the log next.
  uint64_t NextLogOffset() const;
  /// Consecutive batches of the log from offset `from`.
  void OnLogBatches(TimePoint now, uint64_t from,
                    const std::vector<std::string>& batches, NodeActions& out);
  /// The log answered a read. `first_retained` and `end` are its bounds.
  void OnLogBounds(TimePoint now, uint64_t first_retained, uint64_t end,
                   NodeActions& out);
  /// A read of the log failed.
  void OnLogUnreachable(TimePoint now, NodeActions& out);
  /// The append in flight was answered; false: refused or no answer.
  void OnAppendAnswer(TimePoint now, bool stored, NodeActions& out);

  /// The platform's VM list was read.
  void OnVmList(TimePoint now, const std::vector<ListedVm>& vms,
                NodeActions& out);
  /// A message of another daemon whose MAC was valid.
  void OnPeerMessage(TimePoint now, const VmRef& from,
                     const pb::PeerMessage& message, NodeActions& out);
  /// Call every 10 to 100 ms.
  void OnTick(TimePoint now, NodeActions& out);

  /// A caller's request.
  void OnRequest(TimePoint now, const RequestStart& request, NodeActions& out);
  /// Progress or end of an attempt.
  void OnAttempt(TimePoint now, const AttemptEvent& event, NodeActions& out);

  /// Upstreams to poll for load.
  std::vector<UpstreamAddress> UpstreamsToPoll() const;
  /// A poll of an upstream was answered or failed.
  void OnUpstreamReport(TimePoint now, const UpstreamReport& report,
                        NodeActions& out);

  /// A placement order was answered or given up.
  void OnOrderAnswer(TimePoint now, const std::string& upstream,
                     upstream::OrderAnswer answer, NodeActions& out);

  /// Operators' request on the admin port: a path below /admin/ and a JSON
  /// body, or /report/burn. An edit is only handed to the log; its verdict is
  /// asked for by its id later.
  struct AdminAnswer {
    int status = 200;
    std::string json;
    std::string content_type = "application/json";
  };
  AdminAnswer OnAdmin(TimePoint now, const std::string& method,
                      const std::string& target, const std::string& body,
                      NodeActions& out);
  /// True when callers' requests may be sent to this daemon.
  bool IsReady(TimePoint now) const;
  /// Why it is not ready; empty when it is.
  std::string ReadyReason(TimePoint now) const;
  /// Metrics in Prometheus text format.
  std::string Metrics(TimePoint now) const;

  /// Starts a planned stop.
  void BeginDrain(TimePoint now, NodeActions& out);
  /// True when the daemon may exit.
  bool IsDrained() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace fuchsiadrum::node
