#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "soak/caller.h"
#include "soak/checker.h"
#include "soak/faulty_upstream.h"
#include "soak/observations.h"
#include "soak/process_faults.h"
#include "soak/store_drill.h"
#include "tests/platform/fake_store.h"

namespace fuchsiadrum::soak {

/// Options of one run of the soak.
struct SoakOptions {
  std::string gateway_program;
  uint64_t seed = 1;
  /// Time with faults, in seconds.
  double seconds = 20;
  int gateways = 3;
  int upstreams = 4;
  int callers = 12;
  /// Callers that ask for streams of some seconds.
  int long_callers = 4;
};

/// Runs gateways, upstreams and callers with the faults of one seed, and judges
/// what they saw.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& opts);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// Returns the reason why the run could not be done, or an empty string.
  /// Ends early when `interrupted` is set.
  std::string Run(const std::atomic<bool>& interrupted);

  const std::vector<Violation>& Violations() const { return this->violations; }
  const Observations::Requests& Requests() const { return this->seen.All(); }
  /// The timeline of a request: what callers, upstreams and gateways saw of it.
  std::vector<std::string> TraceOf(const std::string& id) const;
  /// Number of events of this kind at all gateways.
  int CountEvents(ProcessEvent event) const;
  /// How often upstreams have ended under a request.
  int Ends() const { return this->ends; }
  /// How often the store came back from a copy.
  size_t Restores() const { return this->seen.StoreAway().size(); }

 private:
  std::string StartGateways();
  void Announce();
  /// Ends and starts upstreams, and writes their heartbeats.
  void StepUpstreams();
  void RunFaults(StoreDrill& drill, const std::atomic<bool>& interrupted);
  /// Sends requests of each route to each gateway until they are served.
  void Probe(const std::atomic<bool>& interrupted);
  void StopCallers();

  SoakOptions options;
  std::string folder;
  Observations seen;
  gateway::RunRecord run_record;
  /// While set, upstreams make no faults.
  std::atomic<bool> calm{false};
  std::atomic<bool> stopping{false};
  gateway::FakeStore store;
  int64_t sequence = 0;
  TimePoint next_heartbeat;
  int ends = 0;
  std::vector<std::unique_ptr<FaultyUpstream>> upstreams;
  Gateways gateways;
  std::vector<std::thread> callers;
  std::vector<Violation> violations;
};

}  // namespace fuchsiadrum::soak
