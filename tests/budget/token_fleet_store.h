#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "fuchsiadrum/core/duration.h"
#include "tests/budget/token_fleet_state.h"

namespace fuchsiadrum::budget {

/// The part of a TokenFleet that deals with the store: the loops of
/// gateway::BudgetClient and AccountShard, and a store whose partitions apply
/// one append after the other.
class TokenFleetStore : protected TokenFleetState {
 protected:
  using TokenFleetState::TokenFleetState;
  virtual ~TokenFleetStore() = default;

  /// The requests that wait at this VM try again.
  virtual void WakeWaiting(Vm& vm) = 0;

  /// The sync loop is to run as soon as possible.
  void Notify(Vm& vm) {
    if (vm.loop_due) return;
    vm.loop_due = true;
    this->After(this->Delay(vm) / 4, [this, &vm] {
      if (vm.loop_due) this->StartSyncs(vm);
    });
  }

  void Loop(Vm& vm) {
    this->StartSyncs(vm);
    this->After(std::chrono::milliseconds(100),
                [this, &vm] { this->Loop(vm); });
  }

  bool IsUrgent(const Vm& vm, const Shard& shard) const {
    return std::ranges::any_of(shard.names, [&](const std::string& name) {
      return vm.holder->IsUrgent(this->now, name);
    });
  }

  void StartSyncs(Vm& vm) {
    vm.loop_due = false;
    for (const bool urgent : {true, false}) {
      for (Shard& shard : vm.shards) {
        if (shard.busy || this->IsUrgent(vm, shard) != urgent) continue;
        if (this->now < shard.backoff_until) continue;
        if (!urgent && this->now < shard.yield_until) continue;
        bool due = false;
        for (const std::string& name : shard.names) {
          due = due || vm.holder->IsDue(this->now, name);
        }
        if (!due) continue;
        if (vm.active_syncs >= 4) break;
        if (!vm.pacer->Take(this->now, urgent)) break;
        ++vm.active_syncs;
        shard.busy = true;
        shard.urgent = urgent;
        shard.attempts = 0;
        if (shard.end &&
            this->now - shard.book_at < std::chrono::milliseconds(200)) {
          this->PlanAppend(vm, shard);
        } else {
          this->ReadBook(vm, shard);
        }
      }
    }
  }

  void Announce(size_t organisation, Tokens amount) {
    ++this->result.token_calls;
    if (this->IsCut(this->now)) return;
    this->After(std::chrono::milliseconds(6), [this, organisation, amount] {
      for (const auto& vm : this->fleet) {
        // A held read returns, or the next one, after the read interval.
        TimePoint at = std::max(
            this->now, vm->calls_read_at + std::chrono::milliseconds(500));
        if (vm->calls_read_at > this->now) {
          at = vm->calls_read_at;
        } else {
          ++this->result.call_reads;
          vm->calls_read_at = at;
        }
        this->At(at + this->Delay(*vm), [this, &vm = *vm, organisation,
                                         amount] {
          if (this->IsCut(this->now)) return;
          vm.holder->OnCall(this->now, this->organisations[organisation].name,
                            amount, this->rng.Unit());
          this->Notify(vm);
        });
      }
    });
  }

  void PlanCalls(Vm& vm, const Shard& shard) {
    if (!this->options.calls) return;
    for (size_t i = 0; i < this->organisations.size(); ++i) {
      if (this->organisations[i].partition != shard.partition) continue;
      const Tokens amount =
          vm.holder->PlanCall(this->now, this->organisations[i].name);
      if (amount.count > 0) this->Announce(i, amount);
    }
  }

  void EndSync(Vm& vm, Shard& shard) {
    this->PlanCalls(vm, shard);
    shard.busy = false;
    --vm.active_syncs;
    this->WakeWaiting(vm);
    this->Notify(vm);
  }

  void BackOff(Shard& shard) {
    const Duration backoff =
        std::chrono::milliseconds(100) * (1 << std::min(shard.failures, 3));
    ++shard.failures;
    shard.backoff_until = this->now + backoff;
  }

  void ReadBook(Vm& vm, Shard& shard) {
    ++this->result.account_reads;
    if (this->IsCut(this->now)) {
      this->After(std::chrono::milliseconds(400), [this, &vm, &shard] {
        this->BackOff(shard);
        this->EndSync(vm, shard);
      });
      return;
    }
    const Duration there = this->Delay(vm);
    const Duration back = this->Delay(vm);
    const Duration timeout = std::chrono::milliseconds(1200);
    if (there + back > timeout) {
      this->After(timeout, [this, &vm, &shard] {
        this->BackOff(shard);
        this->EndSync(vm, shard);
      });
      return;
    }
    this->After(there, [this, &vm, &shard, back] {
      const Partition& partition = this->partitions[shard.partition];
      const AccountBook book = partition.book;
      const uint64_t end = partition.end;
      this->After(back, [this, &vm, &shard, book, end] {
        shard.book = book;
        shard.end = end;
        shard.book_at = this->now;
        this->PlanAppend(vm, shard);
      });
    });
  }

  void PlanAppend(Vm& vm, Shard& shard) {
    auto append = std::make_shared<Append>();
    append->book = shard.book;
    append->at = *shard.end;
    for (const std::string& name : shard.names) {
      const auto update =
          vm.holder->PlanWrite(this->now, name, append->book[name]);
      if (!update) continue;
      append->book[name] = update->account;
      append->updates.push_back(*update);
    }
    if (append->updates.empty()) {
      this->EndSync(vm, shard);
      return;
    }
    shard.write_begun = this->now;
    this->Send(vm, shard, append);
  }

  void Send(Vm& vm, Shard& shard, const std::shared_ptr<Append>& append) {
    ++this->result.appends;
    this->After(append->timeout, [this, &vm, &shard, append] {
      if (append->answered) return;
      append->unknown = true;
      append->timeout = std::min<Duration>(2 * append->timeout,
                                           std::chrono::milliseconds(1000));
      this->Send(vm, shard, append);
    });
    if (this->IsCut(this->now)) return;
    this->After(this->Delay(vm), [this, &vm, &shard, append] {
      Partition& partition = this->partitions[shard.partition];
      partition.busy_until =
          std::max(partition.busy_until, this->now) + this->options.append_time;
      this->At(partition.busy_until,
               [this, &vm, &shard, append] { this->Apply(vm, shard, append); });
    });
  }

  void Apply(Vm& vm, Shard& shard, const std::shared_ptr<Append>& append) {
    Partition& partition = this->partitions[shard.partition];
    if (!append->applied && partition.end == append->at) {
      append->applied = true;
      partition.book = append->book;
      partition.end += append->updates.size() + 1;
    }
    if (this->IsCut(this->now)) return;
    this->After(this->Delay(vm), [this, &vm, &shard, append] {
      this->OnAnswer(vm, shard, append);
    });
  }

  void OnAnswer(Vm& vm, Shard& shard, const std::shared_ptr<Append>& append) {
    if (append->answered) return;
    append->answered = true;
    shard.write_begun = TimePoint();
    for (const GrantUpdate& update : append->updates) {
      if (append->applied) {
        vm.holder->OnWritten(this->now, update.organisation);
      } else {
        vm.holder->OnRefused(update.organisation);
      }
    }
    if (append->applied) {
      shard.failures = 0;
      shard.book = append->book;
      shard.book_at = this->now;
      shard.end = append->at + append->updates.size() + 1;
      if (append->unknown) shard.end.reset();
      this->EndSync(vm, shard);
      return;
    }
    ++this->result.lost_races;
    if (!shard.urgent) {
      shard.yield_until =
          this->now + std::chrono::milliseconds(this->rng.Between(200, 1000));
      shard.end.reset();
      this->EndSync(vm, shard);
      return;
    }
    if (++shard.attempts >= 8) {
      this->EndSync(vm, shard);
      return;
    }
    this->ReadBook(vm, shard);
  }

  Duration HeartbeatInterval() const {
    return std::max<Duration>(FromSeconds(this->options.vms / 200.0),
                              std::chrono::milliseconds(500));
  }

  void HeartbeatLoop(Vm& vm) {
    const Duration interval = vm.holder->IsHeartbeatUrgent()
                                  ? Duration(std::chrono::milliseconds(100))
                                  : this->HeartbeatInterval();
    if (this->now < vm.heartbeat_begun + interval) {
      // The loop of the program is woken; here it polls.
      this->After(std::chrono::milliseconds(10),
                  [this, &vm] { this->HeartbeatLoop(vm); });
      return;
    }
    vm.heartbeat_begun = this->now;
    vm.holder->PlanHeartbeat(this->now);
    vm.holder->OnHeartbeatStarted(this->now);
    vm.heartbeat_pending = this->now;
    this->SendHeartbeat(vm, std::make_shared<bool>(false));
  }

  void SendHeartbeat(Vm& vm, const std::shared_ptr<bool>& answered) {
    ++this->result.heartbeats;
    this->After(std::chrono::milliseconds(700), [this, &vm, answered] {
      if (!*answered) this->SendHeartbeat(vm, answered);
    });
    if (this->IsCut(this->now)) return;
    this->After(this->Delay(vm), [this, &vm, answered] {
      this->heartbeat_busy_until =
          std::max(this->heartbeat_busy_until, this->now) +
          this->options.append_time;
      this->At(this->heartbeat_busy_until + this->Delay(vm),
               [this, &vm, answered] {
                 if (*answered || this->IsCut(this->now)) return;
                 *answered = true;
                 vm.heartbeat_pending = TimePoint();
                 vm.holder->OnHeartbeatWritten(this->now);
                 this->WakeWaiting(vm);
                 this->HeartbeatLoop(vm);
               });
    });
  }
};

}  // namespace fuchsiadrum::budget
