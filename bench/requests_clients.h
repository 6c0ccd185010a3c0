#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "bench/requests_world.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::bench::requests {

/// Callers that retry a call with its key through other daemons.
class Clients {
 public:
  Clients(World& world, Rng rng);

  /// Starts calls at random moments until `end`.
  void Run(TimePoint end, double calls_per_second);
  /// Asks once more about every non-idempotent call without a final answer.
  void Sweep();
  /// Sends one call of each class to each daemon; each must complete.
  void Probe();
  /// Sends a call with a fresh fleet-issued key to each shard that lost a
  /// term; each must complete.
  void ProbeLostShards();
  /// Judges the answers to sweeps and probes.
  void Check();

 private:
  struct Open {
    CallSpec call;
    int tries_left = 0;
    int tries = 0;
  };

  void StartCall();
  CallSpec NewCall();
  void NewKey(CallSpec& call);
  void Try(uint64_t call);
  void OnReply(const CallSpec& call, const std::string& request_id,
               const Reply* reply);
  void RetryLater(Open& open);
  uint64_t Add(CallSpec call, int tries);
  void ProbeAt(size_t slot, CallSpec call);

  World& world;
  Rng rng;
  uint64_t next_call = 1;
  std::map<uint64_t, Open> calls;
  std::set<std::string> answered;
  /// Calls that are asked about only after healing.
  std::map<uint64_t, std::string> sweeps;
  std::map<uint64_t, std::string> probes;
};

}  // namespace fuchsiadrum::bench::requests
