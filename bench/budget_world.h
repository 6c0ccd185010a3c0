#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/budget_daemon.h"
#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_log.h"
#include "bench/fakes/fake_network.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::bench {

/// Zones of the fleet, three daemons each; the log is a zone of its own.
inline constexpr std::array<const char*, 3> kZones = {"zone-a", "zone-b",
                                                      "zone-c"};
inline constexpr const char* kLogZone = "platform";
inline constexpr int kDaemons = 9;

/// What is badly treated at the moment.
struct WorldFaults {
  bool log_down = false;
  bool log_slow = false;
  /// Probability that an append's answer is lost.
  double answer_loss = 0;
  double message_loss = 0;
  double message_duplicate = 0;
};

/// Options of a world.
struct WorldOptions {
  std::string policy;
  budget::EscrowAgentOptions agent;
  Duration tick = std::chrono::milliseconds(50);
  Duration heartbeat = std::chrono::milliseconds(500);
  /// Probabilities of an upstream's misbehaviour.
  double over_report = 0.02;
  double no_report = 0.01;
  double not_sent = 0.01;
  double caller_repeats = 0.02;
  /// Share of calls whose output may be cut to what is left.
  double may_cap = 0.5;
};

/// What really happened to one organisation, known to the bench alone.
struct TrueAccount {
  Tokens topped_up;
  /// Reserved by running calls, or used by calls that ran.
  Tokens committed;
  /// Billing decisions told to daemons.
  Tokens confirmed;
  /// Reserved under calls whose outcome the daemon never learns.
  Tokens unknown;
  TimePoint last_top_up;
};

/// What one kill may strand, by organisation.
struct KillBound {
  VmRef daemon;
  TimePoint at;
  std::map<std::string, budget::EscrowFigures> figures;
};

/// Counted figures of a run.
struct WorldFigures {
  int64_t violations = 0;
  int64_t overspend = 0;
  int64_t double_bills = 0;
  int64_t requests = 0;
  int64_t refusals = 0;
  int64_t false_refusals = 0;
  std::map<std::string, int64_t> requests_by_zone;
  std::map<std::string, int64_t> false_refusals_by_zone;
  int64_t capped = 0;
  int64_t overrun_calls = 0;
  int64_t unknown_calls = 0;
  int64_t kills = 0;
};

/// Nine daemons, their network, the log, a fake upstream and the omniscient
/// ledger.
class BudgetWorld {
 public:
  BudgetWorld(uint64_t seed, WorldOptions options);

  EventQueue queue;
  Rng rng;
  WorldOptions options;
  FakeNetwork network;
  FakeLog log;
  WorldFaults faults;
  WorldFigures figures;
  std::map<std::string, TrueAccount> truth;
  std::vector<KillBound> kills;
  /// The log folded as it is written, for checks.
  budget::Ledger reference;
  /// Use under grants of killed daemons.
  std::map<LogPosition, Tokens> dead_use;
  /// Called for each refusal: organisation, zone, true free tokens.
  std::function<void(const std::string&, const std::string&, Tokens, bool)>
      on_refusal;
  std::function<void(const std::string&)> on_reserved;

  BudgetDaemon& At(int index) {
    return *this->daemons[static_cast<size_t>(index)];
  }
  /// Tokens that nothing has used or reserved.
  Tokens Free(const std::string& organisation) const;

  void TopUp(const std::string& organisation, Tokens tokens,
             const std::string& id);
  /// A caller's request at a daemon of this zone.
  void Request(const std::string& organisation, const std::string& zone,
               Tokens worst_case, Tokens minimum, Tokens used,
               Duration run_time);
  void Kill(int index);
  void Restart(int index);
  void Pause(int index);
  void Resume(int index, bool clock_stood_still);
  void BeginDrain(int index);
  /// Ends all faults; dead daemons restart.
  void HealAll();
  /// Checks that hold at every moment.
  void CheckAlways();
  void Violation(const std::string& what, const std::string& peer);
  /// Writes one event for --trace and keeps it for the report of a violation.
  void Trace(const std::string& text);
  const std::deque<std::string>& LastEvents() const { return this->events; }
  std::string trace_text;
  bool keep_trace = false;

 private:
  struct Call {
    std::string organisation;
    std::string key;
    std::shared_ptr<BudgetDaemon> daemon;
    budget::ReservationId id = 0;
    Tokens worst_case;
    Tokens minimum;
    Tokens used;
    Duration run_time{0};
    Tokens reserved;
    bool repeated = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  TimePoint LocalNow(const BudgetDaemon& daemon) const {
    return this->queue.Now() + daemon.clock_offset;
  }
  std::shared_ptr<BudgetDaemon> MakeDaemon(int index, uint64_t incarnation);
  /// Runs `action` in the daemon now, or when it resumes, or never.
  void In(const std::shared_ptr<BudgetDaemon>& daemon,
          std::function<void()> action);
  void Tick(const std::shared_ptr<BudgetDaemon>& daemon);
  void Heartbeat(const std::shared_ptr<BudgetDaemon>& daemon);
  void Flush(const std::shared_ptr<BudgetDaemon>& daemon);
  void Send(const std::shared_ptr<BudgetDaemon>& from,
            const Envelope& envelope);
  void Deliver(const VmRef& from, const VmRef& to, const pb::PeerMessage& body);
  void Append(const std::shared_ptr<BudgetDaemon>& daemon,
              const std::string& batch);
  void Store(const std::string& batch);
  void ReadLog(const std::shared_ptr<BudgetDaemon>& daemon);
  bool CanReach(const BudgetDaemon& daemon) const;
  int PickDaemon(const std::string& zone);
  void StartCall(const CallPtr& call, int index);
  void OnReserve(const CallPtr& call, const budget::ReserveResult& result);
  void OnRefused(const CallPtr& call, const budget::ReserveResult& result);
  void TraceHoldings(const std::string& organisation);
  void Dispatch(const CallPtr& call);
  void Finish(const CallPtr& call);
  void Complete(const CallPtr& call);
  void AfterCall(const std::shared_ptr<BudgetDaemon>& daemon);
  void CheckCeiling(const BudgetDaemon& holder, const budget::HeldGrant& grant,
                    const budget::HeldCeiling& ceiling);
  void CheckLimits(const BudgetDaemon& daemon);

  std::vector<std::shared_ptr<BudgetDaemon>> daemons;
  std::vector<uint64_t> incarnations;
  std::map<std::pair<VmRef, budget::ReservationId>, CallPtr> waiting;
  std::map<VmRef, uint64_t> reference_sequences;
  /// Keys whose billing is decided.
  std::set<std::string> billed_keys;
  uint64_t next_key = 1;
  std::deque<std::string> events;
  uint64_t operator_sequence = 0;
};

}  // namespace fuchsiadrum::bench
