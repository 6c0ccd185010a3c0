#pragma once

#include <string>
#include <vector>

#include "daemon/decision_core.h"

namespace fuchsiadrum::daemon {

/// The decision core of the fleet.
class NodeCore : public DecisionCore {
 public:
  explicit NodeCore(node::NodeOptions options) : node(std::move(options)) {}

  uint64_t NextLogOffset() const override { return this->node.NextLogOffset(); }
  void OnLogBatches(TimePoint now, uint64_t from,
                    const std::vector<std::string>& batches,
                    node::NodeActions& out) override {
    this->node.OnLogBatches(now, from, batches, out);
  }
  void OnLogBounds(TimePoint now, uint64_t first_retained, uint64_t end,
                   node::NodeActions& out) override {
    this->node.OnLogBounds(now, first_retained, end, out);
  }
  void OnLogUnreachable(TimePoint now, node::NodeActions& out) override {
    this->node.OnLogUnreachable(now, out);
  }
  void OnAppendAnswer(TimePoint now, bool stored,
                      node::NodeActions& out) override {
    this->node.OnAppendAnswer(now, stored, out);
  }
  void OnVmList(TimePoint now, const std::vector<node::ListedVm>& vms,
                node::NodeActions& out) override {
    this->node.OnVmList(now, vms, out);
  }
  void OnPeerMessage(TimePoint now, const VmRef& from,
                     const pb::PeerMessage& message,
                     node::NodeActions& out) override {
    this->node.OnPeerMessage(now, from, message, out);
  }
  void OnTick(TimePoint now, node::NodeActions& out) override {
    this->node.OnTick(now, out);
  }
  void OnRequest(TimePoint now, const node::RequestStart& request,
                 node::NodeActions& out) override {
    this->node.OnRequest(now, request, out);
  }
  void OnAttempt(TimePoint now, const node::AttemptEvent& event,
                 node::NodeActions& out) override {
    this->node.OnAttempt(now, event, out);
  }
  std::vector<node::UpstreamAddress> UpstreamsToPoll() const override {
    return this->node.UpstreamsToPoll();
  }
  void OnUpstreamReport(TimePoint now, const node::UpstreamReport& report,
                        node::NodeActions& out) override {
    this->node.OnUpstreamReport(now, report, out);
  }
  void OnOrderAnswer(TimePoint now, const std::string& upstream,
                     upstream::OrderAnswer answer,
                     node::NodeActions& out) override {
    this->node.OnOrderAnswer(now, upstream, answer, out);
  }
  node::Node::AdminAnswer OnAdmin(TimePoint now, const std::string& method,
                                  const std::string& target,
                                  const std::string& body,
                                  node::NodeActions& out) override {
    return this->node.OnAdmin(now, method, target, body, out);
  }
  std::string ReadyReason(TimePoint now) const override {
    return this->node.ReadyReason(now);
  }
  std::string Metrics(TimePoint now) const override {
    return this->node.Metrics(now);
  }
  void BeginDrain(TimePoint now, node::NodeActions& out) override {
    this->node.BeginDrain(now, out);
  }
  bool IsDrained() const override { return this->node.IsDrained(); }

 private:
  node::Node node;
};

}  // namespace fuchsiadrum::daemon
