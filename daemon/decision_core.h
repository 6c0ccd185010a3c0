#pragma once

#include <string>
#include <vector>

#include "fuchsiadrum/node/node.h"

namespace fuchsiadrum::daemon {

/// What the control thread drives. The daemon uses node::Node; tests use a
/// fake. See node::Node for the meaning of each call.
class DecisionCore {
 public:
  DecisionCore() = default;
  DecisionCore(const DecisionCore&) = delete;
  DecisionCore& operator=(const DecisionCore&) = delete;
  virtual ~DecisionCore() = default;

  virtual uint64_t NextLogOffset() const = 0;
  virtual void OnLogBatches(TimePoint now, uint64_t from,
                            const std::vector<std::string>& batches,
                            node::NodeActions& out) = 0;
  virtual void OnLogBounds(TimePoint now, uint64_t first_retained, uint64_t end,
                           node::NodeActions& out) = 0;
  virtual void OnLogUnreachable(TimePoint now, node::NodeActions& out) = 0;
  virtual void OnAppendAnswer(TimePoint now, bool stored,
                              node::NodeActions& out) = 0;
  virtual void OnVmList(TimePoint now, const std::vector<node::ListedVm>& vms,
                        node::NodeActions& out) = 0;
  virtual void OnPeerMessage(TimePoint now, const VmRef& from,
                             const pb::PeerMessage& message,
                             node::NodeActions& out) = 0;
  virtual void OnTick(TimePoint now, node::NodeActions& out) = 0;
  virtual void OnRequest(TimePoint now, const node::RequestStart& request,
                         node::NodeActions& out) = 0;
  virtual void OnAttempt(TimePoint now, const node::AttemptEvent& event,
                         node::NodeActions& out) = 0;
  virtual std::vector<node::UpstreamAddress> UpstreamsToPoll() const = 0;
  virtual void OnUpstreamReport(TimePoint now,
                                const node::UpstreamReport& report,
                                node::NodeActions& out) = 0;
  virtual void OnOrderAnswer(TimePoint /*now*/, const std::string& /*upstream*/,
                             upstream::OrderAnswer /*answer*/,
                             node::NodeActions& /*out*/) {}
  virtual node::Node::AdminAnswer OnAdmin(TimePoint now,
                                          const std::string& method,
                                          const std::string& target,
                                          const std::string& body,
                                          node::NodeActions& out) = 0;
  virtual std::string ReadyReason(TimePoint now) const = 0;
  virtual std::string Metrics(TimePoint now) const = 0;
  virtual void BeginDrain(TimePoint now, node::NodeActions& out) = 0;
  virtual bool IsDrained() const = 0;
};

}  // namespace fuchsiadrum::daemon
