#include "bench/routing_placement.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr size_t kDaemons = 3;
constexpr size_t kEngines = 6;
constexpr TimePoint kFirstChange{60'000'000};
constexpr TimePoint kSecondChange{200'000'000};
constexpr TimePoint kEnd{500'000'000};
constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kReportLag = std::chrono::seconds(2);
constexpr Duration kSuspectAfter = std::chrono::seconds(3);
constexpr double kLoadsPerMinute = 6;
/// The share of the rate follows from observed state, which lags, and each
/// owner may start one load at once.
constexpr size_t kMostLoadsPerMinute = 6 + kDaemons + 1;
/// Model changes of one engine: three wanted models, and one reversal for each
/// time that an order of a replaced owner may still be on its way.
constexpr int kMostChanges = 7;

}  // namespace

/// The view of one daemon: silence as the run sets it.
class PlacementRun::Peers final : public PeerView {
 public:
  Peers(PlacementRun& run, size_t self) : run(run) {
    for (size_t i = 0; i < kDaemons; ++i) {
      const VmInfo info{
          .ref = {.vm = "d" + std::to_string(i), .incarnation = 1}};
      if (i == self) {
        this->self = info;
      } else {
        this->others.push_back(info);
      }
    }
  }

  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint now,
                                    const VmRef& peer) const override;
  bool IsLogReachable() const override { return this->log_reachable; }
  /// Recomputes which daemons are believed alive.
  void Update(TimePoint now) {
    this->alive.clear();
    for (const VmInfo& peer : this->others) {
      const auto silent = this->SilentFor(now, peer.ref);
      if (silent && *silent < kSuspectAfter) this->alive.push_back(peer);
    }
  }

  bool log_reachable = true;

 private:
  PlacementRun& run;
  VmInfo self;
  std::vector<VmInfo> others;
  std::vector<VmInfo> alive;
};

struct PlacementRun::Daemon {
  std::unique_ptr<Peers> peers;
  upstream::PlacementOwners owners;
  /// What the daemon has read, without the mutation.
  upstream::PlacementOwners true_owners;
  upstream::UpstreamTable table;
  std::unique_ptr<upstream::PlacementAgent> agent;
  size_t folded = 0;
  TimePoint last_step;
  TimePoint paused_until;
  TimePoint cut_until;
  TimePoint catalogue_at;
};

std::optional<Duration> PlacementRun::Peers::SilentFor(
    TimePoint now, const VmRef& peer) const {
  for (const auto& daemon : this->run.daemons) {
    if (daemon->peers->Self().ref == peer) return now - daemon->last_step;
  }
  return std::nullopt;
}

PlacementRun::PlacementRun(uint64_t seed, const std::string& mutate)
    : mutate(mutate), rng(seed) {
  for (size_t i = 0; i < kEngines; ++i) {
    this->engines.push_back({.name = "r" + std::to_string(i),
                             .checks_fencing = i % 2 == 0,
                             .model = "m0"});
  }
  this->MakeDaemons();
}

PlacementRun::~PlacementRun() = default;

PlacementFigures PlacementRun::Run() {
  for (size_t i = 0; i < kDaemons; ++i) {
    const TimePoint first{1 + static_cast<int64_t>(i) * 30'000};
    this->queue.At(first, [this, i] { this->Step(i); });
  }

  // Pauses and cuts end well before the final check.
  for (int fault = 0; fault < 6; ++fault) {
    const TimePoint at{this->rng.Between(20'000'000, 300'000'000)};
    const TimePoint until = at + Duration(this->rng.Between(1, 60) * 1'000'000);
    Daemon* daemon = this->daemons[this->rng.Below(kDaemons)].get();
    const bool pause = this->rng.Chance(0.5);
    this->queue.At(at, [daemon, pause, until] {
      TimePoint& end = pause ? daemon->paused_until : daemon->cut_until;
      end = std::max(end, until);
    });
  }
  this->queue.RunUntil(kEnd);
  this->CheckEnd();
  return std::move(this->figures);
}

void PlacementRun::MakeDaemons() {
  for (size_t i = 0; i < kDaemons; ++i) {
    auto daemon = std::make_unique<Daemon>();
    daemon->peers = std::make_unique<Peers>(*this, i);
    daemon->agent = std::make_unique<upstream::PlacementAgent>(
        upstream::PlacementAgentOptions{.loads_per_minute = kLoadsPerMinute},
        *daemon->peers, daemon->owners, daemon->table);
    for (const Engine& engine : this->engines) {
      pb::Upstream entry;
      entry.set_address(engine.name);
      entry.set_checks_fencing(engine.checks_fencing);
      daemon->table.Put({}, engine.name, entry);
    }
    this->daemons.push_back(std::move(daemon));
  }
}

void PlacementRun::Step(size_t i) {
  Daemon& daemon = *this->daemons[i];
  const TimePoint now = this->queue.Now();
  if (now < daemon.paused_until) {
    this->queue.At(daemon.paused_until, [this, i] { this->Step(i); });
    return;
  }
  this->queue.After(kStep, [this, i] { this->Step(i); });

  // After a pause, timers run before the log is read: the worst order.
  daemon.last_step = now;
  daemon.peers->Update(now);
  daemon.peers->log_reachable = now >= daemon.cut_until;
  daemon.agent->SetWanted(this->Wanted(daemon.catalogue_at));
  Outbox out;
  daemon.agent->OnTick(now, out);
  for (const pb::Record& record : out.records) {
    if (!daemon.peers->log_reachable) continue;
    this->queue.After(Duration(this->rng.Between(5'000, 200'000)),
                      [this, record] { this->Append(record); });
  }
  for (const upstream::PlacementOrder& order : daemon.agent->TakeOrders()) {
    this->Send(daemon, order);
  }

  if (daemon.peers->log_reachable) {
    this->FoldUpTo(daemon, this->log.size());
    daemon.catalogue_at = now;
    daemon.agent->OnLogEndRead(now);
  }
  this->Report(daemon);
}

void PlacementRun::FoldUpTo(Daemon& daemon, size_t end) {
  for (; daemon.folded < end; ++daemon.folded) {
    const pb::Record& record = this->log[daemon.folded];
    const LogPosition at{.offset = daemon.folded + 1};
    daemon.true_owners.Apply(at, {}, record);

    // The mutation: a replaced owner does not notice that it was replaced.
    const auto* present =
        daemon.owners.Find(record.placement_appoint().upstream());
    const bool own =
        present != nullptr && present->owner == daemon.peers->Self().ref;
    if (this->mutate == "stale-fencing" && own) continue;
    daemon.owners.Apply(at, {}, record);
  }
}

void PlacementRun::Append(const pb::Record& record) {
  this->log.push_back(record);
}

void PlacementRun::Send(const Daemon& daemon,
                        const upstream::PlacementOrder& order) {
  ++this->figures.orders;
  const auto* owner = daemon.true_owners.Find(order.upstream);
  if (owner == nullptr || owner->owner != daemon.peers->Self().ref ||
      owner->term.offset != order.fencing) {
    this->Violate("an order by a daemon that knew of a newer owner");
  }
  const size_t engine = static_cast<size_t>(order.upstream.back() - '0');
  this->queue.After(Duration(this->rng.Between(1'000, 3'000'000)),
                    [this, engine, order] { this->Arrive(engine, order); });
}

void PlacementRun::Arrive(size_t i, const upstream::PlacementOrder& order) {
  Engine& engine = this->engines[i];
  if (engine.checks_fencing && order.fencing < engine.highest_fencing) return;
  engine.highest_fencing = std::max(engine.highest_fencing, order.fencing);
  const std::string& model = order.models.at(0);
  if (model == engine.model || model == engine.loading) return;

  // A load takes some seconds; the weight store sees each start.
  engine.loading = model;
  ++engine.changes;
  ++this->figures.loads;
  const TimePoint now = this->queue.Now();
  this->load_starts.push_back(now);
  while (now - this->load_starts.front() > std::chrono::minutes(1)) {
    this->load_starts.pop_front();
  }
  if (this->load_starts.size() > kMostLoadsPerMinute) {
    this->Violate("more loads than the weight store bears");
  }
  if (engine.changes > kMostChanges) {
    this->Violate("an engine is ordered back and forth");
  }
  this->queue.After(Duration(this->rng.Between(3'000'000, 12'000'000)),
                    [&engine, model] {
                      if (engine.loading != model) return;
                      engine.model = model;
                      engine.loading.clear();
                    });
}

void PlacementRun::Report(Daemon& daemon) {
  const TimePoint now = this->queue.Now();
  for (Engine& engine : this->engines) {
    engine.history.emplace_back(now, engine.model);
    while (engine.history.size() > 1 &&
           engine.history[1].first + kReportLag <= now) {
      engine.history.pop_front();
    }
    daemon.table.OnReport(
        now, engine.name,
        {.reachable = true, .models = {engine.history.front().second}});
  }
}

void PlacementRun::CheckEnd() {
  for (const Engine& engine : this->engines) {
    if (engine.model != "m2") {
      this->Violate("an engine did not reach its placement");
    }
  }
}

std::vector<pb::Placement> PlacementRun::Wanted(TimePoint now) const {
  std::vector<pb::Placement> out;
  for (const Engine& engine : this->engines) {
    pb::Placement& placement = out.emplace_back();
    placement.set_upstream(engine.name);
    placement.add_models(
        now < kFirstChange ? "m0" : (now < kSecondChange ? "m1" : "m2"));
  }
  return out;
}

void PlacementRun::Violate(const std::string& text) {
  this->figures.violations.push_back(text);
}

}  // namespace fuchsiadrum::bench
