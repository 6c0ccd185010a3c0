#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "fuchsiadrum/budget/ended_grants.h"
#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;

constexpr char kOrganisation[] = "choir";

/// One partition of the store with an account, and the heartbeats of two VMs.
/// Writes that got no answer may be carried out later, also after the process
/// that made them has ended.
class SettlementModel {
 public:
  SettlementModel(uint64_t seed, bool is_calm)
      : rng(seed), calm(is_calm), limit(rng.Between(20'000, 60'000)) {
    for (Vm& vm : this->vms) this->Start(vm);
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      this->now = this->now + milliseconds(this->rng.Between(1, 120));
      this->Step(this->vms[this->rng.Below(this->vms.size())]);
    }
  }
  /// Lets all processes go on without faults and asks for the whole budget.
  void SpendRest() {
    this->calm = true;
    this->late_writes.clear();
    this->late_heartbeats.clear();
    constexpr int kRounds = 400;
    for (int round = 0; round < kRounds; ++round) {
      this->now = this->now + milliseconds(50);
      for (Vm& vm : this->vms) {
        if (!vm.process) this->Start(vm);
        this->WriteHeartbeat(vm);
        this->Sync(*vm.process);
        this->Spend(*vm.process, Tokens(this->limit.count / 200));
      }
    }
  }

  Tokens Used() const { return this->used; }
  Tokens Limit() const { return this->limit; }
  /// Settlements that left a holder less than it had used.
  int Undercounted() const { return this->undercounted; }

 private:
  struct Heartbeat {
    std::string holder;
    TimePoint begun;
    Tokens ceiling;
    /// Silence of the ended process, once it is known.
    std::optional<Duration> silence;
  };
  /// A heartbeat record: the process, and the ended ones before it.
  using HeartbeatRecord = std::deque<Heartbeat>;
  struct Write {
    std::string holder;
    uint64_t at = 0;
    FleetAccount account;
    std::optional<GrantUpdate> update;
    std::vector<GrantSettlement> settlements;
  };
  struct Process {
    explicit Process(std::string name) : holder(std::move(name)) {}
    std::string holder;
    GrantHolder grants{GrantHolderOptions()};
    EndedGrants ended{ReleaseOptions()};
    std::deque<Heartbeat> unsettled;
    FleetAccount account;
    std::optional<uint64_t> end;
    std::optional<Write> write;
    std::optional<HeartbeatRecord> heartbeat;
    bool restores = false;
    bool seeks_unannounced = true;
  };
  struct Vm {
    std::unique_ptr<Process> process;
    HeartbeatRecord newest;
    TimePoint restart_at;
    /// Kills come in series.
    std::optional<TimePoint> kill_at;
    TimePoint mute_until;
  };
  struct LogRecord {
    std::string holder;
    RecordedGrant grant;
  };

  void Step(Vm& vm) {
    this->CarryOutLate();
    if (!vm.process) {
      if (this->now >= vm.restart_at) this->Start(vm);
      return;
    }
    if (vm.kill_at && this->now >= *vm.kill_at) return this->Kill(vm);
    switch (this->rng.Below(8)) {
      case 0:
      case 1:
      case 2:
        this->Spend(*vm.process, Tokens(this->rng.Between(1, 2500)));
        break;
      case 3:
      case 4:
        this->Sync(*vm.process);
        break;
      case 5:
      case 6:
        this->WriteHeartbeat(vm);
        break;
      default:
        this->Disturb(vm);
        break;
    }
  }

  void Disturb(Vm& vm) {
    if (this->rng.Chance(this->calm ? 0.02 : 0.12)) this->Kill(vm);
    if (this->calm) return;
    if (this->rng.Chance(0.1)) {
      vm.mute_until = this->now + milliseconds(this->rng.Between(500, 12000));
      if (this->rng.Chance(0.7)) {
        vm.kill_at = this->now + milliseconds(this->rng.Between(2000, 6000));
      }
    }
    if (this->rng.Chance(0.05)) this->TakeCopy();
    if (this->rng.Chance(0.05)) this->Restore();
  }

  void Start(Vm& vm) {
    vm.process =
        std::make_unique<Process>(std::to_string(&vm - &this->vms[0]) + "/" +
                                  std::to_string(++this->started));
    Process& process = *vm.process;
    process.grants.SetLimit(kOrganisation, this->limit, 1);
    process.grants.AwaitFirstHeartbeat();
    vm.kill_at.reset();
    if (!this->calm && vm.restart_at.us > 0 && this->rng.Chance(0.5)) {
      vm.kill_at = this->now + milliseconds(this->rng.Between(200, 1500));
    }
    process.unsettled = vm.newest;
    for (Heartbeat& ended : process.unsettled) {
      if (!ended.silence) ended.silence = this->now - ended.begun;
      if (*ended.silence >= std::chrono::seconds(6)) continue;
      this->excluded.insert(ended.holder);
      process.ended.Add({.organisation = kOrganisation,
                         .holder = ended.holder,
                         .heartbeat_ceiling = ended.ceiling,
                         .silence = *ended.silence});
    }
  }
  void Kill(Vm& vm) {
    if (vm.process->write) this->late_writes.push_back(*vm.process->write);
    if (vm.process->heartbeat) {
      this->late_heartbeats.emplace_back(&vm, *vm.process->heartbeat);
    }
    vm.process.reset();
    vm.restart_at = this->now + milliseconds(this->rng.Between(600, 1300));
    // The copy may lack grants of the process.
    this->has_copy = false;
  }
  void Spend(Process& process, Tokens amount) {
    process.grants.OnRequest(this->now, kOrganisation, amount);
    if (process.grants.Reserve(this->now, kOrganisation, amount) !=
        ReserveOutcome::kReserved) {
      return;
    }
    process.grants.Settle(kOrganisation, amount, amount);
    this->used += amount;
    this->used_by[process.holder] += amount;
  }

  void WriteHeartbeat(Vm& vm) {
    Process& process = *vm.process;
    if (!process.seeks_unannounced && !process.ended.HasUnsettled()) {
      process.unsettled.clear();
    }
    if (!process.heartbeat) {
      const auto ceilings = process.grants.PlanHeartbeat(this->now);
      process.heartbeat = process.unsettled;
      process.heartbeat->push_front({.holder = process.holder,
                                     .begun = this->now,
                                     .ceiling = ceilings.empty()
                                                    ? Tokens(INT64_MAX)
                                                    : ceilings[0].ceiling});
      process.grants.OnHeartbeatStarted(this->now);
    }
    if (!this->calm && this->now < vm.mute_until) return;
    if (!this->calm && this->rng.Chance(0.1)) return;
    vm.newest = *process.heartbeat;
    if (!this->calm && this->rng.Chance(0.1)) return;
    process.heartbeat.reset();
    process.grants.OnHeartbeatWritten(this->now);
  }

  /// Reads the account and its grants as a gateway does, and begins a write.
  void Sync(Process& process) {
    if (process.write) return this->Resolve(process);
    const bool skips = !this->calm && this->rng.Chance(0.2);
    if (process.end && !skips) {
      process.ended.OnReadTail(*process.end, this->log.size(),
                               this->FindSince(*process.end));
    }
    process.account = this->account;
    process.end = this->log.size();
    const bool is_unknown =
        process.ended.HasUnsettled() && !process.ended.IsKnownAt(*process.end);
    if (process.seeks_unannounced || is_unknown) {
      process.ended.OnRead(*process.end, this->FindSince(0));
      this->AddUnannounced(process);
      process.seeks_unannounced = false;
    }
    Write write = {.holder = process.holder,
                   .at = *process.end,
                   .account = process.account};
    if (process.restores) {
      const auto stored = this->FindSince(0)(kOrganisation, process.holder);
      write.update = process.grants.PlanRestore(
          kOrganisation, stored.value_or(RecordedGrant()), write.account);
      process.restores = false;
    } else {
      if (process.ended.IsKnownAt(*process.end)) {
        write.settlements = process.ended.Plan();
      }
      for (const GrantSettlement& settlement : write.settlements) {
        write.account.Replace(settlement.before, settlement.after);
      }
      write.update =
          process.grants.PlanWrite(this->now, kOrganisation, write.account);
    }
    if (write.update) write.account = write.update->account;
    if (!write.update && write.settlements.empty()) return;
    process.write = write;
    if (this->calm || this->rng.Chance(0.5)) this->Resolve(process);
  }
  /// Adds the grants of processes that have written no heartbeat.
  void AddUnannounced(Process& process) {
    const std::string vm = process.holder.substr(0, 2);
    std::map<std::string, RecordedGrant> stored;
    for (const LogRecord& record : this->log) {
      stored[record.holder] = record.grant;
    }
    for (const auto& [holder, grant] : stored) {
      if (!grant.is_ceiling_final || !holder.starts_with(vm) ||
          holder == process.holder) {
        continue;
      }
      this->excluded.insert(holder);
      process.ended.Add({.organisation = kOrganisation, .holder = holder});
    }
  }
  /// The store carries the write out or refuses it; its answer may be lost.
  void Resolve(Process& process) {
    if (!this->calm && this->rng.Chance(0.2)) return;
    const Write write = *process.write;
    const bool is_done = this->CarryOut(write);
    if (!this->calm && this->rng.Chance(0.1)) {
      // The process may die before the outcome is known.
      if (is_done) process.write->at = UINT64_MAX;
      if (is_done) this->done_unanswered.insert(process.holder);
      return;
    }
    const bool was_done =
        is_done || this->done_unanswered.erase(process.holder) > 0;
    process.write.reset();
    if (this->rng.Chance(0.05) && !this->calm) {
      if (write.update) process.grants.OnOutcomeUnknown(kOrganisation);
      process.end.reset();
    } else if (was_done) {
      if (write.update) process.grants.OnWritten(this->now, kOrganisation);
      if (write.at != UINT64_MAX) {
        process.ended.OnWritten(write.at, write.at + RecordsOf(write),
                                write.settlements);
        process.account = write.account;
        process.end = write.at + RecordsOf(write);
      } else {
        process.end.reset();
      }
    } else if (write.update) {
      process.grants.OnRefused(kOrganisation);
    }
  }
  static uint64_t RecordsOf(const Write& write) {
    return write.settlements.size() + (write.update ? 1 : 0) + 1;
  }
  bool CarryOut(const Write& write) {
    if (this->excluded.contains(write.holder)) return false;
    if (write.at != this->log.size()) return false;
    for (const GrantSettlement& settlement : write.settlements) {
      this->log.push_back({settlement.holder, settlement.after});
      if (settlement.after.granted < this->used_by[settlement.holder]) {
        ++this->undercounted;
      }
    }
    if (write.update) this->log.push_back({write.holder, write.update->grant});
    this->log.push_back({});
    this->account = write.account;
    return true;
  }
  void CarryOutLate() {
    if (!this->late_writes.empty() && this->rng.Chance(0.1)) {
      this->CarryOut(this->late_writes.front());
      this->late_writes.pop_front();
    }
    if (!this->late_heartbeats.empty() && this->rng.Chance(0.1)) {
      const auto& [vm, record] = this->late_heartbeats.front();
      // One that replaces a later heartbeat costs tokens, but adds none.
      vm->newest = record;
      this->late_heartbeats.pop_front();
    }
  }
  EndedGrants::Find FindSince(uint64_t from) const {
    return [this, from](const std::string&, const std::string& holder) {
      for (size_t i = this->log.size(); i-- > from;) {
        if (this->log[i].holder == holder) {
          return std::optional(this->log[i].grant);
        }
      }
      return std::optional<RecordedGrant>();
    };
  }

  /// Only copies made after the last end of a process are used: nobody else
  /// knows the grants that it would lose.
  void TakeCopy() {
    this->has_copy = true;
    this->copied_log = this->log;
    this->copied_account = this->account;
  }
  void Restore() {
    if (!this->has_copy) return;
    this->log = this->copied_log;
    this->account = this->copied_account;
    this->late_writes.clear();
    for (Vm& vm : this->vms) {
      if (!vm.process) continue;
      Process& process = *vm.process;
      if (process.write && process.write->update) {
        process.grants.OnOutcomeUnknown(kOrganisation);
      }
      process.write.reset();
      this->done_unanswered.clear();
      process.end.reset();
      process.ended.OnNewEra();
      process.restores = true;
      process.grants.OnStoreRestored(this->now);
      // Within the time in which no grant is raised.
      this->Rewrite(process);
    }
  }
  void Rewrite(Process& process) {
    const bool was_calm = std::exchange(this->calm, true);
    this->Sync(process);
    this->Sync(process);
    this->calm = was_calm;
  }

  Rng rng;
  bool calm;
  Tokens limit;
  TimePoint now{1'000'000'000};
  std::array<Vm, 2> vms;
  int started = 0;
  Tokens used;
  std::map<std::string, Tokens> used_by;
  int undercounted = 0;
  FleetAccount account;
  std::vector<LogRecord> log;
  std::set<std::string> excluded;
  std::deque<Write> late_writes;
  std::deque<std::pair<Vm*, HeartbeatRecord>> late_heartbeats;
  /// Processes whose write was carried out and not answered yet.
  std::set<std::string> done_unanswered;
  bool has_copy = false;
  std::vector<LogRecord> copied_log;
  FleetAccount copied_account;
};

class EndedGrantsModelTest : public testing::TestWithParam<uint64_t> {
 protected:
  static constexpr uint64_t kRuns = 100;
};

// Guards against tokens that are returned to the account more than once: a
// tenant got more than it had paid for.
TEST_P(EndedGrantsModelTest, Spend_OverEndsOfProcesses_NeverExceedsTheBudget) {
  for (uint64_t run = 0; run < kRuns; ++run) {
    SettlementModel model(GetParam() * kRuns + run, false);
    for (int part = 0; part < 8; ++part) {
      model.Run(50);
      ASSERT_LE(model.Used(), model.Limit()) << "run " << run;
    }
    model.SpendRest();
    ASSERT_LE(model.Used(), model.Limit()) << "run " << run;
    ASSERT_EQ(model.Undercounted(), 0) << "run " << run;
  }
}

// Guards against safety at the cost of tokens that nobody gets back.
TEST_P(EndedGrantsModelTest, UnusedTokensOfEndedProcesses_CanBeUsed) {
  double used = 0;
  double limit = 0;
  for (uint64_t run = 0; run < kRuns; ++run) {
    SettlementModel model(GetParam() * kRuns + run, true);
    model.Run(200);
    model.SpendRest();
    used += static_cast<double>(model.Used().count);
    limit += static_cast<double>(model.Limit().count);
    ASSERT_LE(model.Used(), model.Limit()) << "run " << run;
  }
  EXPECT_GE(used, 0.9 * limit);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EndedGrantsModelTest,
                         testing::Range<uint64_t>(1, 101));

}  // namespace
}  // namespace fuchsiadrum::budget
