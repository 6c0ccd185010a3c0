#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/fleet/fleet.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::bench {

/// Kinds of calls in the load.
enum class CallKind { kDraft, kKeyedDraft, kBooking, kDrawCheck };

/// What became of one call, with all its retries.
struct CallRecord {
  CallKind kind = CallKind::kDraft;
  std::string organisation;
  std::string key;
  std::vector<std::string> request_ids;
  /// Replies in the order of their arrival: outcome and status.
  std::vector<node::Outcome> outcomes;
  bool complete = false;
  bool probe = false;
};

/// Faults that the callers themselves make.
struct CallerFaults {
  /// The same key goes to two daemons at once.
  bool retry_elsewhere = false;
};

/// What the callers and the fake upstreams know together.
struct CallerFindings {
  int64_t double_runs = 0;
  int64_t false_not_run = 0;
  int64_t mixed_up = 0;
  int64_t calls = 0;
  int64_t replies = 0;
  int64_t complete = 0;
  int64_t unknown = 0;
  int64_t not_run = 0;
  int64_t unanswered = 0;
};

/// An open-loop load with retries through other daemons, and its own ledger of
/// what it sent and received.
class Callers {
 public:
  Callers(Fleet& fleet, Rng rng);

  /// Adds organisations, models, services and upstreams to the catalogue and
  /// tops the budgets up, through one daemon.
  void SetUp(size_t daemon, Tokens budget);
  /// Starts a call of a random kind every `interval` until Stop.
  void Start(Duration interval);
  void Stop() { this->running = false; }
  /// One call of each kind through each running daemon; see FailedProbes.
  void Probe();
  /// Probes without a complete answer.
  std::vector<std::string> FailedProbes() const;
  /// An operator's edit through a daemon; races with others on the same entry.
  void Edit(size_t daemon);

  /// Compares the records with what the upstreams ran.
  CallerFindings Check() const;
  /// Most tokens that an organisation can have been billed: the usage of each
  /// call's dearest finished run.
  std::map<std::string, Tokens> LargestBill() const;
  CallerFaults faults;

 private:
  void Next(Duration interval);
  void Begin(CallKind kind, size_t daemon, bool probe);
  void Attempt(size_t record, size_t daemon, int tries);
  void OnReply(size_t record, const std::string& request_id, size_t daemon,
               int tries, const CallerReply& reply);
  bool Started(const CallRecord& record) const;
  size_t OtherDaemon(size_t daemon);
  void Put(size_t daemon, const std::string& key, const std::string& entry);

  Fleet& fleet;
  Rng rng;
  std::vector<CallRecord> records;
  bool running = false;
  uint64_t next_id = 1;
  int64_t false_not_run = 0;
  int64_t mixed_up = 0;
};

}  // namespace fuchsiadrum::bench
