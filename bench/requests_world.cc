#include "bench/requests_world.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench::requests {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(25);
constexpr Duration kHeartbeat = std::chrono::milliseconds(300);
constexpr Duration kCallerDelay = std::chrono::milliseconds(1);
constexpr Duration kUpstreamDelay = Duration(400);
constexpr size_t kLastEvents = 60;
constexpr const char* kPlatform = "platform";

}  // namespace

World::World(WorldOptions given)
    : options(std::move(given)), rng(this->options.seed) {
  this->network = std::make_unique<FakeNetwork>(
      this->queue, this->rng.Fork("network"),
      FakeNetworkOptions{.other_zone_delay = this->options.zone_delay,
                         .loss = this->options.loss,
                         .duplicate = this->options.duplicate});

  this->record.on_first_violation = [this] {
    this->scene = {this->steps, this->acting, this->events};
  };
  for (size_t i = 0; i < kDaemons; ++i) {
    const std::string name = "vm" + std::to_string(i + 1);
    this->fleet.push_back(
        {.ref = {name, 0}, .availability_zone = this->ZoneName(i % kZones)});
    this->index[name] = i;
  }
  for (size_t i = 0; i < kUpstreams; ++i) {
    const std::string name = "u" + std::to_string(i);
    this->upstreams.emplace_back(name, this->queue, this->record,
                                 this->rng.Fork(name));
  }
  this->slots.resize(kDaemons);
  for (size_t i = 0; i < kDaemons; ++i) {
    this->slots[i].info = this->fleet[i];
    this->Start(i, false);
  }
}

std::string World::ZoneName(size_t zone) const {
  return "z" + std::to_string(zone + 1);
}

size_t World::IndexOf(const std::string& vm) const {
  return this->index.at(vm);
}

void World::Note(const std::string& text) {
  const std::string line =
      std::to_string(this->queue.Now().us / 1000) + " ms: " + text;
  ++this->steps;
  this->events.push_back(line);
  if (this->events.size() > kLastEvents) this->events.pop_front();
  if (this->options.trace != nullptr) *this->options.trace << line << "\n";
}

void World::Start(size_t i, bool from_peer) {
  Slot& slot = this->slots[i];
  if (slot.up) return;
  ++slot.info.ref.incarnation;
  slot.up = true;
  slot.paused = false;
  slot.draining = false;
  slot.inbox.clear();

  DaemonOptions daemon{
      .policy = this->options.policy,
      .mutate = this->options.mutate,
      .upstreams = kUpstreams,
      .witness_in_home_zone = this->options.policy == "witness-in-home-zone",
      .initial_retries = this->options.initial_retries,
      .seed = this->rng.Next()};
  for (size_t zone = 0; zone < kZones; ++zone) {
    daemon.zones.push_back(this->ZoneName(zone));
  }
  const size_t source = this->MostAdvanced();
  slot.daemon =
      std::make_unique<BenchDaemon>(slot.info, this->fleet, daemon, *this);
  if (from_peer && source != i && this->slots[source].daemon != nullptr) {
    slot.daemon->LoadState(this->queue.Now() + slot.clock_offset,
                           *this->slots[source].daemon);
  }

  this->Note("start " + slot.info.ref.ToString());
  const uint64_t life = slot.info.ref.incarnation;
  const Duration phase(static_cast<int64_t>(i) * 1000);
  this->queue.After(phase, [this, i, life] { this->Tick(i, life); });
  this->queue.After(phase, [this, i, life] { this->PollLog(i, life); });
}

size_t World::MostAdvanced() const {
  size_t best = 0;
  for (size_t i = 0; i < this->slots.size(); ++i) {
    const Slot& slot = this->slots[i];
    const Slot& other = this->slots[best];
    const bool usable = slot.up && !slot.paused && slot.daemon != nullptr;
    const bool other_usable =
        other.up && !other.paused && other.daemon != nullptr;
    if (!usable) continue;
    if (!other_usable ||
        slot.daemon->Replica().Next() > other.daemon->Replica().Next()) {
      best = i;
    }
  }
  return best;
}

void World::Kill(size_t i) {
  Slot& slot = this->slots[i];
  if (!slot.up) return;
  this->Note("kill " + slot.info.ref.ToString());
  slot.up = false;
  slot.paused = false;
  slot.inbox.clear();
  slot.daemon.reset();

  const auto broken = std::exchange(slot.open, {});
  for (const auto& [request_id, call] : broken) {
    this->on_reply(call, request_id, nullptr);
  }
}

void World::Pause(size_t i) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.paused) return;
  this->Note("pause " + slot.info.ref.ToString());
  slot.paused = true;
}

void World::Resume(size_t i) {
  Slot& slot = this->slots[i];
  if (!slot.up || !slot.paused) return;
  this->Note("resume " + slot.info.ref.ToString());
  slot.paused = false;
  const auto waiting = std::exchange(slot.inbox, {});
  for (const auto& action : waiting) {
    if (!slot.up) return;
    action(*slot.daemon, this->queue.Now() + slot.clock_offset);
  }
}

void World::Drain(size_t i) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.paused) return;
  this->Note("drain " + slot.info.ref.ToString());
  slot.draining = true;
  slot.daemon->BeginDrain(this->queue.Now() + slot.clock_offset);
}

void World::Reload(size_t i) {
  Slot& slot = this->slots[i];
  const size_t source = this->MostAdvanced();
  if (!slot.up || slot.paused || source == i) return;
  if (this->slots[source].daemon == nullptr) return;
  this->Note("reload " + slot.info.ref.ToString());
  slot.daemon->LoadState(this->queue.Now() + slot.clock_offset,
                         *this->slots[source].daemon);
}

void World::Post(size_t i, uint64_t incarnation,
                 std::function<void(BenchDaemon&, TimePoint)> action) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.info.ref.incarnation != incarnation) return;
  this->acting = slot.info.ref.vm;
  if (slot.paused) {
    slot.inbox.push_back(std::move(action));
    return;
  }
  action(*slot.daemon, this->queue.Now() + slot.clock_offset);
}

bool World::Call(size_t i, const CallSpec& call, const std::string& request_id,
                 Duration time_left) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.draining) return false;
  slot.open[request_id] = call;
  const uint64_t life = slot.info.ref.incarnation;
  this->queue.After(kCallerDelay, [=, this] {
    this->Post(i, life, [=](BenchDaemon& daemon, TimePoint now) {
      daemon.OnRequest(now, call, request_id, time_left);
    });
  });
  return true;
}

void World::SendReply(const VmRef& from, const CallSpec& call,
                      const Reply& reply) {
  this->record.OnReply(call, reply);
  this->Note(from.vm + " answers " + reply.request_id + " " +
             std::string(OutcomeText(reply.outcome)) + " " + reply.reason);
  const size_t i = this->IndexOf(from.vm);
  const uint64_t life = from.incarnation;
  this->queue.After(kCallerDelay, [=, this] {
    Slot& slot = this->slots[i];
    if (slot.info.ref.incarnation != life) return;
    if (slot.open.erase(reply.request_id) == 0) return;
    this->on_reply(call, reply.request_id, &reply);
  });
}

void World::SendPeer(const VmInfo& from, const Envelope& envelope) {
  const size_t to = this->IndexOf(envelope.to.vm);
  const Slot& sender = this->slots[this->IndexOf(from.ref.vm)];
  if (sender.cut_to.contains(envelope.to.vm)) return;

  const VmRef ref = from.ref;
  this->network->Send(
      from.availability_zone, this->fleet[to].availability_zone,
      [this, to, ref, envelope] { this->Deliver(to, ref, envelope); });
}

void World::Deliver(size_t to, const VmRef& from, const Envelope& envelope) {
  if (this->MutateStore(to, from, envelope)) return;
  const uint64_t life = envelope.to.incarnation != 0
                            ? envelope.to.incarnation
                            : this->slots[to].info.ref.incarnation;
  this->Post(to, life, [from, envelope](BenchDaemon& daemon, TimePoint now) {
    daemon.OnPeer(now, from, envelope.body);
  });
}

bool World::MutateStore(size_t to, const VmRef& from,
                        const Envelope& envelope) {
  const std::string& rule = this->options.mutate;
  if (rule.empty() || !envelope.body.has_intent_store()) return false;
  const pb::IntentStore& store = envelope.body.intent_store();

  if (rule == "no-bulk-handover" && store.bulk() && store.intents_size() > 0) {
    Envelope empty = envelope;
    empty.body.mutable_intent_store()->clear_intents();
    this->Deliver(to, from, empty);
    return true;
  }

  bool forge = rule == "skip-witness";
  if (rule == "ack-after-takeover" && this->slots[to].up) {
    // The witness has become home and still acknowledges the former home.
    const request::Shard& shard =
        this->slots[to].daemon->Table().At(store.shard());
    forge = shard.home == envelope.to &&
            shard.witness_term != LogPosition::FromProto(store.term());
  }
  if (!forge) return false;

  pb::PeerMessage ack;
  ack.mutable_intent_ack()->set_shard(store.shard());
  *ack.mutable_intent_ack()->mutable_term() = store.term();
  ack.mutable_intent_ack()->set_sequence(store.sequence());
  const VmRef witness = envelope.to;
  this->queue.After(Duration(100), [this, from, witness, ack] {
    this->Post(this->IndexOf(from.vm), from.incarnation,
               [witness, ack](BenchDaemon& daemon, TimePoint now) {
                 daemon.OnPeer(now, witness, ack);
               });
  });
  return false;
}

void World::SendUpstream(const VmRef& from, size_t upstream,
                         const Dispatch& dispatch) {
  const size_t i = this->IndexOf(from.vm);
  const uint64_t life = from.incarnation;
  this->Note(from.vm + " sends " + dispatch.request_id + "/" +
             std::to_string(dispatch.attempt) + " to " +
             this->upstreams[upstream].Name());
  this->queue.After(kUpstreamDelay, [=, this] {
    this->upstreams[upstream].Receive(
        dispatch,
        [this, i, life](const std::function<void(AttemptListener&)>& act) {
          this->Post(i, life, [act](BenchDaemon& daemon, TimePoint now) {
            daemon.SetNow(now);
            act(daemon);
          });
        });
  });
}

bool World::IsLogReachable(const Slot& slot) const {
  return this->log_up &&
         !this->network->IsCut(slot.info.availability_zone, kPlatform);
}

void World::SendAppend(const VmInfo& from, const std::string& batch) {
  const Slot& slot = this->slots[this->IndexOf(from.ref.vm)];
  if (!this->IsLogReachable(slot)) return;
  const int copies = this->rng.Chance(this->append_answer_loss) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    this->queue.After(this->log_delay * (copy + 1), [this, batch] {
      if (!this->log_up) return;
      this->log.Append(batch);
      this->CountRecords();
    });
  }
}

void World::CountRecords() {
  pb::Batch batch;
  batch.ParseFromString(*this->log.Read(this->log.End() - 1));
  for (const pb::Record& entry : batch.records()) {
    if (entry.has_shard_reset()) {
      this->CountOnce(entry.shard_reset().shard(), entry.shard_reset().term(),
                      this->resets);
    }
    if (entry.has_shard_take_over()) {
      this->CountOnce(entry.shard_take_over().shard(),
                      entry.shard_take_over().term(), this->take_overs);
    }
    this->Note("append by " + batch.writer().vm() + ": " +
               entry.ShortDebugString());
  }
}

void World::CountOnce(uint32_t shard, const pb::Position& term, int& counter) {
  if (this->ended.emplace(shard, LogPosition::FromProto(term)).second) {
    ++counter;
  }
}

void World::AppendAsOperator(const pb::Record& entry) {
  static constexpr const char* kOperator = "operator";
  pb::Batch batch;
  batch.mutable_writer()->set_vm(kOperator);
  batch.mutable_writer()->set_incarnation(1);
  batch.set_sequence(this->log.End() + 1);
  *batch.add_records() = entry;
  this->log.Append(batch.SerializeAsString());
  this->CountRecords();
}

void World::Tick(size_t i, uint64_t life) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.info.ref.incarnation != life) return;
  this->queue.After(kTick, [this, i, life] { this->Tick(i, life); });
  if (slot.paused) return;

  const TimePoint now = this->queue.Now();
  slot.daemon->OnTick(now + slot.clock_offset);
  const int64_t beat = now.us / kHeartbeat.count();
  if (beat == (now - kTick).us / kHeartbeat.count()) return;
  for (const VmInfo& peer : this->fleet) {
    if (peer.ref.vm == slot.info.ref.vm || slot.draining) continue;
    Envelope heartbeat{.to = {peer.ref.vm, 0}};
    heartbeat.body.mutable_heartbeat();
    this->SendPeer(slot.info, heartbeat);
  }
}

void World::PollLog(size_t i, uint64_t life) {
  Slot& slot = this->slots[i];
  if (!slot.up || slot.info.ref.incarnation != life) return;
  this->queue.After(std::chrono::milliseconds(30) + this->log_delay,
                    [this, i, life] { this->PollLog(i, life); });
  if (slot.paused) return;

  slot.daemon->Peers().log_reachable = this->IsLogReachable(slot);
  if (!slot.daemon->Peers().log_reachable) return;
  slot.daemon->ReadLog(this->queue.Now() + slot.clock_offset, this->log);
}

}  // namespace fuchsiadrum::bench::requests
