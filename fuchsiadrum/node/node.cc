#include "fuchsiadrum/node/node.h"

#include <iterator>
#include <utility>

#include "fuchsiadrum/node/admin_api.h"
#include "fuchsiadrum/node/node_parts.h"

namespace fuchsiadrum::node {

/// The parts with the outbox that they share.
struct Node::Parts : public NodeParts {
  explicit Parts(NodeOptions node_options)
      : NodeParts(std::move(node_options)), admin(*this) {}

  /// Hands messages, records and orders over to the caller.
  void Flush(TimePoint now, NodeActions& out);

  AdminApi admin;
  Outbox outbox;
};

void Node::Parts::Flush(TimePoint now, NodeActions& out) {
  this->FollowCatalogue(now);
  this->pipeline.Advance(now, this->outbox);
  this->AddRecords(now, std::exchange(this->outbox.records, {}));
  if (auto batch = this->log.NextAppend(now, this->outbox)) {
    out.append = std::move(batch);
  }
  std::move(this->outbox.messages.begin(), this->outbox.messages.end(),
            std::back_inserter(out.messages));
  this->outbox.messages.clear();
  for (std::string& alarm : this->new_alarms) {
    out.log_lines.push_back({"error", "alarm: " + std::move(alarm)});
  }
  this->new_alarms.clear();
  auto actions = this->pipeline.TakeActions();
  std::move(actions.begin(), actions.end(), std::back_inserter(out.requests));
}

Node::Node(NodeOptions options)
    : parts(std::make_unique<Parts>(std::move(options))) {}

Node::~Node() = default;

uint64_t Node::NextLogOffset() const { return this->parts->log.NextOffset(); }

void Node::OnLogBatches(TimePoint now, uint64_t from,
                        const std::vector<std::string>& batches,
                        NodeActions& out) {
  this->parts->last_read = now;
  this->parts->log.OnLogBatches(now, from, batches, this->parts->outbox);
  this->parts->Flush(now, out);
}

void Node::OnLogBounds(TimePoint now, uint64_t first_retained, uint64_t end,
                       NodeActions& out) {
  this->parts->last_read = now;
  this->parts->log.OnLogBounds(now, first_retained, end);
  if (this->parts->replica.FoldedOffset() >= end) {
    this->parts->placement.OnLogEndRead(now);
  }
  this->parts->Flush(now, out);
}

void Node::OnLogUnreachable(TimePoint now, NodeActions& out) {
  this->parts->log.OnLogUnreachable(now);
  this->parts->Flush(now, out);
}

void Node::OnAppendAnswer(TimePoint now, bool stored, NodeActions& out) {
  this->parts->log.OnAppendAnswer(now, stored);
  this->parts->Flush(now, out);
}

void Node::OnVmList(TimePoint now, const std::vector<ListedVm>& vms,
                    NodeActions& out) {
  std::vector<membership::ListedPeer> listed;
  listed.reserve(vms.size());
  for (const ListedVm& vm : vms) {
    listed.push_back({.name = vm.name, .leaving = vm.leaving});
    if (!this->parts->upstreams.Find(vm.name)) continue;
    this->parts->upstreams.SetLeaving(
        now, vm.name, upstream::LeavingSource::kVmList, vm.leaving);
  }
  this->parts->membership.OnVmList(now, listed);
  this->parts->Flush(now, out);
}

void Node::OnPeerMessage(TimePoint now, const VmRef& from,
                         const pb::PeerMessage& message, NodeActions& out) {
  Outbox& outbox = this->parts->outbox;
  this->parts->membership.OnMessage(now, from, message, outbox);
  this->parts->escrow.OnMessage(now, from, message, outbox);
  this->parts->claims.OnMessage(now, from, message, outbox);
  this->parts->log.OnMessage(now, from, message, outbox);
  this->parts->burn.OnMessage(now, from, message, outbox);
  this->parts->Flush(now, out);
}

void Node::OnTick(TimePoint now, NodeActions& out) {
  Parts& all = *this->parts;
  const log::Replica& replica = all.replica;
  const auto digest = replica.LatestDigest();
  all.membership.SetOwnStatus(
      {.log_offset = replica.FoldedOffset(),
       .digest = digest ? digest->second : 0,
       .digest_offset = digest ? digest->first : 0,
       .log_reachable = all.log.IsDirect(now),
       .load = static_cast<double>(all.admission.Running()) /
               all.options.settings.request().max_in_flight()});
  all.membership.SetRelayReachable(all.log.IsRelayReachable(now));
  all.membership.OnTick(now, all.outbox);
  all.log.OnTick(now, all.outbox);
  all.TakeAlarms();
  all.FollowHints(now);
  all.upstreams.OnTick(now);
  all.router->OnTick(now);
  if (replica.IsReady()) {
    all.escrow.OnTick(now, all.outbox);
    all.claims.OnTick(now, all.outbox);
    all.placement.OnTick(now, all.outbox);
    for (auto& order : all.placement.TakeOrders()) {
      out.orders.push_back(std::move(order));
    }
  }
  all.pipeline.OnTick(now, all.outbox);
  all.Flush(now, out);
}

void Node::OnRequest(TimePoint now, const RequestStart& request,
                     NodeActions& out) {
  const std::string why = this->ReadyReason(now);
  if (why.empty()) {
    this->parts->pipeline.OnRequest(now, request, this->parts->outbox);
  } else {
    RequestAction refusal;
    refusal.handle = request.handle;
    refusal.status = 503;
    // An earlier attempt with the key may have run through another daemon.
    refusal.outcome =
        request.idempotency_key.empty() ? Outcome::kNotRun : Outcome::kUnknown;
    refusal.step = "ready";
    refusal.reason = why;
    refusal.retry_after_s = 1;
    out.requests.push_back(std::move(refusal));
  }
  this->parts->Flush(now, out);
}

void Node::OnAttempt(TimePoint now, const AttemptEvent& event,
                     NodeActions& out) {
  this->parts->pipeline.OnAttempt(now, event, this->parts->outbox);
  this->parts->Flush(now, out);
}

std::vector<UpstreamAddress> Node::UpstreamsToPoll() const {
  std::vector<UpstreamAddress> out;
  const auto& table = this->parts->upstreams;
  for (upstream::UpstreamIndex i = 0; i < table.Slots(); ++i) {
    const auto& state = table.At(i);
    if (state.present) out.push_back({state.name, state.address});
  }
  return out;
}

void Node::OnUpstreamReport(TimePoint now, const UpstreamReport& report,
                            NodeActions& out) {
  Parts& all = *this->parts;
  const auto index = all.upstreams.Find(report.upstream);
  if (!index) return;
  const bool was_leaving = !all.upstreams.At(*index).AcceptsWork();
  all.upstreams.OnReport(now, report.upstream,
                         {.reachable = report.reachable,
                          .running = report.running,
                          .queued = report.queued,
                          .tokens_per_second = report.tokens_per_second,
                          .models = report.models,
                          .version = report.version,
                          .role = report.role,
                          .leaving = report.leaving});
  if (report.reachable) {
    // Reports repeat events; the router wants each one once.
    uint64_t& cursor = all.cache_cursors[report.upstream];
    const uint64_t first = report.cache_sequence;
    const uint64_t end = first + report.cached_prefixes.size();
    const uint64_t skip = cursor > first && cursor <= end ? cursor - first : 0;
    cursor = end;
    const std::span<const uint64_t> stored(report.cached_prefixes);
    all.router->OnReport(
        now, *index,
        {.first_sequence = first + skip, .stored = stored.subspan(skip)});
  }
  if (report.leaving && !was_leaving) {
    all.membership.NoteLeaving(now, report.upstream, all.outbox);
  }
  all.Flush(now, out);
}

void Node::OnOrderAnswer(TimePoint now, const std::string& upstream,
                         upstream::OrderAnswer answer, NodeActions& out) {
  this->parts->placement.OnOrderAnswer(now, upstream, answer);
  this->parts->Flush(now, out);
}

Node::AdminAnswer Node::OnAdmin(TimePoint now, const std::string& method,
                                const std::string& target,
                                const std::string& body, NodeActions& out) {
  AdminAnswer answer =
      this->parts->admin.Handle(now, method, target, body, this->parts->outbox);
  this->parts->Flush(now, out);
  return answer;
}

bool Node::IsReady(TimePoint now) const {
  return this->ReadyReason(now).empty();
}

std::string Node::ReadyReason(TimePoint /*now*/) const {
  if (this->parts->draining) return "the daemon is stopping";
  const log::Replica& replica = this->parts->replica;
  if (!replica.IsReady()) {
    const std::string& why = replica.LastReason().text;
    return why.empty() ? "the state has not been read yet" : why;
  }
  return {};
}

std::string Node::Metrics(TimePoint now) const {
  const Parts& all = *this->parts;
  const auto& counters = all.replica.Counters();
  std::string out = all.metrics.Text();
  out += NodeMetrics::Line("log_next_offset",
                           static_cast<double>(all.replica.NextOffset()));
  out += NodeMetrics::Line(
      "log_age_seconds",
      std::chrono::duration<double>(now - all.last_read).count());
  out += NodeMetrics::Line("log_bad_mac_total",
                           static_cast<double>(counters.bad_macs));
  out += NodeMetrics::Line("log_malformed_total",
                           static_cast<double>(counters.malformed));
  out += NodeMetrics::Line("log_digest_alarms_total",
                           static_cast<double>(counters.digest_alarms));
  out += NodeMetrics::Line(
      "peers_alive", static_cast<double>(all.membership.AlivePeers().size()));
  out += NodeMetrics::Line("requests_active",
                           static_cast<double>(all.pipeline.Active()));
  out += NodeMetrics::Line("requests_unbilled",
                           static_cast<double>(all.pipeline.Unbilled()));
  out += NodeMetrics::Line("requests_lost",
                           static_cast<double>(all.shards.LostTotal()));
  out +=
      NodeMetrics::Line("upstreams", static_cast<double>(all.upstreams.Size()));
  return out;
}

void Node::BeginDrain(TimePoint now, NodeActions& out) {
  Parts& all = *this->parts;
  all.draining = true;
  all.membership.BeginDrain(now, all.outbox);
  all.claims.BeginDrain(now, all.outbox);
  all.escrow.BeginDrain(now, all.outbox);
  all.placement.BeginDrain(now, all.outbox);
  all.Flush(now, out);
}

bool Node::IsDrained() const {
  const Parts& all = *this->parts;
  return all.draining && all.pipeline.Active() == 0 &&
         all.pipeline.Unbilled() == 0 && all.claims.IsDrained() &&
         all.escrow.IsDrained() && all.placement.IsDrained() &&
         all.backlog.empty() && all.log.IsDrained();
}

}  // namespace fuchsiadrum::node
