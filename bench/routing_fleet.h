#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "bench/routing_engine.h"
#include "bench/routing_faults.h"
#include "bench/routing_workload.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/routing/router_factory.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::bench {

/// Options of one run.
struct FleetOptions {
  std::string deployment = "coral-andina";
  std::string scenario = "healthy";
  /// A policy of the router factory, "omniscient", or "omniscient-greedy".
  std::string policy = "cost";
  std::string mutate;
  uint64_t seed = 1;
  /// Offered work as a share of what the runners can do.
  double load = 0.8;
  Duration length = std::chrono::seconds(90);
  /// Requests before this moment are not measured.
  Duration warm_up = std::chrono::seconds(20);
  routing::CostRouterOptions router;
};

/// Figures of one run.
struct FleetFigures {
  std::vector<std::string> violations;
  /// Times to first token of the measured model requests, milliseconds.
  std::vector<double> ttft_ms;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  double new_work_after_leave_max_s = 0;
  int arrivals = 0;
  int complete = 0;
  int refused = 0;
  int failed = 0;
  int retries = 0;
  double busy_share = 0;
};

/// Nine daemons that route independently to fake engines, on one trace.
class FleetRun final : public EngineListener {
 public:
  explicit FleetRun(const FleetOptions& options);

  /// Runs the trace to its end.
  FleetFigures Run();

 private:
  struct Upstream {
    std::string name;
    size_t zone = 0;
    bool service = false;
    double speed = 1;
    std::unique_ptr<FakeEngine> engine;
    std::vector<std::string> served;
    std::vector<std::string> ordered;
    /// What its own answers and the VM list say.
    bool says_leaving = false;
    bool listed_leaving = false;
    bool drained_by_operator = false;
    bool gone = false;
    /// Breaks every request.
    bool failing = false;
    /// First time that any daemon was told.
    std::optional<TimePoint> told_at;
  };
  struct Daemon {
    size_t zone = 0;
    std::unique_ptr<upstream::UpstreamTable> table;
    std::unique_ptr<routing::Router> router;
    std::vector<uint64_t> cache_cursor;
  };
  struct Attempt {
    size_t arrival = 0;
    size_t upstream = 0;
    routing::Dispatch dispatch;
    std::vector<routing::UpstreamIndex> excluded;
    bool open = true;
    bool first_seen = false;
  };

  // EngineListener
  void OnEngineFirstToken(uint64_t job, int cached_tokens) override;
  void OnEngineDone(uint64_t job) override;
  void OnEngineBroken(uint64_t job) override;

  void MakeUpstreams();
  void MakeDaemons();
  void ScheduleFaults();
  void StartLeaving(const Fault& fault);
  void FinishLeaving(size_t upstream, TimePoint limit);
  void SetZoneCut(size_t zone, bool cut);
  void SetErrors(bool failing);

  void StartAttempt(size_t arrival,
                    std::vector<routing::UpstreamIndex> excluded);
  routing::RequestFeatures Features(const Attempt& attempt) const;
  std::optional<size_t> ChooseOmniscient(const Arrival& arrival) const;
  void Deliver(size_t attempt);
  void FailAttempt(size_t attempt, routing::FailureKind kind);
  void CheckNewWork(size_t daemon, size_t upstream);
  void CheckRefusal(const Arrival& arrival);

  void Poll(size_t daemon);
  void PollOne(Daemon& daemon, size_t upstream);
  void Gossip(size_t daemon);
  void ReadVmList(size_t daemon);
  void Tick();
  void CheckEjectionFloor(const Daemon& daemon);
  void Tell(Daemon& daemon, size_t upstream, upstream::LeavingSource source,
            bool leaving);

  bool IsCut(size_t zone_a, size_t zone_b) const;
  Duration Latency(size_t zone_a, size_t zone_b) const;
  static bool IsLeaving(const Upstream& upstream) {
    return upstream.says_leaving || upstream.listed_leaving ||
           upstream.drained_by_operator;
  }
  bool Serves(const Upstream& upstream, const Arrival& arrival) const;
  bool IsOmniscient() const {
    return this->options.policy.starts_with("omniscient");
  }
  void Violate(const std::string& text);

  FleetOptions options;
  DeploymentShape shape;
  Rng rng;
  EventQueue queue;
  std::vector<Upstream> upstreams;
  std::vector<Daemon> daemons;
  std::vector<Arrival> arrivals;
  std::vector<Attempt> attempts;
  std::optional<size_t> cut_zone;
  FleetFigures figures;
};

/// Model requests per second that load the runners of a deployment to `load`.
double RateFor(const std::string& deployment, double load);

}  // namespace fuchsiadrum::bench
