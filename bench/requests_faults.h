#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bench/requests_world.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::bench::requests {

/// Causes faults in a world and heals them.
class Faults {
 public:
  Faults(World& given, Rng seed) : world(given), rng(seed) {}

  /// Causes `count` random faults that begin between `from` and `to`. Half of
  /// them get a second one shortly after, so that they overlap.
  void Schedule(TimePoint from, TimePoint to, int count);
  /// Ends all faults and starts all daemons.
  void HealAll();
  /// Number of kinds, and one fault of a kind now for about `length`.
  static size_t Kinds();
  void Cause(size_t kind, Duration length);

  void CutZone(const std::string& zone, bool platform_too);
  void BreakUpstreams(size_t count, UpstreamMode mode);

 private:
  void KillOne(Duration length);
  void KillPair(Duration length);
  void PauseOne(Duration length);
  void PauseHome(Duration length);
  void DrainOne(Duration length);
  void CutZones(Duration length);
  void CutZonesOneWay(Duration length);
  void CutVmOneWay(Duration length);
  void CutPlatform(Duration length);
  void LogDown(Duration length);
  void LogSlow(Duration length);
  void LoseAppendAnswers(Duration length);
  void BreakUpstream(Duration length);
  void BreakHalf(Duration length);
  void JumpClock(Duration length);
  void BelieveDead(Duration length);
  void ReloadOne(Duration length);

  void After(Duration length, std::function<void()> heal);
  size_t AnyDaemon() { return this->rng.Below(World::kDaemons); }
  std::string AnyZone() {
    return this->world.ZoneName(this->rng.Below(World::kZones));
  }
  /// Home and witness of a random shard, as slots.
  std::vector<size_t> AnyPair();

  World& world;
  Rng rng;
};

}  // namespace fuchsiadrum::bench::requests
