#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fuchsiadrum/core/duration.h"
#include "tests/budget/token_fleet_store.h"

namespace fuchsiadrum::budget {

/// Simulates a fleet of gateways with the accounts of several organisations.
/// Each gateway is a GrantHolder with the loops of the gateway program around
/// it. Callers stick to a VM and try a refused request once more at another VM
/// of the zone.
class TokenFleet : private TokenFleetStore {
 public:
  explicit TokenFleet(const TokenFleetOptions& fleet_options)
      : TokenFleetStore(fleet_options) {
    this->SetUpOrganisations();
    for (int i = 0; i < this->options.vms; ++i) this->StartVm(i);
  }

  TokenFleetResult Run() {
    const TimePoint end = this->start + this->options.duration;
    while (!this->events.empty()) {
      Event event = this->events.top();
      this->events.pop();
      if (event.at > end) break;
      this->now = event.at;
      event.run();
    }
    this->Summarise();
    return this->result;
  }

 private:
  void SetUpOrganisations() {
    constexpr double kMeanTokens = 5200;
    constexpr uint64_t kCallers = 25;
    double weights = 0;
    for (int i = 0; i < this->options.organisations; ++i) {
      weights += 1.0 / (i + 2);
    }
    const auto vms = static_cast<uint64_t>(this->options.vms);
    const auto zones = static_cast<uint64_t>(this->options.zones);
    for (int i = 0; i < this->options.organisations; ++i) {
      Organisation organisation;
      organisation.name = "org" + std::to_string(i);
      organisation.rate = this->options.requests_per_s / (i + 2) / weights;
      double rate = organisation.rate;
      if (i == 0) {
        rate += this->options.crowd_per_s * this->options.crowd_fraction;
      }
      organisation.budget = Tokens(static_cast<int64_t>(
          rate * kMeanTokens * this->options.budget_factor *
          ToSeconds(this->options.duration)));
      organisation.partition = this->load_rng.Below(24);
      for (uint64_t caller = 0; caller < kCallers; ++caller) {
        uint64_t vm = this->load_rng.Below(vms);
        if (this->load_rng.Chance(this->options.home_zone_fraction)) {
          vm = vm / zones * zones + static_cast<uint64_t>(i) % zones;
        }
        organisation.caller_vms.push_back(std::min(vm, vms - 1));
      }
      this->organisations.push_back(organisation);
    }
    this->partitions.resize(24);
    for (size_t i = 0; i < this->organisations.size(); ++i) {
      this->After(Duration(this->load_rng.Between(0, 100000)),
                  [this, i] { this->Arrive(i); });
    }
    if (this->options.crowd_per_s > 0) {
      this->After(Duration::zero(), [this] {
        this->MoveCrowd();
        this->ArriveCrowd();
      });
    }
  }

  void MoveCrowd() {
    this->crowd_vm =
        static_cast<size_t>(this->options.zones) *
        this->load_rng.Below(static_cast<uint64_t>(this->options.crowd_vms));
    this->crowd_there = this->load_rng.Chance(this->options.crowd_fraction);
    this->After(this->options.crowd_stay, [this] { this->MoveCrowd(); });
  }

  void ArriveCrowd() {
    this->After(FromSeconds(this->load_rng.Exponential(
                    1.0 / this->options.crowd_per_s)),
                [this] { this->ArriveCrowd(); });
    if (!this->crowd_there) return;
    this->fleet[this->crowd_vm]->crowded = true;
    this->Admit(this->crowd_vm, this->NewRequest(0));
  }

  void StartVm(int number) {
    auto vm = std::make_unique<Vm>();
    vm->zone = number % this->options.zones;
    vm->holder = std::make_unique<GrantHolder>(this->options.holder);
    vm->holder->SetFleetSize(static_cast<size_t>(this->options.vms));
    store::CallPacerOptions pacing;
    pacing.fleet_calls_per_s = this->options.writes_per_s;
    vm->holder->SetZone(
        "zone" + std::to_string(vm->zone),
        static_cast<size_t>(this->options.vms / this->options.zones));
    vm->pacer = std::make_unique<store::CallPacer>(pacing);
    vm->pacer->SetFleetSize(static_cast<size_t>(this->options.vms));
    std::map<size_t, Shard> shards;
    for (const Organisation& organisation : this->organisations) {
      vm->holder->SetLimit(organisation.name, organisation.budget, 1);
      Shard& shard = shards[organisation.partition];
      shard.partition = organisation.partition;
      shard.names.push_back(organisation.name);
    }
    for (auto& [partition, shard] : shards) vm->shards.push_back(shard);
    Vm* const started = vm.get();
    this->fleet.push_back(std::move(vm));
    this->After(Duration(this->rng.Between(0, 1000000)), [this, started] {
      this->Loop(*started);
      this->HeartbeatLoop(*started);
    });
  }

  void Arrive(size_t index) {
    const Organisation& organisation = this->organisations[index];
    this->After(
        FromSeconds(this->load_rng.Exponential(1.0 / organisation.rate)),
        [this, index] { this->Arrive(index); });
    const auto& callers = organisation.caller_vms;
    this->Admit(callers[this->load_rng.Below(callers.size())],
                this->NewRequest(index));
  }

  std::shared_ptr<Request> NewRequest(size_t organisation) {
    auto request = std::make_shared<Request>();
    request->organisation = organisation;
    const bool is_long = this->load_rng.Chance(0.5);
    request->amount = Tokens(is_long ? 9250 : 1100);
    request->used = request->amount - Tokens(100);
    return request;
  }

  void Admit(size_t vm_index, const std::shared_ptr<Request>& request) {
    Vm& vm = *this->fleet[vm_index];
    ++this->result.attempts;
    if (request->organisation == 0) ++this->result.crowd_attempts;
    if (!request->is_retry) ++this->result.requests;
    if (!request->is_retry && this->IsCut(this->now)) {
      ++this->result.requests_cut;
    }
    request->arrived = this->now;
    const bool is_long = request->amount.count > 5000;
    request->wait_end =
        this->now + std::chrono::milliseconds(is_long ? 360 : 300);
    vm.holder->OnRequest(this->now, this->NameOf(*request), request->amount);
    this->Try(vm_index, request);
  }

  const std::string& NameOf(const Request& request) const {
    return this->organisations[request.organisation].name;
  }

  Shard& ShardOf(Vm& vm, const Request& request) {
    const size_t partition =
        this->organisations[request.organisation].partition;
    return *std::ranges::find(vm.shards, partition, &Shard::partition);
  }

  bool IsStoreAnswering(Vm& vm, const Request& request) {
    const auto age = [this](TimePoint begun) {
      return begun.us == 0 ? Duration::zero() : this->now - begun;
    };
    return age(this->ShardOf(vm, request).write_begun) <
               std::chrono::milliseconds(600) &&
           age(vm.heartbeat_pending) < std::chrono::milliseconds(600);
  }

  void Try(size_t vm_index, const std::shared_ptr<Request>& request) {
    if (request->done) return;
    Vm& vm = *this->fleet[vm_index];
    const ReserveOutcome outcome =
        vm.holder->Reserve(this->now, this->NameOf(*request), request->amount);
    if (outcome == ReserveOutcome::kReserved) {
      request->done = true;
      this->EndWait(vm, request);
      this->Serve(vm, request);
      return;
    }
    this->Notify(vm);
    bool expected = outcome == ReserveOutcome::kPending;
    if (outcome == ReserveOutcome::kHeldElsewhere) {
      expected =
          vm.holder->MayComeBack(this->NameOf(*request), request->amount);
    }
    expected = expected && this->IsStoreAnswering(vm, *request);
    if (!expected || this->now >= request->wait_end) {
      request->done = true;
      this->EndWait(vm, request);
      this->Refuse(vm_index, request, outcome);
      return;
    }
    vm.waiting.push_back(request);
    if (!request->registered) {
      request->registered = true;
      vm.holder->AddWaiting(this->NameOf(*request), request->amount);
    }
    this->After(std::min<Duration>(request->wait_end - this->now,
                                   std::chrono::milliseconds(50)),
                [this, vm_index, request] { this->Retry(vm_index, request); });
  }

  void EndWait(Vm& vm, const std::shared_ptr<Request>& request) {
    if (!request->registered) return;
    request->registered = false;
    vm.holder->RemoveWaiting(this->NameOf(*request), request->amount);
  }

  void Retry(size_t vm_index, const std::shared_ptr<Request>& request) {
    Vm& vm = *this->fleet[vm_index];
    const auto found = std::ranges::find(vm.waiting, request);
    if (found == vm.waiting.end()) return;
    vm.waiting.erase(found);
    this->Try(vm_index, request);
  }

  void Serve(Vm& vm, const std::shared_ptr<Request>& request) {
    ++this->result.served;
    Organisation& organisation = this->organisations[request->organisation];
    organisation.spent += request->used;
    this->After(std::chrono::milliseconds(this->rng.Between(300, 3000)),
                [this, &vm, request] {
                  vm.holder->Settle(this->NameOf(*request), request->amount,
                                    request->used);
                });
  }

  void Refuse(size_t vm_index, const std::shared_ptr<Request>& request,
              ReserveOutcome outcome) {
    const Vm& vm = *this->fleet[vm_index];
    if (outcome == ReserveOutcome::kExhausted) {
      ++this->result.refused_exhausted;
      return;
    }
    if (outcome == ReserveOutcome::kPending) ++this->result.refused_pending;
    if (outcome == ReserveOutcome::kHeldElsewhere) {
      ++this->result.refused_held_elsewhere;
    }
    if (request->organisation == 0) ++this->result.crowd_refused;
    if (!this->IsCut(this->now)) ++this->result.refused_calm;
    if (vm.holder->NeedsOnlyCeiling(this->NameOf(*request), request->amount)) {
      ++this->result.refused_ceiling;
    }
    if (request->is_retry) {
      ++(this->IsCut(this->now) ? this->result.lost_cut
                                : this->result.lost_calm);
      return;
    }
    auto again = std::make_shared<Request>(*request);
    again->is_retry = true;
    again->done = false;
    // Another VM of the zone.
    const auto zones = static_cast<size_t>(this->options.zones);
    const size_t other = std::min(
        this->rng.Below(this->fleet.size()) / zones * zones + vm_index % zones,
        this->fleet.size() - 1);
    this->After(std::chrono::milliseconds(55),
                [this, other, again] { this->Admit(other, again); });
  }

  void WakeWaiting(Vm& vm) override {
    const size_t index = this->IndexOf(vm);
    std::list<std::shared_ptr<Request>> woken;
    woken.swap(vm.waiting);
    for (const auto& request : woken) this->Try(index, request);
  }

  size_t IndexOf(const Vm& vm) const {
    return static_cast<size_t>(
        std::ranges::find(this->fleet, &vm, &std::unique_ptr<Vm>::get) -
        this->fleet.begin());
  }

  void Summarise() {
    double budgets = 0;
    for (const Organisation& organisation : this->organisations) {
      const auto budget = static_cast<double>(organisation.budget.count);
      const FleetAccount& account =
          this->partitions[organisation.partition].book[organisation.name];
      budgets += budget;
      this->result.spent += static_cast<double>(organisation.spent.count);
      this->result.ungranted +=
          static_cast<double>((organisation.budget - account.granted).count);
      this->result.pooled +=
          static_cast<double>((account.granted - organisation.spent).count);
      this->result.max_spent =
          std::max(this->result.max_spent,
                   static_cast<double>(organisation.spent.count) / budget);
    }
    this->result.spent /= budgets;
    this->result.ungranted /= budgets;
    this->result.pooled /= budgets;
  }
};

}  // namespace fuchsiadrum::budget
