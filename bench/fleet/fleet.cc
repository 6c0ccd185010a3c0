#include "bench/fleet/fleet.h"

#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kLogPoll = std::chrono::milliseconds(20);
constexpr Duration kUpstreamPoll = std::chrono::milliseconds(500);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(500);
constexpr Duration kIdleBound = std::chrono::seconds(3);
constexpr Duration kIdleCheck = std::chrono::milliseconds(500);
constexpr size_t kBatchesPerRead = 200;
constexpr char kFleetKey[] = "a fleet key of the bench, 32 byte";

const std::vector<std::string>& ZoneNames() {
  static const std::vector<std::string> kNames = {"zone-a", "zone-b", "zone-c"};
  return kNames;
}

std::string KindName(const pb::PeerMessage& message) {
  const auto* field = message.GetDescriptor()->FindFieldByNumber(
      static_cast<int>(message.kind_case()));
  return field == nullptr ? "none" : field->message_type()->name();
}

std::string KindName(const pb::Record& record) {
  const auto* field = record.GetDescriptor()->FindFieldByNumber(
      static_cast<int>(record.kind_case()));
  return field == nullptr ? "none" : field->message_type()->name();
}

}  // namespace

Fleet::Fleet(const FleetOptions& options, uint64_t seed)
    : options(options),
      rng(seed),
      network(queue, rng.Fork("network"),
              {.other_zone_delay = options.zone_delay,
               .loss = options.message_loss}) {
  for (int z = 0; z < options.zones; ++z) {
    for (int i = 0; i < options.daemons_per_zone; ++i) {
      Daemon daemon;
      daemon.zone = ZoneNames()[static_cast<size_t>(z)];
      daemon.name = "vm-" + daemon.zone.substr(5) + std::to_string(i);
      this->daemons.push_back(std::move(daemon));
    }
    const std::string& zone = ZoneNames()[static_cast<size_t>(z)];
    for (int i = 0; i < options.engines_per_zone; ++i) {
      this->upstreams.push_back(std::make_unique<FakeUpstream>(
          this->queue, "engine-" + zone.substr(5) + std::to_string(i), zone,
          200.0 * (1 + (z + i) % 4)));
    }
    this->upstreams.push_back(std::make_unique<FakeUpstream>(
        this->queue, "service-" + zone.substr(5), zone, 100.0));
  }
  for (size_t i = 0; i < this->daemons.size(); ++i) this->Start(i);
}

void Fleet::Start(size_t index) {
  Daemon& daemon = this->daemons[index];
  daemon.incarnation =
      static_cast<uint64_t>(this->queue.Now().us) + 1 + daemon.incarnation;
  daemon.alive = true;
  daemon.paused = false;
  daemon.held.clear();
  daemon.callers.clear();

  node::NodeOptions node_options;
  node_options.self = {{daemon.name, daemon.incarnation}, daemon.zone};
  for (const Daemon& other : this->daemons) {
    if (other.name == daemon.name) continue;
    node_options.configured_peers.push_back({{other.name, 0}, other.zone});
  }
  node_options.fleet_key = kFleetKey;
  node_options.seed = this->rng.Next();
  pb::DaemonSettings& s = node_options.settings;
  s.mutable_peer()->set_heartbeat_ms(500);
  s.mutable_peer()->set_suspect_after_ms(3000);
  s.mutable_peer()->set_seal_after_ms(15000);
  s.mutable_platform()->set_append_interval_ms(20);
  s.mutable_platform()->set_retention_s(3600);
  s.mutable_budget()->set_preset(this->options.preset);
  s.mutable_budget()->set_wait_ms(1000);
  s.mutable_request()->set_shards(16);
  s.mutable_request()->set_max_in_flight(256);
  s.mutable_request()->set_claim_timeout_ms(2000);
  s.mutable_request()->set_answer_memory_bytes(1U << 24U);
  s.mutable_request()->set_answer_keep_s(3600);
  s.mutable_upstream()->set_policy("cost");
  s.mutable_operators()->set_root_name("root");
  daemon.node = std::make_unique<node::Node>(std::move(node_options));

  const uint64_t incarnation = daemon.incarnation;
  const Duration phase(static_cast<int64_t>(index) * 1300);
  this->queue.After(phase, [=, this] { this->Tick(index, incarnation); });
  this->queue.After(phase, [=, this] { this->PollLog(index, incarnation); });
  this->queue.After(phase,
                    [=, this] { this->PollUpstreams(index, incarnation); });
}

void Fleet::Deliver(size_t index, uint64_t incarnation,
                    std::function<void()> act) {
  Daemon& daemon = this->daemons[index];
  if (!daemon.alive || daemon.incarnation != incarnation) return;
  if (daemon.paused) {
    daemon.held.push_back(std::move(act));
  } else {
    act();
  }
}

void Fleet::Drive(size_t index,
                  const std::function<void(node::Node&, TimePoint,
                                           node::NodeActions&)>& call) {
  node::NodeActions actions;
  call(*this->daemons[index].node, this->NowOf(index), actions);
  this->Carry(index, actions);
}

void Fleet::Carry(size_t index, node::NodeActions& actions) {
  const uint64_t incarnation = this->daemons[index].incarnation;
  const auto may_go_on = [&] {
    // A probe may have killed or paused this daemon in between.
    return this->daemons[index].alive &&
           this->daemons[index].incarnation == incarnation;
  };
  for (const Envelope& envelope : actions.messages) {
    if (may_go_on()) this->CarryMessage(index, envelope);
  }
  if (actions.append && may_go_on()) this->CarryAppend(index, *actions.append);
  for (const node::RequestAction& action : actions.requests) {
    if (may_go_on()) this->CarryRequest(index, action);
  }
}

void Fleet::CarryMessage(size_t index, const Envelope& envelope) {
  this->Note("peer:" + KindName(envelope.body), index);
  Daemon& daemon = this->daemons[index];
  if (!daemon.alive) return;
  for (size_t to = 0; to < this->daemons.size(); ++to) {
    if (this->daemons[to].name != envelope.to.vm) continue;
    const VmRef from{daemon.name, daemon.incarnation};
    const VmRef target = envelope.to;
    const pb::PeerMessage body = envelope.body;
    this->network.Send(daemon.zone, this->daemons[to].zone, [=, this] {
      const uint64_t present = this->daemons[to].incarnation;
      if (target.incarnation != 0 && target.incarnation != present) return;
      this->Deliver(to, present, [=, this] {
        this->Drive(
            to, [&](node::Node& node, TimePoint now, node::NodeActions& out) {
              node.OnPeerMessage(now, from, body, out);
            });
      });
    });
  }
}

bool Fleet::ReachesLog(size_t index) const {
  return !this->log_down &&
         !this->cut_from_platform.contains(this->daemons[index].zone);
}

void Fleet::CarryAppend(size_t index, const std::string& batch) {
  pb::Batch parsed;
  if (parsed.ParseFromString(batch)) {
    for (const auto& record : parsed.records()) {
      this->Note("append:" + KindName(record), index);
    }
  }
  const uint64_t incarnation = this->daemons[index].incarnation;
  const auto answer = [=, this](bool stored) {
    this->Deliver(index, incarnation, [=, this] {
      this->Drive(index,
                  [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                    node.OnAppendAnswer(now, stored, out);
                  });
    });
  };
  if (!this->ReachesLog(index)) {
    this->queue.After(kAppendTimeout, [=] { answer(false); });
    return;
  }
  // The append may take effect although its answer is lost.
  this->queue.After(this->log_delay, [=, this] {
    if (this->log_down) {
      this->queue.After(kAppendTimeout, [=] { answer(false); });
      return;
    }
    this->log.Append(batch);
    const bool lost =
        this->rng.Chance(this->lose_append_answers) || !this->ReachesLog(index);
    this->queue.After(lost ? kAppendTimeout : this->log_delay,
                      [=] { answer(!lost); });
  });
}

void Fleet::CarryRequest(size_t index, const node::RequestAction& action) {
  Daemon& daemon = this->daemons[index];
  if (action.kind == node::RequestActionKind::kDispatch) {
    this->Note("dispatch", index);
    if (daemon.alive) this->CarryDispatch(index, action);
    return;
  }
  const auto caller = daemon.callers.find(action.handle);
  if (caller == daemon.callers.end()) return;
  if (action.kind == node::RequestActionKind::kReply) {
    const OnReply reply = caller->second.reply;
    daemon.callers.erase(caller);
    reply({.action = action});
  }
}

void Fleet::CarryDispatch(size_t index, const node::RequestAction& action) {
  Daemon& daemon = this->daemons[index];
  FakeUpstream* upstream = this->FindUpstream(action.upstream);
  const uint64_t incarnation = daemon.incarnation;
  const std::string zone = daemon.zone;
  node::AttemptEvent event;
  event.handle = action.handle;
  event.attempt = action.attempt;
  const auto pending = daemon.callers.find(action.handle);
  if (upstream == nullptr || !upstream->IsAlive() ||
      this->network.IsCut(daemon.zone, upstream->Zone())) {
    event.kind = node::AttemptEventKind::kNotSent;
    this->queue.After(std::chrono::milliseconds(100), [=, this] {
      this->Tell(index, incarnation, zone, event);
    });
    return;
  }
  if (upstream->rejecting) {
    event.kind = node::AttemptEventKind::kRejected;
    event.status = 503;
    this->Tell(index, incarnation, upstream->Zone(), event);
    return;
  }
  const std::string request_id = pending == daemon.callers.end()
                                     ? "gone"
                                     : pending->second.request.request_id;
  const Tokens prompt = pending == daemon.callers.end()
                            ? Tokens(0)
                            : pending->second.request.prompt_bound;
  auto watch = std::make_shared<AttemptWatch>();
  watch->heard = this->queue.Now();
  this->WatchIdle(index, incarnation, event, watch);

  const auto tell = [=, this](UpstreamSignal signal, Tokens used) {
    if (this->network.IsCut(upstream->Zone(), zone)) return;
    watch->heard = this->queue.Now();
    node::AttemptEvent told = event;
    if (signal == UpstreamSignal::kFirstToken) {
      told.kind = node::AttemptEventKind::kFirstToken;
    } else if (signal == UpstreamSignal::kCompleted) {
      watch->over = true;
      told.kind = node::AttemptEventKind::kCompleted;
      told.status = 200;
      told.used = used;
      told.streamed = action.max_output;
      told.delivered = true;
      told.answer.emplace();
      told.answer->set_body(request_id);
    } else {
      if (watch->over) return;
      watch->over = true;
      told.kind = node::AttemptEventKind::kBroken;
    }
    this->Tell(index, incarnation, upstream->Zone(), told);
  };
  upstream->Start(request_id, action.attempt, prompt, action.max_output, tell);
}

void Fleet::WatchIdle(size_t index, uint64_t incarnation,
                      const node::AttemptEvent& event,
                      const std::shared_ptr<AttemptWatch>& watch) {
  this->queue.After(kIdleCheck, [=, this] {
    if (watch->over) return;
    if (this->queue.Now() - watch->heard < kIdleBound) {
      this->WatchIdle(index, incarnation, event, watch);
      return;
    }
    watch->over = true;
    node::AttemptEvent silent = event;
    silent.kind = node::AttemptEventKind::kSilent;
    this->Tell(index, incarnation, this->daemons[index].zone, silent);
  });
}

void Fleet::Tell(size_t index, uint64_t incarnation, const std::string& zone,
                 node::AttemptEvent event) {
  const bool remote = zone != this->daemons[index].zone;
  this->queue.After(remote ? this->options.zone_delay : Duration(200), [=,
                                                                        this] {
    this->Deliver(index, incarnation, [=, this] {
      Daemon& daemon = this->daemons[index];
      this->Note(
          event.kind == node::AttemptEventKind::kFirstToken  ? "first-token"
          : event.kind == node::AttemptEventKind::kCompleted ? "last-token"
                                                             : "attempt-failed",
          index);
      if (!daemon.alive || daemon.incarnation != incarnation) return;
      const auto caller = daemon.callers.find(event.handle);
      if (event.kind == node::AttemptEventKind::kCompleted &&
          caller != daemon.callers.end()) {
        const OnReply reply = caller->second.reply;
        daemon.callers.erase(caller);
        node::RequestAction whole;
        whole.handle = event.handle;
        whole.status = 200;
        whole.outcome = node::Outcome::kComplete;
        whole.stored = event.answer;
        reply({.action = whole, .streamed = true});
      }
      this->Drive(index,
                  [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                    node.OnAttempt(now, event, out);
                  });
    });
  });
}

void Fleet::Tick(size_t index, uint64_t incarnation) {
  Daemon& daemon = this->daemons[index];
  if (!daemon.alive || daemon.incarnation != incarnation) return;
  if (!daemon.paused) {
    this->Drive(index, [](node::Node& node, TimePoint now,
                          node::NodeActions& out) { node.OnTick(now, out); });
  }
  this->queue.After(kTick, [=, this] { this->Tick(index, incarnation); });
}

void Fleet::PollLog(size_t index, uint64_t incarnation) {
  Daemon& daemon = this->daemons[index];
  if (!daemon.alive || daemon.incarnation != incarnation) return;
  this->queue.After(kLogPoll, [=, this] { this->PollLog(index, incarnation); });
  if (daemon.paused) return;
  if (!this->ReachesLog(index)) {
    this->Drive(index,
                [](node::Node& node, TimePoint now, node::NodeActions& out) {
                  node.OnLogUnreachable(now, out);
                });
    return;
  }
  const uint64_t from = daemon.node->NextLogOffset();
  std::vector<std::string> batches;
  while (batches.size() < kBatchesPerRead) {
    auto batch = this->log.Read(from + batches.size());
    if (!batch) break;
    batches.push_back(std::move(*batch));
  }
  const uint64_t first = this->log.FirstRetained();
  const uint64_t end = this->log.End();
  this->queue.After(this->log_delay, [=, this] {
    this->Deliver(index, incarnation, [=, this] {
      this->Drive(index,
                  [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                    node.OnLogBounds(now, first, end, out);
                    if (!batches.empty()) {
                      node.OnLogBatches(now, from, batches, out);
                    }
                  });
    });
  });
}

void Fleet::PollUpstreams(size_t index, uint64_t incarnation) {
  Daemon& daemon = this->daemons[index];
  if (!daemon.alive || daemon.incarnation != incarnation) return;
  this->queue.After(kUpstreamPoll,
                    [=, this] { this->PollUpstreams(index, incarnation); });
  if (daemon.paused) return;

  for (const auto& address : daemon.node->UpstreamsToPoll()) {
    const FakeUpstream* upstream = this->FindUpstream(address.upstream);
    node::UpstreamReport report;
    report.upstream = address.upstream;
    report.reachable = upstream != nullptr && upstream->IsAlive() &&
                       !upstream->silent &&
                       !this->network.IsCut(daemon.zone, upstream->Zone());
    if (report.reachable) {
      report.running = static_cast<int>(upstream->InProgress());
      report.leaving = upstream->leaving;
      if (upstream->Name().starts_with("engine")) report.models = {"drafter"};
    }
    this->Drive(index,
                [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                  node.OnUpstreamReport(now, report, out);
                });
    if (!daemon.alive || daemon.incarnation != incarnation) return;
  }

  std::vector<node::ListedVm> listed;
  for (const Daemon& other : this->daemons) {
    if (this->hidden_vms.contains(other.name)) continue;
    listed.push_back({.name = other.name,
                      .leaving = this->wrongly_leaving.contains(other.name)});
  }
  if (this->cut_from_platform.contains(daemon.zone)) return;
  this->Drive(index,
              [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                node.OnVmList(now, listed, out);
              });
}

void Fleet::Send(size_t index, node::RequestStart request,
                 const OnReply& reply) {
  Daemon& daemon = this->daemons[index];
  const uint64_t incarnation = daemon.incarnation;
  this->Deliver(index, incarnation, [=, this]() mutable {
    // The caller's time left is turned into the daemon's own clock.
    request.deadline = request.deadline + this->daemons[index].clock_offset;
    this->daemons[index].callers[request.handle] = {request, reply};
    this->Note("admit", index);
    if (!this->daemons[index].alive) return;
    this->Drive(index,
                [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                  node.OnRequest(now, request, out);
                });
  });
}

node::Node::AdminAnswer Fleet::Admin(size_t index, const std::string& method,
                                     const std::string& target,
                                     const std::string& body) {
  node::Node::AdminAnswer answer;
  this->Drive(index,
              [&](node::Node& node, TimePoint now, node::NodeActions& out) {
                answer = node.OnAdmin(now, method, target, body, out);
              });
  return answer;
}

void Fleet::Kill(size_t index) {
  Daemon& daemon = this->daemons[index];
  daemon.alive = false;
  daemon.held.clear();
  daemon.callers.clear();
}

void Fleet::Restart(size_t index) {
  if (this->daemons[index].alive) return;
  this->daemons[index].clock_offset = Duration(0);
  this->Start(index);
}

void Fleet::Pause(size_t index) { this->daemons[index].paused = true; }

void Fleet::Resume(size_t index) {
  Daemon& daemon = this->daemons[index];
  if (!daemon.paused) return;
  daemon.paused = false;
  for (auto& act : std::exchange(daemon.held, {})) act();
}

void Fleet::JumpClock(size_t index, Duration by) {
  this->daemons[index].clock_offset += by;
}

void Fleet::CutFromPlatform(const std::string& zone, bool cut) {
  if (cut) {
    this->cut_from_platform.insert(zone);
  } else {
    this->cut_from_platform.erase(zone);
  }
}

void Fleet::BeginDrain(size_t index) {
  this->Drive(index, [](node::Node& node, TimePoint now,
                        node::NodeActions& out) { node.BeginDrain(now, out); });
}

bool Fleet::IsDrained(size_t index) const {
  return this->daemons[index].node->IsDrained();
}

FakeUpstream* Fleet::FindUpstream(const std::string& name) {
  for (const auto& upstream : this->upstreams) {
    if (upstream->Name() == name) return upstream.get();
  }
  return nullptr;
}

}  // namespace fuchsiadrum::bench
