#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "bench/catalogue_fleet.h"
#include "bench/catalogue_platform.h"
#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_network.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::bench {

/// Breaks network, platform and daemons of a run at random moments.
class CatalogueFaults {
 public:
  using Trace = std::function<void(const std::string&)>;

  CatalogueFaults(EventQueue& queue, FakeNetwork& network,
                  CataloguePlatform& platform, CatalogueFleet& fleet, Rng rng,
                  Trace trace)
      : queue(queue),
        network(network),
        platform(platform),
        fleet(fleet),
        rng(rng),
        trace(std::move(trace)) {}

  /// Schedules `count` faults that begin in [from, to).
  void Schedule(int count, TimePoint from, TimePoint to, Duration retention);
  /// Cuts one zone off for `span`.
  void CutZone(TimePoint at, Duration span, const std::string& zone);
  /// Stops the log for `span`.
  void StopLog(TimePoint at, Duration span);
  /// Ends all faults and starts all daemons.
  void HealAll();

 private:
  void CutPair(TimePoint at, Duration span);
  void CutPlatform(TimePoint at, Duration span);
  void LoseAnswers(TimePoint at, Duration span);
  void KillOne(TimePoint at, Duration span);
  void KillAll(TimePoint at, Duration span);
  void PauseOne(TimePoint at, Duration span);
  void KillSnapshotWriter(TimePoint at, Duration span);
  void WatchSnapshotWriter(TimePoint end);
  void Cut(TimePoint at, Duration span, const std::string& from,
           const std::string& to);
  std::string AnyZone();
  size_t AnySlot() { return this->rng.Below(this->fleet.Slots().size()); }

  EventQueue& queue;
  FakeNetwork& network;
  CataloguePlatform& platform;
  CatalogueFleet& fleet;
  Rng rng;
  Trace trace;
  /// Nothing fails any more.
  bool healed = false;
};

}  // namespace fuchsiadrum::bench
