#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// One generation on an engine.
struct EngineJob {
  uint64_t id = 0;
  /// Chain hashes of the prompt's blocks.
  std::shared_ptr<const std::vector<uint64_t>> blocks;
  int prompt_tokens = 0;
  int output_tokens = 1;
};

/// Learns how the jobs of an engine go on.
class EngineListener {
 public:
  virtual ~EngineListener() = default;
  virtual void OnEngineFirstToken(uint64_t job, int cached_tokens) = 0;
  virtual void OnEngineDone(uint64_t job) = 0;
  virtual void OnEngineBroken(uint64_t job) = 0;
};

/// Options of an engine. Times are those of speed 1.
struct EngineOptions {
  double speed = 1.0;
  size_t slots = 32;
  int prefill_chunk = 1024;
  double step_base_us = 12000;
  double step_us_per_sequence = 400;
  double us_per_prompt_token = 80;
  int block_tokens = 256;
  size_t cache_blocks = 2000;
};

/// State of an engine as its load report tells it.
struct EngineReport {
  TimePoint at;
  int running = 0;
  int queued = 0;
  uint64_t cache_end = 0;  // sequence after the last cache event
  std::vector<std::string> models;
  bool leaving = false;
};

/// An event of the prefix cache.
struct CacheEvent {
  uint64_t hash = 0;
  bool stored = false;
};

/// A model engine with continuous batching: each step gives one token to every
/// sequence and a bounded chunk of prompt to those that are being prefilled.
/// The prefix cache keeps the most recently used blocks.
class FakeEngine {
 public:
  FakeEngine(EventQueue& queue, EngineListener& listener,
             EngineOptions options);

  /// Takes a job; false: the engine is down.
  bool Submit(EngineJob job);
  /// Changes the speed from the next step on.
  void SetSpeed(double speed) { this->options.speed = speed; }
  /// Breaks all jobs and forgets the cache.
  void Crash();
  void Restart() { this->up = true; }

  bool IsUp() const { return this->up; }
  size_t Jobs() const { return this->active.size() + this->waiting.size(); }
  /// Exact time until a job would have its first token if it came now.
  Duration PredictFirstToken(const EngineJob& job) const;
  /// Takes a snapshot for later reports.
  void Snapshot(const std::vector<std::string>& models, bool leaving);
  /// The newest snapshot taken at or before `at`; nullptr: none.
  const EngineReport* ReportAt(TimePoint at) const;
  /// Cache events from `from` to `to`, both bounded by what is kept.
  std::vector<CacheEvent> Events(uint64_t& from, uint64_t to) const;
  /// Mean share of slots in use, for calibration.
  double BusyShare() const;

 private:
  struct Sequence {
    EngineJob job;
    int prefill_left = 0;
    int output_left = 0;
    int cached = 0;
    int taken = 0;  // prompt tokens of the present step
  };

  void StartStep();
  void EndStep(uint64_t incarnation);
  void Admit();
  double StepUs(int decodes, int prefill) const;
  int CachedBlocks(const EngineJob& job) const;
  void Store(const EngineJob& job);
  void Touch(uint64_t hash);
  void AddEvent(uint64_t hash, bool stored);

  EventQueue& queue;
  EngineListener& listener;
  EngineOptions options;
  bool up = true;
  bool stepping = false;
  TimePoint step_end;
  uint64_t incarnation = 0;
  std::vector<Sequence> active;
  std::deque<EngineJob> waiting;
  std::list<uint64_t> lru;  // most recent first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
  std::deque<CacheEvent> events;
  uint64_t first_event = 0;
  std::deque<EngineReport> reports;
  double busy_us = 0;
};

}  // namespace fuchsiadrum::bench
