#include "bench/requests_bench.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "bench/requests_clients.h"
#include "bench/requests_faults.h"
#include "bench/requests_world.h"
#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::bench {
namespace {

using requests::Clients;
using requests::Faults;
using requests::RunRecord;
using requests::UpstreamMode;
using requests::Violation;
using requests::World;

constexpr int64_t kInitialRetries = 3;

constexpr TimePoint Seconds(int64_t s) { return {s * 1'000'000}; }

/// Figures over all runs.
struct Totals {
  int64_t replies = 0;
  int64_t unknown = 0;
  int64_t in_progress = 0;
  int64_t not_run = 0;
  int64_t complete = 0;
  int64_t failed = 0;
  int64_t not_run_after_run = 0;
  int64_t billed = 0;
  int64_t not_billed = 0;
  int64_t first_attempts = 0;
  int64_t retries = 0;
  int64_t lost_listed = 0;
  int64_t resets = 0;
  int64_t take_overs = 0;
  int double_runs = 0;
  int double_bills = 0;
  int false_not_run = 0;
  int violations = 0;
  double worst_retry_ratio = 0;
  std::map<std::string, int> rules;
};

const std::set<std::string>& Mutations() {
  static const std::set<std::string> kNames = {"",
                                               "skip-witness",
                                               "ack-after-takeover",
                                               "no-bulk-handover",
                                               "run-after-reset",
                                               "not-run-after-dispatch",
                                               "cut-stream-is-whole",
                                               "mix-attempts"};
  return kNames;
}

/// Retries for each first attempt at the upstreams from `first` on.
double RetryRatio(World& world, size_t first) {
  int64_t attempts = 0;
  int64_t retries = 0;
  for (const World::Slot& slot : world.Slots()) {
    if (!slot.up) continue;
    for (const auto& [where, counts] : slot.daemon->attempts) {
      if (where.first < first) continue;
      attempts += counts.first;
      retries += counts.second;
    }
  }
  return attempts == 0
             ? 0.0
             : static_cast<double>(retries) / static_cast<double>(attempts);
}

class RequestsBench : public BenchCase {
 public:
  nlohmann::json Run(const BenchOptions& given) override;

 private:
  void RunOnce(uint64_t seed, std::ofstream* trace);
  void RunFaults(World& world, Rng& rng);
  void CheckEnd(World& world);
  double HalfOut(uint64_t seed, UpstreamMode mode);
  void Count(World& world);
  void Report(uint64_t seed, const World& world, const RunRecord& record);
  nlohmann::json Figures(double half_out) const;

  BenchOptions options;
  Totals totals;
};

void RequestsBench::RunFaults(World& world, Rng& rng) {
  Clients clients(world, rng.Fork("clients"));
  Faults faults(world, rng.Fork("faults"));
  EventQueue& queue = world.Queue();
  const std::string& scenario = this->options.scenario;
  int64_t hour = 0;

  // Calls start when the shards are assigned.
  if (scenario == "zone-cut-1h" || scenario == "log-down-1h") {
    hour = 3600;
    queue.At(Seconds(10), [&] {
      if (scenario == "log-down-1h") {
        world.log_up = false;
      } else {
        faults.CutZone(world.ZoneName(0), true);
      }
    });
  } else if (scenario == "mixed") {
    faults.Schedule(Seconds(4), Seconds(32), 7);
  }
  queue.At(Seconds(3), [&clients, hour] {
    clients.Run(Seconds(35 + hour), hour > 0 ? 5.0 : 25.0);
  });

  queue.At(Seconds(36 + hour), [&faults] { faults.HealAll(); });
  queue.At(Seconds(58 + hour), [&clients] {
    clients.Sweep();
    clients.ProbeLostShards();
  });
  // The operator reopens lost shards when no old call is retried any more.
  queue.At(Seconds(66 + hour), [&world] {
    const request::ShardTable& table =
        world.Slots()[world.MostAdvanced()].daemon->Table();
    for (uint32_t shard = 0; shard < table.Size(); ++shard) {
      if (!table.At(shard).lost) continue;
      pb::Record reopen;
      reopen.mutable_shard_reopen()->set_shard(shard);
      reopen.mutable_shard_reopen()->set_author("bench");
      world.AppendAsOperator(reopen);
    }
  });
  queue.At(Seconds(67 + hour), [&clients] { clients.Probe(); });
  world.RunUntil(Seconds(74 + hour));

  // Baselines have no homes, so a table without shards says nothing.
  clients.Check();
  this->CheckEnd(world);
}

void RequestsBench::CheckEnd(World& world) {
  RunRecord& record = world.Record();
  std::set<uint64_t> digests;
  for (World::Slot& slot : world.Slots()) {
    digests.insert(slot.daemon->Table().Digest());
    const TimePoint now = world.Queue().Now() + slot.clock_offset;
    if (slot.daemon->Overdue(now) > 0) {
      record.Violate("held_past_deadline", slot.info.ref.ToString());
    }
  }
  if (digests.size() > 1) {
    record.Violate("tables_differ", "after healing");
  }
  // The budget holds for each daemon, class and upstream.
  for (World::Slot& slot : world.Slots()) {
    for (const auto& [where, counts] : slot.daemon->attempts) {
      if (counts.second * 10 > counts.first + kInitialRetries * 10) {
        record.Violate("retry_budget", slot.info.ref.ToString());
      }
    }
  }
}

void RequestsBench::Count(World& world) {
  const RunRecord& record = world.Record();
  Totals& t = this->totals;
  t.replies += record.replies;
  t.unknown += record.unknown_replies;
  t.in_progress += record.in_progress_replies;
  t.not_run += record.not_run_replies;
  t.complete += record.complete_replies;
  t.failed += record.failed_replies;
  t.not_run_after_run += record.not_run_after_run;
  t.billed += record.billed;
  t.not_billed += record.not_billed;
  t.double_runs += record.double_runs;
  t.double_bills += record.double_bills;
  t.false_not_run += record.false_not_run;
  t.violations += static_cast<int>(record.violations.size());
  t.resets += world.resets;
  t.take_overs += world.take_overs;
  for (const Violation& violation : record.violations) {
    ++t.rules[violation.rule];
  }
  t.worst_retry_ratio = std::max(t.worst_retry_ratio, RetryRatio(world, 0));
  const World::Slot& reader = world.Slots()[world.MostAdvanced()];
  if (reader.daemon != nullptr) {
    t.lost_listed += static_cast<int64_t>(reader.daemon->Table().LostTotal());
  }
}

void RequestsBench::RunOnce(uint64_t seed, std::ofstream* trace) {
  Rng rng(seed);
  const bool mixed = this->options.scenario == "mixed";
  const bool coral = this->options.deployment == "coral-andina";
  World world({.seed = rng.Next(),
               .policy = this->options.policy,
               .mutate = this->options.mutate,
               .zone_delay = Duration(coral ? 1500 : 500),
               .loss = mixed ? 0.02 : 0.0,
               .duplicate = mixed ? 0.02 : 0.0,
               .initial_retries = static_cast<int>(kInitialRetries),
               .trace = trace});
  try {
    this->RunFaults(world, rng);
  } catch (const InvariantViolation& broken) {
    world.Record().Violate("assertion", broken.what());
  }
  this->Count(world);
  if (!world.Record().violations.empty()) {
    this->Report(seed, world, world.Record());
  }
}

void RequestsBench::Report(uint64_t seed, const World& world,
                           const RunRecord& record) {
  // The first run with a violation is enough to repeat it.
  if (this->totals.violations > static_cast<int>(record.violations.size())) {
    return;
  }
  const World::Scene& scene = world.FirstViolation();
  std::cerr << "requests: seed " << seed << " breaks "
            << record.violations.front().rule << " at step " << scene.step
            << ", peer " << scene.peer << "\n";
  for (size_t i = 0; i < std::min<size_t>(5, record.violations.size()); ++i) {
    std::cerr << "  " << record.violations[i].rule << ": "
              << record.violations[i].text << "\n";
  }
  std::cerr << "last events:\n";
  for (const std::string& line : scene.events) {
    std::cerr << "  " << line << "\n";
  }
  std::cerr << "repeat: build/fuchsiadrum-bench requests --runs 1 --seed "
            << seed << " --scenario " << this->options.scenario
            << " --deployment " << this->options.deployment
            << (this->options.policy.empty()
                    ? ""
                    : " --policy " + this->options.policy)
            << (this->options.mutate.empty()
                    ? ""
                    : " --mutate " + this->options.mutate)
            << " --trace requests.trace\n";
}

double RequestsBench::HalfOut(uint64_t seed, UpstreamMode mode) {
  Rng rng(seed);
  World world({.seed = rng.Next(), .policy = this->options.policy});
  Clients clients(world, rng.Fork("clients"));
  Faults faults(world, rng.Fork("faults"));
  faults.BreakUpstreams(World::kUpstreams / 2, mode);
  // Enough load for each class and upstream to earn retries.
  world.Queue().At(Seconds(3), [&clients] { clients.Run(Seconds(23), 600.0); });
  world.RunUntil(Seconds(30));
  return RetryRatio(world, World::kUpstreams / 2);
}

nlohmann::json RequestsBench::Figures(double half_out) const {
  const Totals& t = this->totals;
  const auto ratio = [&t](int64_t part) {
    return t.replies == 0
               ? 0.0
               : static_cast<double>(part) / static_cast<double>(t.replies);
  };
  return {{"bench", "requests"},
          {"seed", this->options.seed},
          {"runs", this->options.runs},
          {"policy", this->options.policy.empty() ? "witnessed-claims"
                                                  : this->options.policy},
          {"mutate", this->options.mutate},
          {"scenario", this->options.scenario},
          {"violations", t.violations},
          {"broken_rules", t.rules},
          {"double_runs", t.double_runs},
          {"double_bills", t.double_bills},
          {"false_not_run", t.false_not_run},
          {"replies", t.replies},
          {"complete_ratio", ratio(t.complete)},
          {"unknown_ratio", ratio(t.unknown)},
          {"in_progress_ratio", ratio(t.in_progress)},
          {"false_refusal_ratio", ratio(t.not_run)},
          {"failed_ratio", ratio(t.failed)},
          {"not_run_after_run", t.not_run_after_run},
          {"billed", t.billed},
          {"not_billed", t.not_billed},
          {"lost_listed", t.lost_listed},
          {"resets", t.resets},
          {"take_overs", t.take_overs},
          {"worst_retry_ratio", t.worst_retry_ratio},
          {"half_out_retry_ratio", half_out}};
}

nlohmann::json RequestsBench::Run(const BenchOptions& given) {
  this->options = given;
  const bool known_policy =
      given.policy.empty() || given.policy == "no-claim" ||
      given.policy == "time-lease" || given.policy == "witness-in-home-zone";
  if (!known_policy || !Mutations().contains(given.mutate)) {
    std::cerr << "requests: unknown policy or mutation\n";
    return {{"bench", "requests"}, {"violations", 1}};
  }

  std::ofstream trace;
  if (!given.trace.empty()) trace.open(given.trace);
  for (int run = 0; run < given.runs; ++run) {
    this->RunOnce(given.seed + static_cast<uint64_t>(run),
                  trace.is_open() ? &trace : nullptr);
  }
  double half_out = 0;
  for (const UpstreamMode mode :
       {UpstreamMode::kDead, UpstreamMode::kRejects, UpstreamMode::kSilent}) {
    half_out = std::max(half_out, this->HalfOut(given.seed, mode));
  }
  return this->Figures(half_out);
}

}  // namespace

std::unique_ptr<BenchCase> MakeRequestsBench() {
  return std::make_unique<RequestsBench>();
}

}  // namespace fuchsiadrum::bench
