#include "bench/routing_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsiadrum::bench {
namespace {

using routing::FailureKind;
using upstream::LeavingSource;

constexpr size_t kDaemons = 9;
constexpr size_t kZones = 3;
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kReportLag = std::chrono::seconds(2);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr size_t kMostAttempts = 4;
/// The omniscient scheduler keeps a reserve on fast engines: taking the least
/// time for each request alone is 2 times worse at p95.
constexpr int64_t kReserveUs = 50;
constexpr double kLostEvents = 0.02;
constexpr std::array<double, 5> kSpeeds = {1.0, 4.0, 1.5, 3.0, 2.0};

std::string ZoneName(size_t zone) { return std::string(1, "abc"[zone]); }

}  // namespace

FleetRun::FleetRun(const FleetOptions& options)
    : options(options), shape(ShapeOf(options.deployment)), rng(options.seed) {
  this->MakeUpstreams();
  this->MakeDaemons();
  this->arrivals =
      MakeArrivals({.deployment = options.deployment,
                    .daemons = kDaemons,
                    .length = options.length,
                    .rate = RateFor(options.deployment, options.load)},
                   this->rng.Fork("arrivals"));
}

FleetFigures FleetRun::Run() {
  for (size_t i = 0; i < this->arrivals.size(); ++i) {
    this->queue.At(this->arrivals[i].at,
                   [this, i] { this->StartAttempt(i, {}); });
  }
  this->ScheduleFaults();
  for (size_t d = 0; d < kDaemons; ++d) {
    const auto phase = static_cast<int64_t>(d) * 50'000;
    this->queue.At({phase}, [this, d] { this->Poll(d); });
    this->queue.At({phase + 20'000}, [this, d] { this->Gossip(d); });
    this->queue.At({phase + 30'000}, [this, d] { this->ReadVmList(d); });
  }
  this->queue.At({1}, [this] { this->Tick(); });
  this->queue.RunUntil(TimePoint{} + this->options.length);
  for (const Upstream& one : this->upstreams) {
    if (!one.service) this->figures.busy_share += one.engine->BusyShare();
  }
  this->figures.busy_share /= this->shape.runners;

  // Streams need up to a minute to end after the last arrival.
  this->queue.RunUntil(TimePoint{} + this->options.length +
                       std::chrono::seconds(90));
  this->figures.arrivals = static_cast<int>(this->arrivals.size());
  if (this->figures.complete + this->figures.refused + this->figures.failed !=
      this->figures.arrivals) {
    this->Violate("requests without an end");
  }
  return std::move(this->figures);
}

void FleetRun::OnEngineFirstToken(uint64_t job, int cached_tokens) {
  Attempt& attempt = this->attempts[job];
  if (!attempt.open) return;
  const Arrival& arrival = this->arrivals[attempt.arrival];
  const size_t zone = this->daemons[arrival.daemon].zone;
  const Duration latency =
      this->Latency(zone, this->upstreams[attempt.upstream].zone);
  const TimePoint seen = this->queue.Now() + latency;

  if (!arrival.model.empty() &&
      arrival.at >= TimePoint{} + this->options.warm_up) {
    this->figures.ttft_ms.push_back(
        static_cast<double>((seen - arrival.at).count()) / 1000.0);
    this->figures.prompt_tokens += arrival.prompt_tokens;
    this->figures.cached_tokens += cached_tokens;
  }
  attempt.first_seen = true;
  if (this->IsOmniscient()) return;
  this->queue.At(seen, [this, job] {
    Attempt& one = this->attempts[job];
    Daemon& daemon = this->daemons[this->arrivals[one.arrival].daemon];
    if (one.open) daemon.router->OnFirstToken(this->queue.Now(), one.dispatch);
  });
}

void FleetRun::OnEngineDone(uint64_t job) {
  Attempt& attempt = this->attempts[job];
  if (!attempt.open) return;
  attempt.open = false;
  ++this->figures.complete;
  if (this->IsOmniscient()) return;

  const Arrival& arrival = this->arrivals[attempt.arrival];
  Daemon& daemon = this->daemons[arrival.daemon];
  daemon.router->OnFinished(this->queue.Now(), attempt.dispatch,
                            Tokens(arrival.output_tokens));
  if (this->upstreams[attempt.upstream].says_leaving) {
    this->Tell(daemon, attempt.upstream, LeavingSource::kOwnAnswer, true);
  }
}

void FleetRun::OnEngineBroken(uint64_t job) {
  if (!this->attempts[job].open) return;
  if (this->upstreams[this->attempts[job].upstream].gone) {
    this->Violate("a stream on a leaving upstream was cut off");
  }
  this->queue.After(std::chrono::milliseconds(2), [this, job] {
    this->FailAttempt(job, FailureKind::kBroken);
  });
}

void FleetRun::MakeUpstreams() {
  const auto runners = static_cast<size_t>(this->shape.runners);
  const size_t all = runners + static_cast<size_t>(this->shape.services);
  this->upstreams.resize(all);

  for (size_t i = 0; i < all; ++i) {
    Upstream& one = this->upstreams[i];
    one.service = i >= runners;
    one.name = (one.service ? "s" : "r") + std::to_string(i);
    one.zone = i % kZones;
    EngineOptions engine;
    if (one.service) {
      engine.slots = 16;
      engine.step_base_us = 10000;
    } else {
      one.speed = kSpeeds[(i / kZones + i) % kSpeeds.size()];
      // In `mixed`, the later half is ordered to load m2 but has not yet.
      const bool both = this->options.scenario != "mixed" || i < runners / 2;
      one.served = both ? std::vector<std::string>{"m", "m2"}
                        : std::vector<std::string>{"m"};
      one.ordered = {"m", "m2"};
    }
    engine.speed = one.speed;
    one.engine = std::make_unique<FakeEngine>(this->queue, *this, engine);
  }
}

void FleetRun::MakeDaemons() {
  this->daemons.resize(kDaemons);
  for (size_t d = 0; d < kDaemons; ++d) {
    Daemon& daemon = this->daemons[d];
    daemon.zone = d % kZones;
    daemon.table = std::make_unique<upstream::UpstreamTable>();
    daemon.cache_cursor.resize(this->upstreams.size(), 0);
    for (const Upstream& one : this->upstreams) {
      pb::Upstream entry;
      entry.set_address("10.0.0.1:" + one.name);
      entry.set_availability_zone(ZoneName(one.zone));
      if (one.service) entry.set_service(this->shape.service);
      daemon.table->Put(this->queue.Now(), one.name, entry);
    }
    if (this->IsOmniscient()) continue;
    routing::CostRouterOptions router = this->options.router;
    router.base.seed = this->options.seed * 1000 + d;
    if (this->options.mutate == "eject-all") {
      router.base.ejector.most_ejected = 1.0;
    }
    daemon.router =
        routing::MakeRouter(this->options.policy, *daemon.table, router);
  }
}

void FleetRun::StartAttempt(size_t arrival_index,
                            std::vector<routing::UpstreamIndex> excluded) {
  const Arrival& arrival = this->arrivals[arrival_index];
  Daemon& daemon = this->daemons[arrival.daemon];
  Attempt attempt{.arrival = arrival_index, .excluded = std::move(excluded)};
  const routing::RequestFeatures features = this->Features(attempt);
  const std::string zone = ZoneName(daemon.zone);

  std::optional<size_t> choice;
  if (this->IsOmniscient()) {
    choice = this->ChooseOmniscient(arrival);
  } else {
    routing::RequestFeatures full = features;
    full.zone = zone;
    choice = daemon.router->Choose(this->queue.Now(), full);
    if (choice) {
      attempt.dispatch = daemon.router->OnDispatch(
          this->queue.Now(), static_cast<uint32_t>(*choice), full);
    }
  }
  if (!choice) {
    ++this->figures.refused;
    this->CheckRefusal(arrival);
    return;
  }

  attempt.upstream = *choice;
  this->attempts.push_back(std::move(attempt));
  const size_t index = this->attempts.size() - 1;
  this->queue.After(this->Latency(daemon.zone, this->upstreams[*choice].zone),
                    [this, index] { this->Deliver(index); });
}

routing::RequestFeatures FleetRun::Features(const Attempt& attempt) const {
  const Arrival& arrival = this->arrivals[attempt.arrival];
  routing::RequestFeatures features;
  features.model = arrival.model;
  if (arrival.model.empty()) features.service = this->shape.service;
  features.prefix_hashes = *arrival.blocks;
  features.prompt_bound = Tokens(arrival.prompt_tokens);
  features.max_output = Tokens(arrival.output_tokens);
  features.excluded = attempt.excluded;
  return features;
}

std::optional<size_t> FleetRun::ChooseOmniscient(const Arrival& arrival) const {
  const size_t zone = this->daemons[arrival.daemon].zone;
  const EngineJob job{.blocks = arrival.blocks,
                      .prompt_tokens = arrival.prompt_tokens,
                      .output_tokens = arrival.output_tokens};
  const bool greedy = this->options.policy == "omniscient-greedy";
  std::optional<size_t> best;
  Duration least{};
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    const Upstream& one = this->upstreams[i];
    if (!this->Serves(one, arrival) || !one.engine->IsUp() || IsLeaving(one) ||
        this->IsCut(zone, one.zone)) {
      continue;
    }
    const auto jobs = static_cast<int64_t>(one.engine->Jobs());
    const Duration reserve(greedy ? 0 : kReserveUs * jobs * jobs);
    const Duration time = one.engine->PredictFirstToken(job) +
                          2 * this->Latency(zone, one.zone) + reserve;
    if (best && time >= least) continue;
    best = i;
    least = time;
  }
  return best;
}

void FleetRun::Deliver(size_t index) {
  Attempt& attempt = this->attempts[index];
  const Arrival& arrival = this->arrivals[attempt.arrival];
  Upstream& one = this->upstreams[attempt.upstream];
  const size_t zone = this->daemons[arrival.daemon].zone;
  if (!attempt.open) return;

  if (this->IsCut(zone, one.zone) || !one.engine->IsUp()) {
    const Duration wait =
        this->IsCut(zone, one.zone) ? kConnectTimeout : Duration(1000);
    this->queue.After(wait, [this, index] {
      this->FailAttempt(index, FailureKind::kNotSent);
    });
    return;
  }
  // R6 speaks of work that is received; an attempt across a cut is not.
  this->CheckNewWork(arrival.daemon, attempt.upstream);
  if (!this->Serves(one, arrival)) {
    this->Violate("work for a model that the upstream has not loaded");
    this->FailAttempt(index, FailureKind::kRejected);
    return;
  }
  if (one.failing) {
    this->FailAttempt(index, FailureKind::kBroken);
    return;
  }
  one.engine->Submit({.id = index,
                      .blocks = arrival.blocks,
                      .prompt_tokens = arrival.prompt_tokens,
                      .output_tokens = arrival.output_tokens});
}

void FleetRun::FailAttempt(size_t index, FailureKind kind) {
  Attempt& attempt = this->attempts[index];
  if (!attempt.open) return;
  attempt.open = false;
  const bool delivered = attempt.first_seen;
  const size_t arrival = attempt.arrival;
  Daemon& daemon = this->daemons[this->arrivals[arrival].daemon];
  if (!this->IsOmniscient()) {
    daemon.router->OnFailed(this->queue.Now(), attempt.dispatch, kind);
  }

  std::vector<routing::UpstreamIndex> excluded = attempt.excluded;
  excluded.push_back(static_cast<uint32_t>(attempt.upstream));
  if (delivered || excluded.size() >= kMostAttempts) {
    ++this->figures.failed;
    return;
  }
  ++this->figures.retries;
  this->StartAttempt(arrival, std::move(excluded));
}

void FleetRun::Poll(size_t d) {
  if (this->IsOmniscient()) return;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    this->PollOne(this->daemons[d], i);
  }
  this->queue.After(kPollInterval, [this, d] { this->Poll(d); });
}

void FleetRun::PollOne(Daemon& daemon, size_t i) {
  const Upstream& one = this->upstreams[i];
  const TimePoint now = this->queue.Now();
  const auto index = static_cast<uint32_t>(i);
  const bool reachable =
      one.engine->IsUp() && !this->IsCut(daemon.zone, one.zone);
  const EngineReport* report = one.engine->ReportAt(now - kReportLag);
  if (!reachable || report == nullptr) {
    if (reachable) return;
    daemon.table->OnReport(now, one.name, {.reachable = false});
    daemon.router->OnReport(now, index, {});
    return;
  }

  const bool believes_orders = this->options.mutate == "trust-ordered-model";
  upstream::LoadReport load{
      .reachable = true,
      .running = report->running,
      .queued = report->queued,
      .models = believes_orders ? one.ordered : report->models,
      .leaving = report->leaving && this->options.mutate != "ignore-leaving"};
  daemon.table->OnReport(now, one.name, load);
  if (report->leaving) {
    this->Tell(daemon, i, LeavingSource::kOwnAnswer, true);
  }

  uint64_t& cursor = daemon.cache_cursor[i];
  const std::vector<CacheEvent> events =
      one.engine->Events(cursor, report->cache_end);
  const uint64_t first = cursor;
  cursor += events.size();
  if (!events.empty() && this->rng.Chance(kLostEvents)) return;
  std::vector<uint64_t> stored;
  std::vector<uint64_t> evicted;
  for (const CacheEvent& event : events) {
    (event.stored ? stored : evicted).push_back(event.hash);
  }
  daemon.router->OnReport(
      now, index,
      {.first_sequence = first, .stored = stored, .evicted = evicted});
}

void FleetRun::Tick() {
  const TimePoint now = this->queue.Now();
  for (Upstream& one : this->upstreams) {
    if (one.engine->IsUp()) one.engine->Snapshot(one.served, one.says_leaving);
  }
  for (Daemon& daemon : this->daemons) {
    if (this->IsOmniscient()) continue;
    daemon.table->OnTick(now);
    daemon.router->OnTick(now);
    this->CheckEjectionFloor(daemon);
  }
  this->queue.After(kTickInterval, [this] { this->Tick(); });
}

bool FleetRun::IsCut(size_t zone_a, size_t zone_b) const {
  return this->cut_zone && zone_a != zone_b &&
         (*this->cut_zone == zone_a || *this->cut_zone == zone_b);
}

Duration FleetRun::Latency(size_t zone_a, size_t zone_b) const {
  const bool coral = this->options.deployment == "coral-andina";
  return Duration(zone_a == zone_b ? 200 : (coral ? 1500 : 500));
}

bool FleetRun::Serves(const Upstream& one, const Arrival& arrival) const {
  if (arrival.model.empty()) return one.service;
  return std::find(one.served.begin(), one.served.end(), arrival.model) !=
         one.served.end();
}

void FleetRun::Violate(const std::string& text) {
  this->figures.violations.push_back(text);
}

double RateFor(const std::string& deployment, double load) {
  // Capacity for each unit of speed: the omniscient scheduler's queues grow
  // without bound from about this rate on.
  const bool coral = deployment == "coral-andina";
  double speeds = 0;
  const int runners = ShapeOf(deployment).runners;
  for (int i = 0; i < runners; ++i) {
    speeds +=
        kSpeeds[(static_cast<size_t>(i) / kZones + static_cast<size_t>(i)) %
                kSpeeds.size()];
  }
  const double requests_per_speed = coral ? 4.0 : 3.6;
  return load * speeds * requests_per_speed;
}

}  // namespace fuchsiadrum::bench
