#include "fuchsiadrum/node/node_parts.h"

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

std::unique_ptr<routing::Router> MakeNodeRouter(
    const NodeOptions& options, upstream::UpstreamTable& upstreams) {
  routing::CostRouterOptions router_options;
  router_options.prefix_block = kPrefixBlockTokens;
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
      log({.fleet_key = this->options.fleet_key,
           .self = this->options.self.ref},
          {.self = this->options.self.ref,
           .fleet_key = this->options.fleet_key,
           .interval = Milliseconds(
               this->options.settings.platform().append_interval_ms())},
          {&this->catalogue, &this->ledger, &this->shards},
          {&this->escrow, &this->claims}),
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

void NodeParts::OnRequestEnd(TimePoint /*now*/, const RequestEnd& end) {
  this->metrics.Count(end);
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
