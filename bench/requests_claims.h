#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/request/claim_agent.h"

namespace fuchsiadrum::bench::requests {

/// How a daemon decides whether a request may run: the product's agent or a
/// baseline.
class ClaimRules {
 public:
  virtual ~ClaimRules() = default;
  virtual std::optional<request::Decision> Ask(TimePoint now,
                                               const request::Call& call,
                                               Outbox& out) = 0;
  virtual std::vector<request::Decision> TakeDecisions() = 0;
  virtual void Done(TimePoint now, const std::string& request_id,
                    const request::Completion& completion, Outbox& out) = 0;
  virtual void Abandon(TimePoint now, const std::string& request_id,
                       Outbox& out) = 0;
  virtual std::vector<request::Billing> TakeBillings() = 0;
  virtual std::optional<std::string> IssueKey() { return std::nullopt; }
  /// The product's agent; nullptr for a baseline.
  virtual request::ClaimAgent* Product() { return nullptr; }
  virtual void OnMessage(TimePoint /*now*/, const VmRef& /*from*/,
                         const pb::PeerMessage& /*message*/, Outbox& /*out*/) {}
  virtual void OnTick(TimePoint /*now*/, Outbox& /*out*/) {}
};

/// What a rule is made from.
struct ClaimContext {
  const request::ShardTable& table;
  const PeerView& peers;
  request::ClaimAgentOptions options;
  uint64_t seed = 0;
};

/// The product's rules (empty name), "no-claim" or "time-lease"; nullptr: no
/// such policy.
std::unique_ptr<ClaimRules> MakeClaimRules(const std::string& policy,
                                           const ClaimContext& context);

}  // namespace fuchsiadrum::bench::requests
