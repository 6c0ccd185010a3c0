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
#include "fuchsiadrum/routing/pace_record.h"
#include "fuchsiadrum/serving/service_model.h"
#include "fuchsiadrum/serving/upstream_ramp.h"

namespace fuchsiadrum::serving {

/// The record that an upstream publishes about itself in the store.
struct UpstreamEntry {
  std::string id;
  std::string service;
  /// IP:port.
  std::string address;
  std::string availability_zone;
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
  /// The same, if the upstream, which serves other VMs as well, keeps a part
  /// for about `retention` after it was last used. Parts that were used longer
  /// ago count in proportion to the chance that they are still there.
  double ExpectedTokens(TimePoint now, std::span<const PromptPart> parts,
                        Duration retention) const;
  /// Records that the upstream processes these parts now.
  void Use(std::span<const PromptPart> parts, TimePoint now = TimePoint());
  /// Sets the capacity once the service's engines are known.
  void SetCapacity(int64_t tokens) { this->capacity = tokens; }

 private:
  struct Entry {
    uint64_t id = 0;
    int64_t tokens = 0;
    TimePoint used_at;
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
  /// Weight of one outcome in the moving average of the failure ratio.
  double outcome_weight = 0.15;
  /// Slowness of prefill: an upstream seldom gets more than a few requests of
  /// one VM in a minute.
  routing::PaceRecordOptions prefill = {.memory = 0.9, .prior_weight = 3.0};
  /// Slowness of decode. One answer shows the pace of many steps.
  routing::PaceRecordOptions decode = {.memory = 0.8, .prior_weight = 1.0};
  /// Number of consecutive failures after which an upstream is ejected: it gets
  /// no requests for a while.
  int failures_to_eject = 3;
  /// The ejection time doubles with each consecutive ejection up to the
  /// maximum.
  Duration first_ejection = std::chrono::seconds(1);
  Duration max_ejection = std::chrono::seconds(8);
  /// The requests of other VMs are known for this long after a load report;
  /// after that they are only estimated.
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
  UpstreamRampOptions ramp;
};

/// Load of an upstream as estimated for a moment.
struct LoadEstimate {
  /// Requests that run or wait there, from all VMs.
  double requests = 0;
  /// Those of them that wait for a slot.
  double waiting = 0;
  int slots = 1;
  /// 0: just reported; 1: only the load of the average upstream is known.
  double staleness = 1;
};

/// One upstream as this gateway sees it: its entry, this gateway's requests in
/// flight, its reported load, and statistics of the outcomes of requests.
class FleetUpstream {
 public:
  FleetUpstream(UpstreamEntry upstream_entry, const UpstreamOptions& opts);

  UpstreamEntry entry;
  /// When the entry was deleted from the store; us is 0 while it exists.
  TimePoint missing_since;

  /// Number that Placement gives the upstream at first sight; 0: none yet.
  uint32_t number = 0;
  /// When Placement first saw the upstream.
  TimePoint seen_at;
  /// Hash of the id, equal at all VMs.
  uint64_t id_hash = 0;

  PromptCache cache;
  /// Prompt tokens of this gateway's requests that wait for their first token.
  int64_t pending_tokens = 0;
  /// Prompt and output tokens of this gateway's requests in flight.
  int64_t held_tokens = 0;
  UpstreamRamp ramp;

  /// Load from all VMs. The weight of the last load report falls with its age
  /// in favour of the load of the average upstream.
  LoadEstimate Load(TimePoint now, const TypicalLoad& typical) const;
  /// Requests of all VMs by the last load report and what this VM has sent
  /// since; nullopt without a recent report.
  std::optional<int> ReportedRequests(TimePoint now) const;
  /// Requests of other VMs for each slot by the last load report.
  double ReportedOthersPerSlot() const;
  /// Requests of this VM that the upstream has not finished.
  int InFlight() const { return this->in_flight; }
  void OnReport(TimePoint now, const LoadReport& load);
  /// A load report could not be used, or not all of it. Returns true the first
  /// time.
  bool OnUnusableReport();
  /// Factor by which work takes longer than usual now, as far as the last
  /// report says; 1 without a recent report.
  double WorkFactor(TimePoint now) const;
  /// `slowness_ratio` is the time to the first token divided by the one that
  /// is expected of an upstream of slowness 1; 0: unknown.
  void OnSuccess(TimePoint now, double slowness_ratio);
  /// A first token is overdue: this much of the expected time has passed.
  void OnLate(double slowness_ratio);
  /// An answer had this interval between events; `typical` is that of the
  /// average upstream.
  void OnEventInterval(Duration interval, Duration typical);
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
  /// True if an ejection has ended since the last call.
  bool TakeRecovery(TimePoint now);
  /// Moving average of the fraction of requests that failed.
  double FailureRatio() const { return this->failure_ratio; }
  /// Slowness of prefill; 1 is the average upstream. With few observations it
  /// tends to the slowness of decode.
  double Slowness() const;
  double DecodeSlowness() const { return this->decode.Slowness(); }

 private:
  int Slots() const;
  void Eject(TimePoint now);

  UpstreamOptions options;
  /// Requests of this gateway that the upstream has not finished.
  int in_flight = 0;
  LoadReport report;
  TimePoint report_at;
  int in_flight_at_report = 0;
  bool has_unusable_report = false;

  TimePoint last_bytes_at;
  double failure_ratio = 0;
  routing::PaceRecord prefill;
  routing::PaceRecord decode;
  int failures = 0;
  int ejections = 0;
  bool has_recovery = false;
  TimePoint ejected_until;
};

using FleetUpstreamPtr = std::shared_ptr<FleetUpstream>;

}  // namespace fuchsiadrum::serving
