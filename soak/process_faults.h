#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "soak/gateway_process.h"

namespace fuchsiadrum::soak {

using Gateways = std::vector<std::unique_ptr<GatewayProcess>>;

/// Stops, kills, pauses, restarts and reloads gateways at random, in series and
/// overlapping. All calls come from one thread.
class ProcessFaults {
 public:
  ProcessFaults(uint64_t seed, Gateways& gateway_processes);

  /// Does what is due at that time.
  void OnTick(TimePoint now);
  /// Ends all disturbance: resumes and restarts every gateway. Calls `on_wait`
  /// while it waits for the ends of stops.
  void Settle(const std::function<void()>& on_wait);
  /// A process that ended in a way that it should not.
  struct Failure {
    std::string text;
    /// Name of the last signal before its end.
    std::string signal;
  };
  const std::vector<Failure>& Failures() const { return this->failures; }

 private:
  enum class State { kUp, kStopping, kPaused, kDown };
  struct Plan {
    State state = State::kUp;
    TimePoint next;
    /// When a stopping gateway is killed.
    TimePoint grace_end;
  };

  /// Kills all gateways at once.
  void KillAll(TimePoint now);
  void Disturb(size_t index, TimePoint now);
  void WatchStop(size_t index, TimePoint now);
  void Restart(size_t index, TimePoint now);
  void AddFailure(const GatewayProcess& process, const std::string& text);
  Duration DrawPause(double mean_s);

  Rng rng;
  Gateways& gateways;
  std::vector<Plan> plans;
  TimePoint next_kill_all;
  std::vector<Failure> failures;
};

}  // namespace fuchsiadrum::soak
