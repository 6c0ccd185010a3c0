#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// What an upstream says of itself.
struct UpstreamEntry {
  std::string id;
  std::string service;
  /// IP:port.
  std::string address;
  std::string availability_zone;
  /// Start of this life, Unix milliseconds. The same id with another start is
  /// an upstream that holds nothing of before.
  int64_t started_unix_ms = 0;
  int slots = 1;
  bool draining = false;
};

/// One part of a prompt, in the order of the prompt.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

/// Which parts of prompts one upstream has cached, judged by what was sent
/// there: least recently used parts are dropped when the memory is full.
class PromptCache {
 public:
  explicit PromptCache(int64_t capacity_tokens) : capacity(capacity_tokens) {}

  /// Tokens of the leading parts that are cached.
  int64_t CachedTokens(std::span<const PromptPart> parts) const;
  /// The upstream reads these parts now.
  void Use(std::span<const PromptPart> parts);

 private:
  struct Entry {
    uint64_t id = 0;
    int64_t tokens = 0;
  };

  int64_t capacity;
  int64_t used = 0;
  std::list<Entry> recent;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> entries;
};

/// Load that an upstream reports with its answers.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// Options of the judgement of an upstream.
struct UpstreamOptions {
  /// Weight of one outcome in the running failure ratio and slowness.
  double outcome_weight = 0.15;
  /// Failures in a row after which an upstream gets no requests for a while.
  int failures_to_eject = 3;
  Duration first_ejection = std::chrono::seconds(1);
  Duration longest_ejection = std::chrono::seconds(8);
  /// A load report is ignored after this time. Answers come several times a
  /// second from each upstream in use.
  Duration report_lifetime = std::chrono::milliseconds(1500);
  /// Silence of an upstream with requests of this gateway after which it counts
  /// as silent; engines make an event every few tens of milliseconds.
  Duration silent_after = std::chrono::milliseconds(400);
  /// Memory assumed for cached parts when the service names none.
  int64_t default_memory_tokens = 400000;
};

/// One upstream as this gateway sees it: its entry, the gateway's own work
/// there, its reported load, and what was learned from outcomes.
class FleetUpstream {
 public:
  FleetUpstream(UpstreamEntry upstream_entry, const UpstreamOptions& opts);

  UpstreamEntry entry;
  /// The entry has gone from the list since then; us 0: it is there.
  TimePoint missing_since;

  PromptCache cache;
  /// Prompt tokens of own requests that wait for their first token.
  int64_t pending_tokens = 0;

  /// Requests there, of all gateways as far as known.
  int Running(TimePoint now) const;
  int Waiting(TimePoint now) const;
  void OnReport(TimePoint now, const LoadReport& load);
  /// `slowness` is the observed over the expected time.
  void OnSuccess(TimePoint now, double slowness_ratio);
  void OnFailure(TimePoint now);
  /// No connection could be opened: it gets no request for a while.
  void OnUnreachable(TimePoint now);
  /// A request of this gateway goes there, or has ended.
  void OnDispatch(TimePoint now);
  void OnEnd() { --this->in_flight; }
  /// Bytes of an answer arrived.
  void OnHeard(TimePoint now) { this->heard_at = now; }
  /// How long the upstream has said nothing although requests wait there; zero
  /// below the option.
  Duration Silence(TimePoint now) const;

  bool IsEjected(TimePoint now) const { return now < this->ejected_until; }
  /// Part of recent outcomes that failed.
  double FailureRatio() const { return this->failure_ratio; }
  /// Observed over expected time; 1 is what the options expect.
  double Slowness() const { return this->slowness; }

 private:
  UpstreamOptions options;
  /// Own requests there.
  int in_flight = 0;
  LoadReport report;
  TimePoint report_at;
  int in_flight_at_report = 0;
  void Eject(TimePoint now);

  TimePoint heard_at;
  double failure_ratio = 0;
  double slowness = 1;
  int failures = 0;
  int ejections = 0;
  TimePoint ejected_until;
};

using FleetUpstreamPtr = std::shared_ptr<FleetUpstream>;

}  // namespace fuchsiadrum::serving
