#include "fuchsiadrum/node/node_parts.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/routing/router_factory.h"

namespace fuchsiadrum::node {
namespace {

/// Tokens that one prefix hash of the front door covers: 512 bytes at its
/// bound of 3 bytes for each token.
constexpr int64_t kPrefixBlockTokens = 170;
constexpr size_t kMostAlarms = 100;
/// Requests that the fleet sends for each own one between two load reports, as
/// a share of its daemons; 6 for nine daemons did best in bench routing.
constexpr double kOthersShare = 2.0 / 3.0;

Duration Milliseconds(uint32_t ms) { return std::chrono::milliseconds(ms); }

std::vector<std::string> ZonesOf(const NodeOptions& options) {
  std::set<std::string> zones = {options.self.availability_zone};
  for (const VmInfo& peer : options.configured_peers) {
    zones.insert(peer.availability_zone);
  }
  return {zones.begin(), zones.end()};
}

budget::EscrowAgentOptions BudgetOptions(const pb::DaemonSettings& settings) {
  budget::EscrowAgentOptions options;
  if (settings.budget().preset() == "darilni-zreb") {
    options.sizes = budget::GrantSizerOptions::DarilniZreb();
  }
  options.sizes.fine_step = Tokens(settings.budget().fine_step_tokens());
  options.sizes.coarse_step = Tokens(settings.budget().coarse_step_tokens());
  options.seal_after = Milliseconds(settings.peer().seal_after_ms());
  options.suspect_after = Milliseconds(settings.peer().suspect_after_ms());
  return options;
}

request::ClaimAgentOptions ClaimOptions(const pb::DaemonSettings& settings) {
  request::ClaimAgentOptions options;
  options.claim_timeout = Milliseconds(settings.request().claim_timeout_ms());
  options.max_answer_bytes = settings.request().answer_memory_bytes();
  options.key_lifetime =
      std::chrono::seconds(settings.request().answer_keep_s());
  return options;
}

log::LogAgentOptions LogOptions(const NodeOptions& options) {
  log::LogAgentOptions log_options;
  log_options.appender.self = options.self.ref;
  log_options.appender.fleet_key = options.fleet_key;
  log_options.appender.interval =
      Milliseconds(options.settings.platform().append_interval_ms());
  log_options.server.fleet_key = options.fleet_key;
  log_options.schedule.retention =
      std::chrono::seconds(options.settings.platform().retention_s());
  for (const VmInfo& peer : options.configured_peers) {
    log_options.members.push_back(peer.ref.vm);
  }
  return log_options;
}

std::unique_ptr<routing::Router> MakeNodeRouter(
    const NodeOptions& options, upstream::UpstreamTable& upstreams) {
  routing::CostRouterOptions router_options;
  router_options.prefix_block = kPrefixBlockTokens;
  const auto daemons = static_cast<double>(options.configured_peers.size() + 1);
  router_options.fleet_factor = std::max(1.0, daemons * kOthersShare);
  auto router = routing::MakeRouter(options.settings.upstream().policy(),
                                    upstreams, router_options);
  FD_ASSERT(router != nullptr, "node: unknown routing policy");
  return router;
}

}  // namespace

NodeParts::NodeParts(NodeOptions node_options)
    : options(std::move(node_options)),
      rng(this->options.seed),
      catalogue({.root_name = this->options.settings.operators().root_name(),
                 .root_public_key = FromHex(
                     this->options.settings.operators().root_public_key())}),
      shards({.shards = this->options.settings.request().shards(),
              .zones = ZonesOf(this->options)}),
      membership({.self = this->options.self,
                  .configured_peers = this->options.configured_peers,
                  .heartbeat = Milliseconds(
                      this->options.settings.peer().heartbeat_ms()),
                  .suspect_after = Milliseconds(
                      this->options.settings.peer().suspect_after_ms())}),
      escrow(this->ledger, this->membership,
             BudgetOptions(this->options.settings), this->rng.Fork("budget")),
      claims(this->shards, this->membership,
             ClaimOptions(this->options.settings), this->rng.Fork("request")),
      replica({.fleet_key = this->options.fleet_key,
               .self = this->options.self.ref},
              {&this->catalogue, &this->ledger, &this->shards,
               &this->placement_owners},
              {&this->escrow, &this->claims}),
      log(LogOptions(this->options), this->replica, this->membership),
      placement({}, this->membership, this->placement_owners, this->upstreams),
      burn(this->membership, this->catalogue),
      router(MakeNodeRouter(this->options, this->upstreams)),
      admission(request::AdmissionOptions{}),
      retries(request::RetryBudgetOptions{}, this->rng.Fork("retry")),
      pipeline({.catalogue = this->catalogue,
                .admission = this->admission,
                .claims = this->claims,
                .escrow = this->escrow,
                .router = *this->router,
                .upstreams = this->upstreams,
                .retries = this->retries,
                .observer = *this},
               {.availability_zone = this->options.self.availability_zone,
                .max_in_flight = static_cast<int>(
                    this->options.settings.request().max_in_flight()),
                .budget_wait =
                    Milliseconds(this->options.settings.budget().wait_ms())}) {}

void NodeParts::OnRequestEnd(TimePoint now, const RequestEnd& end) {
  this->metrics.Count(end);
  this->burn.OnRequestEnd(now, end);
}

void NodeParts::AddRecords(TimePoint now, std::vector<pb::Record> records) {
  this->backlog.insert(this->backlog.end(),
                       std::make_move_iterator(records.begin()),
                       std::make_move_iterator(records.end()));
  if (this->backlog.empty()) return;
  if (this->log.AddRecords(now, this->backlog)) {
    this->backlog.clear();
    return;
  }
  // A backlog larger than the appender's queue goes over piece by piece.
  size_t taken = 0;
  while (taken < this->backlog.size() &&
         this->log.AddRecords(now, {this->backlog[taken]})) {
    ++taken;
  }
  this->backlog.erase(this->backlog.begin(),
                      this->backlog.begin() + static_cast<ptrdiff_t>(taken));
}

void NodeParts::TakeAlarms() {
  for (const Reason& alarm : this->log.TakeAlarms()) {
    this->alarms.push_back(alarm.ToString());
    this->new_alarms.push_back(alarm.ToString());
    if (this->alarms.size() > kMostAlarms) {
      this->alarms.erase(this->alarms.begin());
    }
  }
}

void NodeParts::FollowCatalogue(TimePoint now) {
  if (this->catalogue.Generation() == this->catalogue_generation) return;
  this->catalogue_generation = this->catalogue.Generation();

  std::set<std::string> present;
  for (const auto* row : this->catalogue.OfKind("upstream")) {
    this->upstreams.Put(now, row->entry.name(), row->entry.upstream());
    present.insert(row->entry.name());
  }
  std::vector<std::string> gone;
  for (upstream::UpstreamIndex i = 0; i < this->upstreams.Slots(); ++i) {
    const auto& state = this->upstreams.At(i);
    if (state.present && !present.contains(state.name)) {
      gone.push_back(state.name);
    }
  }
  for (const std::string& name : gone) {
    this->upstreams.Remove(name);
    this->retries.Forget(name);
    this->cache_cursors.erase(name);
  }
  std::vector<pb::Placement> placements;
  for (const auto* row : this->catalogue.OfKind("placement")) {
    placements.push_back(row->entry.placement());
  }
  this->placement.SetWanted(placements);
  this->burn.FollowCatalogue();
  for (const auto* row : this->catalogue.OfKind("organisation")) {
    const pb::Organisation& organisation = row->entry.organisation();
    this->admission.SetLimits(
        row->entry.name(),
        {.max_concurrent = organisation.max_concurrent_requests(),
         .max_tokens_per_second = organisation.max_tokens_per_second()});
  }
}

void NodeParts::FollowHints(TimePoint now) {
  for (const std::string& name : this->membership.LeavingUpstreams()) {
    pb::UpstreamHint hint;
    hint.set_upstream(name);
    hint.set_leaving(true);
    this->upstreams.OnHint(now, hint);
  }
}

}  // namespace fuchsiadrum::node
