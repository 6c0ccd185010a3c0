#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench/bench_case.h"
#include "bench/catalogue_faults.h"
#include "bench/catalogue_fleet.h"
#include "bench/catalogue_operators.h"
#include "bench/catalogue_oracle.h"
#include "bench/catalogue_platform.h"
#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_network.h"
#include "fuchsiadrum/log/mutation.h"

namespace fuchsiadrum::bench {

/// Options of one run.
struct CatalogueRunOptions {
  uint64_t seed = 1;
  std::string scenario = "mixed";
  /// One-way latency between zones.
  Duration zone_delay = Duration(1500);
  log::Mutation mutation = log::Mutation::kNone;
  std::function<void(TimePoint, const std::string&)> trace;
};

/// Figures of one run.
struct CatalogueRunResult {
  std::vector<std::string> violations;
  uint64_t reverted = 0;
  uint64_t edits = 0;
  uint64_t accepted = 0;
  uint64_t rejected = 0;
  uint64_t refused = 0;
  /// Edits whose fate the author did not learn because the fleet was waiting
  /// for an operator to give up lost records.
  uint64_t unlearned_while_blocked = 0;
  uint64_t gaps_given_up = 0;
  bool blocked = false;
  uint64_t snapshots = 0;
  uint64_t appends = 0;
  uint64_t seconds = 0;
  uint64_t peak_appends = 0;
  std::vector<int64_t> in_force_ms;
  std::vector<int64_t> learned_ms;
};

/// Nine daemons, two operators and faults; then everything heals, and the
/// states are compared with the oracle's.
class CatalogueRun {
 public:
  explicit CatalogueRun(CatalogueRunOptions options);
  CatalogueRunResult Run();

 private:
  /// What was seen of one daemon incarnation.
  struct Life {
    uint64_t offset = 0;
    uint64_t revision = 0;
  };
  /// Batches that are stored, for each VM: time during which the daemon could
  /// have folded them and did not.
  struct Waiting {
    uint64_t next = 0;
    std::map<uint64_t, int64_t> ms;
  };
  void ScheduleScenario();
  void ScheduleSample();
  void ScheduleTrim();
  void Observe(const FleetSlot& slot);
  void Sample();
  void GiveUpByOrder();
  bool IsLost(uint64_t offset) const;
  void CheckStates();
  void CheckAuthors();
  void CheckUnknownRecord();
  void Violate(const std::string& text);
  void Trace(const std::string& text);

  CatalogueRunOptions options;
  Rng rng;
  EventQueue queue;
  FakeNetwork network;
  CataloguePlatform platform;
  CatalogueFleet fleet;
  CatalogueOperators operators;
  CatalogueFaults faults;
  CatalogueOracle oracle;
  CatalogueRunResult result;

  Duration retention;
  TimePoint edits_end;
  TimePoint end;
  std::map<VmRef, Life> lives;
  std::map<std::string, uint64_t> best_revision;
  /// The first daemon that had a digest at an offset.
  std::map<std::pair<uint64_t, uint64_t>, VmRef> digests;
  /// Offsets that were given up, and whether by an operator's order.
  std::vector<std::pair<uint64_t, uint64_t>> lost;
  bool lost_by_order = false;
  std::map<std::string, Waiting> waiting;
  std::vector<std::pair<uint64_t, int64_t>> waited;
};

}  // namespace fuchsiadrum::bench
