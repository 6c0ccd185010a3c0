#include "bench/fleet/fleet_run.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kStartUp = std::chrono::seconds(5);
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kCallInterval = std::chrono::milliseconds(60);
constexpr Duration kEditInterval = std::chrono::seconds(3);
/// Long enough for seals, which follow 15 s of silence.
constexpr Duration kFaultWindow = std::chrono::seconds(25);
constexpr Duration kAfterHealing = std::chrono::seconds(10);
/// Dead holders are sealed within 30 s; the rest is the time to settle.
constexpr Duration kSettling = std::chrono::seconds(50);
constexpr Duration kProbeTime = std::chrono::seconds(10);
constexpr Tokens kBudget(400000);
constexpr size_t kTraceLength = 40;

/// The fault that brings a step about; nullopt: the load does.
std::optional<Fault> CauseOf(const std::string& step) {
  if (step == "append:Seal" || step == "append:ShardTakeOver" ||
      step == "append:ShardReplaceWitness") {
    return Fault::kKill;
  }
  if (step == "append:Close" || step == "append:ShardHandOver") {
    return Fault::kPlannedStop;
  }
  return std::nullopt;
}

/// One run over a fleet; see RunFleet.
class FleetRun {
 public:
  explicit FleetRun(const FleetRunOptions& options)
      : options(options),
        rng(options.seed),
        fleet({.preset = options.preset,
               .zone_delay = options.zone_delay,
               .message_loss = 0.01},
              options.seed),
        callers(fleet, rng.Fork("callers")),
        faults(fleet, callers, rng.Fork("faults")) {}

  FleetRunResult Run() {
    try {
      this->Phases();
    } catch (const std::exception& error) {
      this->result.violations.emplace_back(error.what());
    }
    this->result.trace = {this->trace.begin(), this->trace.end()};
    return std::move(this->result);
  }

 private:
  void Phases() {
    this->Wait(kStartUp);
    this->callers.SetUp(0, kBudget);
    this->Wait(kStartUp);
    this->callers.Start(kCallInterval);
    this->ScheduleEdits();
    this->Wait(kWarmUp);

    this->Arm();
    this->Wait(kFaultWindow);
    this->HealAll();
    this->Wait(kAfterHealing);
    this->callers.Stop();
    this->editing = false;
    this->Wait(kSettling);
    this->CheckBudgets();
    this->CheckSameState();
    this->callers.Probe();
    this->Wait(kProbeTime);
    this->result.failed_probes = this->callers.FailedProbes();
    this->result.calls = this->callers.Check();
    this->CheckCalls();
  }

  void Wait(Duration time) {
    this->fleet.Queue().RunUntil(this->fleet.Queue().Now() + time);
  }

  void ScheduleEdits() {
    this->fleet.Queue().After(kEditInterval, [this] {
      if (!this->editing) return;
      this->callers.Edit(this->rng.Below(this->fleet.Size()));
      this->callers.Edit(this->rng.Below(this->fleet.Size()));
      this->ScheduleEdits();
    });
  }

  /// The first fault waits for its step, at a random occurrence of it.
  void Arm() {
    this->wait_for = static_cast<int>(this->rng.Between(1, 8));
    this->fleet.SetProbe([this](const std::string& what, size_t daemon) {
      this->Trace(what, daemon);
      if (this->triggered || what != this->options.step) return;
      if (--this->wait_for > 0) return;
      this->Trigger(daemon);
    });
    if (this->options.step.empty()) {
      this->Trigger(this->rng.Below(this->fleet.Size()));
    } else if (const auto cause = CauseOf(this->options.step)) {
      const size_t daemon = this->rng.Below(this->fleet.Size());
      this->injected.emplace_back(*cause, daemon);
      this->faults.Inject(*cause, daemon);
      this->wait_for = 1;
    }
  }

  void Trigger(size_t daemon) {
    this->triggered = true;
    this->result.step_reached = true;
    Duration delay(0);
    for (const Fault fault : this->options.faults) {
      const size_t target =
          delay.count() == 0 ? daemon : this->rng.Below(this->fleet.Size());
      this->injected.emplace_back(fault, target);
      if (delay.count() == 0) {
        this->Trace("fault " + std::string(FaultName(fault)), target);
        this->faults.Inject(fault, target);
      } else {
        this->fleet.Queue().After(delay, [this, fault, target] {
          this->Trace("fault " + std::string(FaultName(fault)), target);
          this->faults.Inject(fault, target);
        });
      }
      delay += Duration(this->rng.Between(1000, 4000000));
    }
    // Some faults end before the witnesses seal, some after.
    const Duration length = std::chrono::seconds(this->rng.Between(1, 24));
    if (length >= std::chrono::seconds(8)) {
      this->fleet.Queue().After(length, [this] { this->HealAll(); });
    }
  }

  void HealAll() {
    this->triggered = true;  // a step that comes later is not hit any more
    for (const auto& [fault, daemon] : this->injected) {
      this->Trace("heal " + std::string(FaultName(fault)), daemon);
      this->faults.Heal(fault, daemon);
    }
    this->injected.clear();
  }

  void Trace(const std::string& what, size_t daemon) {
    if (what == "peer:Heartbeat") return;
    this->trace.push_back(std::to_string(this->fleet.Queue().Now().us) + " " +
                          std::to_string(daemon) + " " + what);
    if (this->trace.size() > kTraceLength) this->trace.pop_front();
  }

  void Violate(const std::string& text) {
    this->result.violations.push_back(text);
  }

  /// Budgets hold and every token is accounted for, in every daemon.
  void CheckBudgets() {
    const auto largest = this->callers.LargestBill();
    for (size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      if (!this->fleet.IsRunning(daemon)) continue;
      const auto shown = nlohmann::json::parse(
          this->fleet.Admin(daemon, "GET", "/admin/budget", "").json);
      for (const auto& account : shown["accounts"]) {
        const std::string name = account["organisation"];
        const int64_t billed = account["billed"];
        const int64_t total = billed + account["written_off"].get<int64_t>() +
                              account["granted"].get<int64_t>() +
                              account["available"].get<int64_t>();
        if (total != account["topped_up"].get<int64_t>()) {
          this->Violate("budget: tokens of " + name + " are missing");
        }
        if (billed > account["topped_up"].get<int64_t>()) {
          this->Violate("budget: " + name + " is overspent");
        }
        if (billed > largest.at(name).count) {
          this->Violate("budget: " + name + " is billed " +
                        std::to_string(billed) + ", its calls used " +
                        std::to_string(largest.at(name).count));
        }
      }
    }
  }

  void CheckSameState() {
    std::string first;
    for (size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      if (!this->fleet.IsRunning(daemon)) continue;
      const std::string shown =
          this->fleet.Admin(daemon, "GET", "/admin/catalogue", "").json;
      if (first.empty()) first = shown;
      if (shown != first) {
        this->Violate("catalogue: daemon " + std::to_string(daemon) +
                      " differs from daemon 0");
      }
      const TimePoint now = this->fleet.Queue().Now();
      if (!this->fleet.At(daemon).IsReady(now)) {
        this->Violate("ready: daemon " + std::to_string(daemon) + ": " +
                      this->fleet.At(daemon).ReadyReason(now));
      }
    }
  }

  void CheckCalls() {
    const CallerFindings& calls = this->result.calls;
    if (calls.double_runs > 0) this->Violate("requests: a booking ran twice");
    if (calls.false_not_run > 0) {
      this->Violate("requests: not-run was said of a call that ran");
    }
    if (calls.mixed_up > 0) {
      this->Violate("requests: a caller got another call's answer");
    }
    for (const std::string& probe : this->result.failed_probes) {
      this->Violate("probe " + probe);
    }
  }

  FleetRunOptions options;
  Rng rng;
  Fleet fleet;
  Callers callers;
  FaultInjector faults;
  FleetRunResult result;
  std::deque<std::string> trace;
  std::vector<std::pair<Fault, size_t>> injected;
  bool triggered = false;
  bool editing = true;
  int wait_for = 1;
};

}  // namespace

const std::vector<std::string>& FleetSteps() {
  static const std::vector<std::string> kSteps = {"admit",
                                                  "peer:ClaimAsk",
                                                  "peer:ClaimReply",
                                                  "peer:IntentStore",
                                                  "peer:IntentAck",
                                                  "dispatch",
                                                  "first-token",
                                                  "last-token",
                                                  "peer:ClaimDone",
                                                  "peer:ClaimDoneAck",
                                                  "append:Grant",
                                                  "peer:CeilingRaise",
                                                  "peer:CeilingAck",
                                                  "append:Settle",
                                                  "append:Seal",
                                                  "append:Return",
                                                  "append:Close",
                                                  "append:ShardHandOver",
                                                  "append:CatalogueEdit",
                                                  "append:ShardTakeOver",
                                                  "append:ShardReplaceWitness"};
  return kSteps;
}

FleetRunResult RunFleet(const FleetRunOptions& options) {
  return FleetRun(options).Run();
}

}  // namespace fuchsiadrum::bench
