#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "fuchsiadrum/node/node.h"
#include "fuchsiadrum/node/node_parts.h"

namespace fuchsiadrum::node {

/// The operators' JSON interface on the admin port.
class AdminApi {
 public:
  explicit AdminApi(NodeParts& parts) : parts(parts) {}

  /// Answers one request. Records to append go to `out`.
  Node::AdminAnswer Handle(TimePoint now, const std::string& method,
                           const std::string& target, const std::string& body,
                           Outbox& out);

 private:
  struct Call {
    TimePoint now;
    std::string method;
    std::string path;  // below /admin/
    std::map<std::string, std::string, std::less<>> query;
    nlohmann::json body;
  };

  Node::AdminAnswer Route(const Call& call, Outbox& out);
  Node::AdminAnswer ListCatalogue() const;
  Node::AdminAnswer ShowEntry(std::string_view key) const;
  Node::AdminAnswer PostEdit(const Call& call, Outbox& out);
  Node::AdminAnswer CanonicalForm(const Call& call) const;
  Node::AdminAnswer ShowVerdict(const std::string& edit_id) const;
  Node::AdminAnswer ShowHistory(const Call& call) const;
  Node::AdminAnswer ShowHandover(const Call& call) const;
  Node::AdminAnswer ShowBudgets(const Call& call,
                                std::string_view organisation) const;
  Node::AdminAnswer PostTopUp(const Call& call, const std::string& organisation,
                              Outbox& out);
  Node::AdminAnswer ShowTopUp(const std::string& organisation,
                              const std::string& top_up_id) const;
  Node::AdminAnswer ShowFleet(const Call& call) const;
  Node::AdminAnswer ShowUpstreams() const;
  Node::AdminAnswer ShowLost(const Call& call) const;
  Node::AdminAnswer PostReopen(const Call& call, const std::string& shard,
                               Outbox& out);
  Node::AdminAnswer PostGiveUpGap(const Call& call);
  Node::AdminAnswer PostKey(const Call& call);
  Node::AdminAnswer ShowBurn(const Call& call, Outbox& out);
  /// Refuses records while the log is out of reach; they could wait for long.
  std::optional<Node::AdminAnswer> RefuseIfCutOff() const;

  NodeParts& parts;
  /// Edits that were handed to the log and not read back yet.
  mutable std::set<std::string> pending_edits;
};

}  // namespace fuchsiadrum::node
