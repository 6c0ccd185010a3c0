#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/upstream/placement_agent.h"

namespace fuchsiadrum::bench {

/// Figures of one run of the placement agents.
struct PlacementFigures {
  std::vector<std::string> violations;
  int orders = 0;
  int loads = 0;
};

/// Placement agents of several daemons order engines, half of which ignore the
/// fencing number. Daemons are paused and cut off from the log, orders arrive
/// late, reports lag by 2 s, and the catalogue changes twice.
class PlacementRun final {
 public:
  PlacementRun(uint64_t seed, const std::string& mutate);
  ~PlacementRun();

  PlacementFigures Run();

 private:
  class Peers;
  struct Engine {
    std::string name;
    bool checks_fencing = false;
    uint64_t highest_fencing = 0;
    std::string model;    // loaded
    std::string loading;  // being loaded; empty: none
    std::deque<std::pair<TimePoint, std::string>> history;
    int changes = 0;
  };
  struct Daemon;

  void MakeDaemons();
  void Step(size_t daemon);
  void FoldUpTo(Daemon& daemon, size_t end);
  void Append(const pb::Record& record);
  void Send(const Daemon& daemon, const upstream::PlacementOrder& order);
  void Arrive(size_t engine, const upstream::PlacementOrder& order);
  void Report(Daemon& daemon);
  void CheckEnd();
  std::vector<pb::Placement> Wanted(TimePoint now) const;
  void Violate(const std::string& text);

  std::string mutate;
  Rng rng;
  EventQueue queue;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<pb::Record> log;
  std::deque<TimePoint> load_starts;
  PlacementFigures figures;
};

}  // namespace fuchsiadrum::bench
