#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// The record that an upstream publishes about itself in the store.
struct UpstreamEntry {
  std::string id;
  std::string service;
  /// IP:port.
  std::string address;
  std::string availability_zone;
  /// Version of the upstream's software; empty if it names none.
  std::string version;
  /// When the upstream process started, in Unix milliseconds. The same id with
  /// another start time is a new incarnation, which has none of the old state.
  int64_t started_unix_ms = 0;
  int slots = 1;
  bool draining = false;
  /// Time for which the upstream will still be cold, from the writing of the
  /// entry.
  Duration cold_left = Duration::zero();
  /// Number of the entry; it grows with each entry of one process.
  int64_t sequence = 0;
};

/// One part of a prompt, in the order of the prompt.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

/// Estimates which prompt parts one upstream has cached from the requests that
/// were sent to it. The least recently used parts are evicted when the capacity
/// is exceeded.
class PromptCache {
 public:
  explicit PromptCache(int64_t capacity_tokens) : capacity(capacity_tokens) {}

  /// Returns the number of tokens in the leading parts that are cached.
  int64_t CachedTokens(std::span<const PromptPart> parts) const;
  /// Records that the upstream processes these parts now.
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

/// Load that an upstream reports in the headers of its answers.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes on the machine now, in percent of the usual time;
  /// empty if the upstream does not report it.
  std::optional<int> work_percent;
};

/// Options for the health and load tracking of one upstream.
struct UpstreamOptions {
  /// Weight of one outcome in the moving averages of failure ratio and
  /// slowness.
  double outcome_weight = 0.15;
  /// Number of consecutive failures after which an upstream is ejected: it gets
  /// no requests for a while.
  int failures_to_eject = 3;
  /// The ejection time doubles with each consecutive ejection up to the
  /// maximum.
  Duration first_ejection = std::chrono::seconds(1);
  Duration max_ejection = std::chrono::seconds(8);
  /// A load report is ignored when it is older than this. Each upstream in use
  /// answers several times a second.
  Duration report_lifetime = std::chrono::milliseconds(1500);
  /// The reported time that work takes loses its influence over this time: it
  /// changes many times a second.
  Duration work_lifetime = std::chrono::milliseconds(300);
  /// An upstream with requests in flight counts as silent when it has sent
  /// nothing for this long; engines produce an event every few tens of
  /// milliseconds.
  Duration silent_after = std::chrono::milliseconds(400);
  /// Capacity of the prompt cache, in tokens, that is assumed when the service
  /// names none.
  int64_t default_memory_tokens = 400000;
};

/// One upstream as this gateway sees it: its entry, this gateway's requests in
/// flight, its reported load, and statistics of the outcomes of requests.
class FleetUpstream {
 public:
  FleetUpstream(UpstreamEntry upstream_entry, const UpstreamOptions& opts);

  UpstreamEntry entry;
  /// When the entry was deleted from the store; us is 0 while it exists.
  TimePoint missing_since;

  PromptCache cache;
  /// Prompt tokens of this gateway's requests that wait for their first token.
  int64_t pending_tokens = 0;

  /// Requests that run or wait at the upstream, from all gateways as far as
  /// known from its last load report.
  int Running(TimePoint now) const;
  int Waiting(TimePoint now) const;
  void OnReport(TimePoint now, const LoadReport& load);
  /// A load report could not be used, or not all of it. Returns true the first
  /// time.
  bool OnUnusableReport();
  /// Factor by which work takes longer than usual now, as far as the last
  /// report says; 1 without a recent report.
  double WorkFactor(TimePoint now) const;
  /// `slowness_ratio` is the observed divided by the expected time.
  void OnSuccess(TimePoint now, double slowness_ratio);
  void OnFailure(TimePoint now);
  /// Ejects the upstream at once because no connection could be opened.
  void OnUnreachable(TimePoint now);
  /// A request of this gateway is sent to the upstream, or has ended.
  void OnDispatch(TimePoint now);
  void OnEnd() { --this->in_flight; }
  /// Bytes of an answer were received.
  void OnBytesReceived(TimePoint now) { this->last_bytes_at = now; }
  /// Returns how long the upstream has sent nothing although requests are in
  /// flight; zero while this does not exceed `silent_after`.
  Duration Silence(TimePoint now) const;

  bool IsEjected(TimePoint now) const { return now < this->ejected_until; }
  /// Moving average of the fraction of requests that failed.
  double FailureRatio() const { return this->failure_ratio; }
  /// Moving average of the observed divided by the expected time; 1 means that
  /// the upstream is as fast as the placement options assume.
  double Slowness() const { return this->slowness; }

 private:
  UpstreamOptions options;
  /// Requests of this gateway that the upstream has not finished.
  int in_flight = 0;
  LoadReport report;
  TimePoint report_at;
  int in_flight_at_report = 0;
  bool has_unusable_report = false;
  void Eject(TimePoint now);

  TimePoint last_bytes_at;
  double failure_ratio = 0;
  double slowness = 1;
  int failures = 0;
  int ejections = 0;
  TimePoint ejected_until;
};

using FleetUpstreamPtr = std::shared_ptr<FleetUpstream>;

}  // namespace fuchsiadrum::serving
