#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// One execution at an upstream, as the upstream itself saw it.
struct UpstreamRun {
  std::string request_id;
  uint32_t attempt = 0;
  Tokens used;
  bool finished = false;
};

/// What an upstream tells about an attempt.
enum class UpstreamSignal { kFirstToken, kCompleted, kBroken };

/// A model engine or plain service that records what really ran.
class FakeUpstream {
 public:
  using Tell = std::function<void(UpstreamSignal, Tokens used)>;

  FakeUpstream(EventQueue& queue, std::string name, std::string zone,
               double tokens_per_second)
      : queue(queue),
        name(std::move(name)),
        zone(std::move(zone)),
        tokens_per_second(tokens_per_second) {}

  /// Starts a run of `output` tokens; `tell` hears of its progress unless the
  /// upstream is silent.
  void Start(const std::string& request_id, uint32_t attempt, Tokens prompt,
             Tokens output, const Tell& tell);
  /// All connections break; runs in progress end unfinished.
  void Die();
  void Revive() { this->alive = true; }

  const std::string& Name() const { return this->name; }
  const std::string& Zone() const { return this->zone; }
  bool IsAlive() const { return this->alive; }
  size_t InProgress() const { return this->in_progress; }
  const std::vector<UpstreamRun>& Runs() const { return this->runs; }

  /// Faults.
  bool silent = false;
  bool rejecting = false;
  bool leaving = false;
  double slowness = 1.0;
  /// Tokens that a report adds to the true usage.
  Tokens extra_usage;
  /// Answers are given twice.
  bool doubled = false;

 private:
  EventQueue& queue;
  std::string name;
  std::string zone;
  double tokens_per_second;
  bool alive = true;
  uint64_t life = 0;
  size_t in_progress = 0;
  std::vector<UpstreamRun> runs;
  std::vector<Tell> listeners;
};

}  // namespace fuchsiadrum::bench
