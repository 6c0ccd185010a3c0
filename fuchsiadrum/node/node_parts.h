#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/escrow_agent.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/log/log_agent.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/membership/membership_agent.h"
#include "fuchsiadrum/node/burn_service.h"
#include "fuchsiadrum/node/node.h"
#include "fuchsiadrum/node/node_metrics.h"
#include "fuchsiadrum/node/request_observer.h"
#include "fuchsiadrum/node/request_pipeline.h"
#include "fuchsiadrum/request/admission.h"
#include "fuchsiadrum/request/claim_agent.h"
#include "fuchsiadrum/request/retry_budget.h"
#include "fuchsiadrum/request/shard_table.h"
#include "fuchsiadrum/routing/router.h"
#include "fuchsiadrum/upstream/placement_agent.h"
#include "fuchsiadrum/upstream/placement_owners.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::node {

/// All parts of one node, wired to each other. Made by Node, read by AdminApi.
struct NodeParts : public RequestObserver {
  explicit NodeParts(NodeOptions node_options);

  /// Counts the end of a request.
  void OnRequestEnd(TimePoint now, const RequestEnd& end) override;
  /// Takes the catalogue's upstreams and limits over after a change.
  void FollowCatalogue(TimePoint now);
  /// Hands records over to the appender, keeping what it does not take.
  void AddRecords(TimePoint now, std::vector<pb::Record> records);
  /// Moves the log's alarms to the operators' list.
  void TakeAlarms();
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
  upstream::PlacementOwners placement_owners;
  log::Replica replica;
  log::LogAgent log;
  upstream::UpstreamTable upstreams;
  upstream::PlacementAgent placement;
  BurnService burn;
  std::unique_ptr<routing::Router> router;
  request::Admission admission;
  request::RetryBudget retries;
  RequestPipeline pipeline;
  NodeMetrics metrics;
  /// Records that the appender has not taken yet.
  std::vector<pb::Record> backlog;
  /// Moment of the last batch or bounds that the log answered directly.
  TimePoint last_read;
  /// Next cache event expected from each upstream.
  std::map<std::string, uint64_t> cache_cursors;
  uint64_t catalogue_generation = 0;
  /// What operators have to look at, for example digests that differ.
  std::vector<std::string> alarms;
  /// Alarms that have not been written to the log yet.
  std::vector<std::string> new_alarms;
  bool draining = false;
};

}  // namespace fuchsiadrum::node
