#pragma once

#include "fuchsiadrum/core/rng.h"
#include "soak/observations.h"
#include "tests/platform/fake_store.h"

namespace fuchsiadrum::soak {

/// Writes versions of the configuration, lets the store go away and come back
/// from an older copy, and lets one of its partitions refuse appends. All calls
/// come from one thread.
class StoreDrill {
 public:
  /// Writes the first version.
  StoreDrill(uint64_t seed, gateway::FakeStore& fake_store,
             Observations& observations);

  /// Does what is due at that time. Returns true if the upstreams have to write
  /// their entries again.
  bool OnTick(TimePoint now);
  /// Brings the store back and writes the newest version again.
  void Settle();

 private:
  /// What the next step does.
  enum class Step { kCopy, kLeave, kReturn, kRewrite };

  void WriteNextVersion();
  /// Begins or ends a time in which no heartbeat is written.
  void SwitchHeartbeats(TimePoint now);
  /// Writes the newest version as it was acknowledged.
  void WriteNewest();
  void ComeBack();
  /// A time after now, between `least` and `most` seconds.
  TimePoint Draw(TimePoint now, double least, double most);

  Rng rng;
  gateway::FakeStore& store;
  Observations& seen;
  Step step = Step::kCopy;
  TimePoint next_step;
  TimePoint next_version;
  Rng heartbeat_rng;
  TimePoint next_switch;
};

}  // namespace fuchsiadrum::soak
