#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/placement.h"

namespace fuchsiadrum::serving {

/// Faults of a simulated engine.
enum class EngineKind { kFast, kSlow, kCold, kFlapping, kLying };

/// Options of a simulated fleet.
struct PlacementFleetOptions {
  uint64_t seed = 1;
  int vms = 1;
  int engines = 10;
  int slots = 8;
  double prompt_tokens_per_ms = 40;
  double step_ms = 5;
  int64_t memory_tokens = 230000;
  /// Speeds of the engines in turn.
  std::vector<double> slowness = {1.0};
  double requests_per_s = 50;
  int callers = 1;
  /// Fraction of the requests of the first caller; the others share the rest.
  double hot_fraction = 0;
  int64_t common_tokens = 0;
  int64_t shared_tokens = 800;
  int64_t own_tokens = 400;
  int output_tokens = 80;
  /// First tokens within the target count 1, within the limit `late_value`.
  double target_ms = 300;
  double limit_ms = 2000;
  double late_value = 0.3;
  Duration length = std::chrono::seconds(20);
  /// Requests that arrive before this are not counted.
  Duration warm_up = std::chrono::seconds(5);
  /// When engine 0 starts; zero: it runs from the beginning.
  Duration start_of_first = Duration::zero();
  EngineKind first_kind = EngineKind::kFast;
  /// A fixed ramp-up of engine 0 over this time, which knows the engine's
  /// requests exactly; nullopt: that of the product.
  std::optional<Duration> fixed_ramp;
  PlacementOptions placement;
};

/// What a simulation has counted.
struct PlacementFleetResult {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int lost = 0;
  double value = 0;
  double cached_fraction = 0;
  std::vector<int> sends;
  /// Observed divided by expected time to the first token, sorted.
  std::vector<double> ratios;

  double Mean() const { return this->value / std::max(1, this->requests); }
  double Ratio(double quantile) const {
    if (this->ratios.empty()) return 0;
    const auto last = static_cast<double>(this->ratios.size() - 1);
    return this->ratios[static_cast<size_t>(quantile * last)];
  }
  /// Sends to the busiest engine divided by the mean.
  double Skew() const {
    double sum = 0;
    for (const int count : this->sends) sum += count;
    const int most = *std::ranges::max_element(this->sends);
    return most * static_cast<double>(this->sends.size()) / std::max(1.0, sum);
  }
};

/// Simulates VMs that place requests on model engines without a network: each
/// VM sees only its own requests and the reports in their answers. An engine
/// processes prompts one after the other, runs as many requests as it has slots
/// and queues the rest.
class PlacementFleet {
 public:
  explicit PlacementFleet(const PlacementFleetOptions& opts)
      : options(opts), rng(opts.seed) {
    UpstreamOptions upstream_options;
    if (opts.fixed_ramp) upstream_options.ramp.first_part = 1;
    for (int i = 0; i < opts.engines; ++i) {
      Engine engine(opts.memory_tokens);
      engine.slowness =
          opts.slowness[static_cast<size_t>(i) % opts.slowness.size()];
      this->engines.push_back(std::move(engine));
    }
    this->engines[0].kind = opts.first_kind;
    this->engines[0].started = kBegin + opts.start_of_first;
    for (int v = 0; v < opts.vms; ++v) {
      PlacementOptions placement = opts.placement;
      placement.seed = opts.seed * 1000 + static_cast<uint64_t>(v);
      placement.availability_zone = "a";
      this->vms.push_back(std::make_unique<Vm>(placement));
      this->vms.back()->streams.resize(static_cast<size_t>(opts.engines));
      this->vms.back()->placement.SetFleetSize(static_cast<size_t>(opts.vms));
      for (int i = 0; i < opts.engines; ++i) {
        this->vms.back()->upstreams.push_back(std::make_shared<FleetUpstream>(
            UpstreamEntry{.id = "u" + std::to_string(i),
                          .service = "draft",
                          .availability_zone = "a",
                          .slots = opts.slots},
            upstream_options));
      }
    }
    this->result.sends.resize(static_cast<size_t>(opts.engines));
  }

  PlacementFleetResult Run() {
    this->ScheduleArrival();
    const TimePoint end = kBegin + this->options.length;
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      this->is_open = event.at < end;
      event.run();
    }
    std::ranges::sort(this->result.ratios);
    this->result.cached_fraction =
        this->prompt_sum > 0 ? this->cached_sum / this->prompt_sum : 0;
    return this->result;
  }

 private:
  static constexpr TimePoint kBegin{1'000'000'000};

  struct Job {
    size_t vm = 0;
    size_t engine = 0;
    FleetUpstreamPtr upstream;
    PlacementChoice choice;
    std::vector<PromptPart> parts;
    int64_t tokens = 0;
    TimePoint arrived;
    TimePoint first_at;
    bool counted = false;
    double value = 0;
    bool first_seen = false;
    bool ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct Engine {
    explicit Engine(int64_t memory) : cache(memory) {}
    double slowness = 1;
    EngineKind kind = EngineKind::kFast;
    TimePoint started{};
    TimePoint down_until{};
    std::deque<JobPtr> waiting;
    std::vector<JobPtr> running;
    TimePoint prefill_free{};
    PromptCache cache;
  };
  struct Vm {
    explicit Vm(const PlacementOptions& opts) : placement(opts) {}
    Placement placement;
    std::vector<FleetUpstreamPtr> upstreams;
    /// Own streams that have begun, by engine.
    std::vector<int> streams;
  };
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return other.at < this->at ||
             (other.at == this->at && other.order < this->order);
    }
  };

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, ++this->order, std::move(run)});
  }

  void ScheduleArrival() {
    const double gap = this->rng.Exponential(1 / this->options.requests_per_s);
    this->At(this->now + FromSeconds(gap), [this] {
      if (!this->is_open) return;
      this->Arrive();
      this->ScheduleArrival();
    });
  }

  void Arrive() {
    auto job = std::make_shared<Job>();
    job->vm = this->rng.Below(this->vms.size());
    const uint64_t caller =
        this->rng.Chance(this->options.hot_fraction)
            ? 0
            : this->rng.Below(static_cast<uint64_t>(this->options.callers));
    if (this->options.common_tokens > 0) {
      job->parts.push_back({.id = 7, .tokens = this->options.common_tokens});
    }
    job->parts.push_back(
        {.id = 100 + caller, .tokens = this->options.shared_tokens});
    job->parts.push_back(
        {.id = this->rng.Next(), .tokens = this->options.own_tokens});
    for (const PromptPart& part : job->parts) job->tokens += part.tokens;
    job->arrived = this->now;
    job->counted = this->now - kBegin >= this->options.warm_up;
    if (job->counted) ++this->result.requests;
    this->Place(job);
  }

  /// True if engine 0 may be chosen now.
  bool MayUseFirst() const {
    const Engine& engine = this->engines[0];
    if (this->now < engine.started) return false;
    if (!this->options.fixed_ramp) return true;
    const double part = ToSeconds(this->now - engine.started) /
                        std::max(1e-6, ToSeconds(*this->options.fixed_ramp));
    const auto requests =
        static_cast<double>(engine.running.size() + engine.waiting.size());
    return part >= 1 || requests < part * this->options.slots;
  }

  void Place(const JobPtr& job) {
    Vm& vm = *this->vms[job->vm];
    constexpr int kAttempts = 3;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      std::vector<FleetUpstreamPtr> candidates;
      for (size_t i = 0; i < vm.upstreams.size(); ++i) {
        if (i == 0 && !this->MayUseFirst()) continue;
        if (vm.upstreams[i]->IsEjected(this->now)) continue;
        // A stream sends an event every few tens of milliseconds.
        if (vm.streams[i] > 0) vm.upstreams[i]->OnBytesReceived(this->now);
        candidates.push_back(vm.upstreams[i]);
      }
      const auto choice =
          vm.placement.Choose(this->now, candidates,
                              {.service = "draft",
                               .parts = job->parts,
                               .prompt_tokens = job->tokens,
                               .max_output_tokens = this->options.output_tokens,
                               .memory_tokens = this->options.memory_tokens,
                               .has_prompt = true});
      if (!choice) break;
      job->choice = *choice;
      job->upstream = choice->upstream;
      for (size_t i = 0; i < vm.upstreams.size(); ++i) {
        if (vm.upstreams[i] == choice->upstream) job->engine = i;
      }
      if (this->now < this->engines[job->engine].down_until) {
        choice->upstream->OnUnreachable(this->now);
        continue;
      }
      this->Send(job);
      return;
    }
    if (job->counted) ++this->result.lost;
  }

  void Send(const JobPtr& job) {
    job->upstream->OnDispatch(this->now);
    job->upstream->pending_tokens += job->choice.uncached_tokens;
    job->upstream->held_tokens += job->choice.held_tokens;
    this->vms[job->vm]->placement.OnSend(this->now, job->choice, job->parts);
    if (job->counted) ++this->result.sends[job->engine];
    constexpr Duration kLink = std::chrono::milliseconds(2);
    this->At(this->now + kLink, [this, job] { this->Reach(job); });
  }

  void Reach(const JobPtr& job) {
    Engine& engine = this->engines[job->engine];
    if (this->now < engine.down_until) return this->Break(job);
    if (engine.running.size() < static_cast<size_t>(this->options.slots)) {
      this->Start(job);
    } else {
      engine.waiting.push_back(job);
    }
    constexpr size_t kFlappingRequests = 3;
    const bool is_fragile =
        engine.kind == EngineKind::kFlapping &&
        this->now - engine.started < std::chrono::seconds(8);
    if (is_fragile && engine.running.size() > kFlappingRequests) {
      this->Crash(engine);
    }
  }

  void Crash(Engine& engine) {
    engine.down_until = this->now + std::chrono::seconds(1);
    const std::vector<JobPtr> lost = std::move(engine.running);
    engine.running.clear();
    for (const JobPtr& job : lost) this->Break(job);
    const std::deque<JobPtr> dropped = std::move(engine.waiting);
    engine.waiting.clear();
    for (const JobPtr& job : dropped) this->Break(job);
  }

  double SlownessOf(const Engine& engine) const {
    constexpr double kSlow = 4;
    constexpr double kCold = 6;
    const bool is_cold = this->now - engine.started < std::chrono::seconds(3);
    switch (engine.kind) {
      case EngineKind::kSlow:
      case EngineKind::kLying:
        return engine.slowness * kSlow;
      case EngineKind::kCold:
        return is_cold ? engine.slowness * kCold : engine.slowness;
      case EngineKind::kFast:
      case EngineKind::kFlapping:
        return engine.slowness;
    }
    return engine.slowness;
  }

  void Start(const JobPtr& job) {
    Engine& engine = this->engines[job->engine];
    engine.running.push_back(job);
    const int64_t cached = engine.cache.CachedTokens(job->parts);
    engine.cache.Use(job->parts);
    if (job->counted) {
      this->cached_sum += static_cast<double>(cached);
      this->prompt_sum += static_cast<double>(job->tokens);
    }
    const double slowness = this->SlownessOf(engine);
    constexpr double kFixedMs = 10;
    const double prefill = static_cast<double>(job->tokens - cached) /
                           this->options.prompt_tokens_per_ms * slowness;
    const TimePoint begin = std::max(this->now, engine.prefill_free);
    engine.prefill_free = begin + FromMilliseconds(prefill);
    const TimePoint first =
        engine.prefill_free + FromMilliseconds(kFixedMs * slowness);
    this->At(first, [this, job] { this->OnFirst(job); });
    const double decode =
        this->options.output_tokens * this->options.step_ms * slowness;
    this->At(first + FromMilliseconds(decode),
             [this, job] { this->OnEnd(job); });
  }

  void OnFirst(const JobPtr& job) {
    if (job->ended) return;
    const Engine& engine = this->engines[job->engine];
    LoadReport report = {.running = static_cast<int>(engine.running.size()),
                         .waiting = static_cast<int>(engine.waiting.size()),
                         .slots = this->options.slots};
    if (engine.kind == EngineKind::kLying) {
      report.running = 0;
      report.waiting = 0;
      report.work_percent = 1;
    }
    job->upstream->OnReport(this->now, report);
    job->upstream->pending_tokens -= job->choice.uncached_tokens;
    job->first_seen = true;
    job->upstream->OnBytesReceived(this->now);
    ++this->vms[job->vm]->streams[job->engine];
    job->first_at = this->now;
    const Duration observed = this->now - job->arrived;
    this->vms[job->vm]->placement.OnFirstToken(this->now, job->choice,
                                               observed);
    if (!job->counted) return;
    const double ms = ToMilliseconds(observed);
    this->result.ratios.push_back(ms / job->choice.expected_ms);
    if (ms <= this->options.target_ms) {
      ++this->result.on_time;
      job->value = 1;
    } else if (ms <= this->options.limit_ms) {
      ++this->result.late;
      job->value = this->options.late_value;
    }
    this->result.value += job->value;
  }

  void OnEnd(const JobPtr& job) {
    if (job->ended) return;
    job->ended = true;
    Engine& engine = this->engines[job->engine];
    std::erase(engine.running, job);
    --this->vms[job->vm]->streams[job->engine];
    job->upstream->OnEnd();
    job->upstream->held_tokens -= job->choice.held_tokens;
    Placement& placement = this->vms[job->vm]->placement;
    placement.OnComplete(job->choice, this->now - job->first_at);
    placement.OnEventInterval(
        job->choice,
        FromMilliseconds(this->options.step_ms * this->SlownessOf(engine)));
    if (engine.waiting.empty()) return;
    const JobPtr next = engine.waiting.front();
    engine.waiting.pop_front();
    this->Start(next);
  }

  /// The engine has crashed with this request.
  void Break(const JobPtr& job) {
    if (job->ended) return;
    job->ended = true;
    job->upstream->OnEnd();
    job->upstream->held_tokens -= job->choice.held_tokens;
    if (job->first_seen) {
      --this->vms[job->vm]->streams[job->engine];
    } else {
      job->upstream->pending_tokens -= job->choice.uncached_tokens;
    }
    job->upstream->OnFailure(this->now);
    if (job->counted) ++this->result.lost;
    // What was delivered of the answer is worth nothing.
    this->result.value -= job->value;
  }

  PlacementFleetOptions options;
  Rng rng;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Vm>> vms;
  std::priority_queue<Event> events;
  uint64_t order = 0;
  TimePoint now = kBegin;
  bool is_open = true;
  double cached_sum = 0;
  double prompt_sum = 0;
  PlacementFleetResult result;
};

}  // namespace fuchsiadrum::serving
