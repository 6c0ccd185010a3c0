#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/escrow_agent.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/membership/membership_agent.h"
#include "fuchsiadrum/node/log_link.h"
#include "fuchsiadrum/node/node.h"
#include "fuchsiadrum/node/node_metrics.h"
#include "fuchsiadrum/node/request_observer.h"
#include "fuchsiadrum/node/request_pipeline.h"
#include "fuchsiadrum/request/admission.h"
#include "fuchsiadrum/request/claim_agent.h"
#include "fuchsiadrum/request/retry_budget.h"
#include "fuchsiadrum/request/shard_table.h"
#include "fuchsiadrum/routing/router.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::node {

/// All parts of one node, wired to each other. Made by Node, read by AdminApi.
struct NodeParts : public RequestObserver {
  explicit NodeParts(NodeOptions node_options);

  /// Counts the end of a request.
  void OnRequestEnd(TimePoint now, const RequestEnd& end) override;
  /// Takes the catalogue's upstreams and limits over after a change.
  void FollowCatalogue(TimePoint now);
  /// Tells the upstream table what peers say of leaving upstreams.
  void FollowHints(TimePoint now);

  NodeOptions options;
  Rng rng;
  catalogue::Catalogue catalogue;
  budget::Ledger ledger;
  request::ShardTable shards;
  membership::MembershipAgent membership;
  budget::EscrowAgent escrow;
  request::ClaimAgent claims;
  LogLink log;
  upstream::UpstreamTable upstreams;
  std::unique_ptr<routing::Router> router;
  request::Admission admission;
  request::RetryBudget retries;
  RequestPipeline pipeline;
  NodeMetrics metrics;
  /// Next cache event expected from each upstream.
  std::map<std::string, uint64_t> cache_cursors;
  uint64_t catalogue_generation = 0;
  /// What operators have to look at, for example digests that differ.
  std::vector<std::string> alarms;
  bool draining = false;
};

}  // namespace fuchsiadrum::node
