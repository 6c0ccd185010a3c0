#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/admission_control.h"
#include "fuchsiadrum/serving/link_load.h"
#include "fuchsiadrum/serving/pending_bodies.h"
#include "fuchsiadrum/serving/rotation_control.h"

namespace fuchsiadrum::serving {

/// Kinds of requests of AdmissionZone.
struct ZoneKind {
  std::string name;
  size_t bytes = 0;
  double per_s = 0;
  Duration target = Duration::zero();
  int priority = 3;
  /// Bytes of its answer, sent to the caller.
  size_t answer_bytes = 0;
};

/// What became of the requests of one kind.
struct ZoneCounts {
  int offered = 0;
  int on_time = 0;
  int served = 0;
  /// Answers 503, and requests whose retry was refused as well.
  int refusals = 0;
  int failed = 0;
};

/// What the balancer chooses a VM by: each connection, so that a caller that
/// connects again goes elsewhere; the caller, so that it comes back unless its
/// VM is out of rotation; or its organisation, so that all callers go together.
enum class ZoneHash { kConnection, kCaller, kOrganisation };

/// Options of AdmissionZone.
struct ZoneOptions {
  /// Rates of the VMs' links in Mbit/s.
  std::vector<double> link_mbps;
  std::vector<ZoneKind> kinds;
  int organisations = 6;
  int callers_per_organisation = 100;
  /// Part of the requests that the first organisation makes.
  double hot_part = 0.6;
  /// Number of VMs, the first ones, to which the balancer sends all callers of
  /// the first organisation at the start.
  size_t hot_vms = 4;
  ZoneHash hash = ZoneHash::kConnection;
  AdmissionOptions admission;
  RotationOptions rotation;
  /// Use of a link that is a load of 1.
  double busy_use = 0.65;
  /// Time of an upstream to the first byte.
  Duration upstream_time = std::chrono::milliseconds(40);
  uint64_t seed = 1;
};

/// A zone of VMs behind a balancer, in steps of a millisecond. Both directions
/// of each link carry bytes in the order of their arrival. A caller keeps its
/// VM until its connection is closed or the VM is out of rotation. A retry goes
/// to another VM. A refused body has been sent already, so that it still uses
/// the receiving direction.
class AdmissionZone {
 public:
  explicit AdmissionZone(const ZoneOptions& opts)
      : options(opts), rng(opts.seed) {
    for (const double mbps : opts.link_mbps) {
      this->vms.emplace_back(mbps * 125'000, this->rng.Next(), opts);
    }
    for (int i = 0; i < opts.organisations * opts.callers_per_organisation;
         ++i) {
      const bool is_hot = i < opts.callers_per_organisation;
      const size_t count = is_hot ? opts.hot_vms : this->vms.size();
      size_t home = Hash64(std::to_string(i), opts.seed) % count;
      if (opts.hash == ZoneHash::kOrganisation) {
        home = static_cast<size_t>(i / opts.callers_per_organisation) %
               this->vms.size();
      }
      this->callers.push_back(
          {.home = home,
           .vm = home,
           .connections = 0,
           .organisation =
               "o" + std::to_string(i / opts.callers_per_organisation)});
    }
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) this->Step();
  }

  const ZoneCounts& Counts(const std::string& kind) {
    return this->counts[kind];
  }
  /// Counts of the organisation, over all kinds.
  const ZoneCounts& OfOrganisation(const std::string& name) {
    return this->by_organisation[name];
  }
  /// The largest part of the time for which a VM was not ready.
  double MostAway() const {
    double most = 0;
    for (const Vm& vm : this->vms) {
      most = std::max(most, static_cast<double>(vm.away_steps) /
                                static_cast<double>(this->steps));
    }
    return most;
  }
  int Moves() const { return this->moves; }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  static constexpr int kStepsPerTick = 25;
  static constexpr int kStepsPerCheck = 1000;
  static constexpr double kHeadBytes = 500;

  struct Caller {
    /// VM of the caller's hash, and of its current connection.
    size_t home = 0;
    size_t vm = 0;
    int connections = 0;
    std::string organisation;
  };
  struct Message {
    size_t kind = 0;
    size_t caller = 0;
    size_t vm = 0;
    TimePoint sent_at;
    bool is_retry = false;
    double bytes_left = 0;
    bool was_decided = false;
    bool is_refused = false;
    uint64_t pending = 0;
  };
  struct Vm {
    Vm(double rate, uint64_t seed, const ZoneOptions& opts)
        : bytes_per_s(rate),
          link({.bytes_per_s = rate, .overhead_bytes = 0}),
          admission(opts.admission),
          rotation(opts.rotation, seed) {}
    double bytes_per_s;
    LinkLoad link;
    AdmissionControl admission;
    PendingBodies pending{PendingBodiesOptions()};
    RotationControl rotation;
    std::deque<Message> incoming;
    std::deque<Message> outgoing;
    int missed_checks = 0;
    int64_t away_steps = 0;
  };

  bool InRotation(const Vm& vm) const { return vm.missed_checks < 2; }

  void Step() {
    this->now = this->now + kStep;
    ++this->steps;
    for (size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      double expected = this->options.kinds[kind].per_s * ToSeconds(kStep);
      for (; expected > 0; expected -= 1) {
        if (this->rng.Chance(expected)) this->Send(kind);
      }
    }
    while (!this->retries.empty() &&
           this->retries.begin()->first <= this->now) {
      const Message retry = this->retries.begin()->second;
      this->retries.erase(this->retries.begin());
      this->Deliver(retry);
    }
    for (Vm& vm : this->vms) this->Advance(vm);
    if (this->steps % kStepsPerCheck == 0) this->Check();
  }

  void Send(size_t kind) {
    const auto per_organisation =
        static_cast<uint64_t>(this->options.callers_per_organisation);
    size_t caller = this->rng.Below(per_organisation);
    if (!this->rng.Chance(this->options.hot_part)) {
      caller = per_organisation +
               this->rng.Below(this->callers.size() - per_organisation);
    }
    ++this->counts[this->options.kinds[kind].name].offered;
    ++this->by_organisation[this->callers[caller].organisation].offered;
    this->Deliver({.kind = kind,
                   .caller = caller,
                   .vm = this->callers[caller].vm,
                   .sent_at = this->now});
  }

  void Deliver(Message message) {
    message.bytes_left =
        static_cast<double>(this->options.kinds[message.kind].bytes);
    message.was_decided = false;
    this->vms[message.vm].incoming.push_back(message);
  }

  void Advance(Vm& vm) {
    double budget = vm.bytes_per_s * ToSeconds(kStep);
    while (!vm.incoming.empty() && budget > 0) {
      Message& message = vm.incoming.front();
      if (!message.was_decided) this->Decide(vm, message);
      const double sent = std::min(budget, message.bytes_left);
      budget -= sent;
      message.bytes_left -= sent;
      vm.link.OnReceived(static_cast<size_t>(sent));
      if (message.bytes_left > 0) break;
      if (!message.is_refused) this->Forward(vm, message);
      vm.incoming.pop_front();
    }
    budget = vm.bytes_per_s * ToSeconds(kStep);
    while (!vm.outgoing.empty() && budget > 0) {
      Message& message = vm.outgoing.front();
      const double sent = std::min(budget, message.bytes_left);
      budget -= sent;
      message.bytes_left -= sent;
      if (message.bytes_left > 0) break;
      this->Answer(vm, message);
      vm.outgoing.pop_front();
    }
    if (this->steps % kStepsPerTick == 0) {
      vm.link.OnTick(this->now);
      vm.rotation.OnTick(
          this->now, {.link = vm.link.Utilization() / this->options.busy_use});
    }
    if (vm.rotation.IsAway()) ++vm.away_steps;
  }

  void Decide(Vm& vm, Message& message) {
    message.was_decided = true;
    const ZoneKind& kind = this->options.kinds[message.kind];
    const OfferedRequest offered = {
        .bytes = kind.bytes,
        .priority = kind.priority,
        .target_latency = kind.target,
        .organisation = this->callers[message.caller].organisation};
    const VmLoad load = {
        .link_bytes_per_s = vm.bytes_per_s,
        .link_wait = vm.link.QueueTime(this->now, vm.pending.Bytes(this->now))};
    const AdmissionDecision decision =
        vm.admission.Decide(this->now, offered, load, this->rng);
    message.is_refused = decision.result != AdmissionResult::kTaken;
    if (!message.is_refused) {
      message.pending = vm.pending.Add(this->now, kind.bytes);
      return;
    }
    ++this->counts[kind.name].refusals;
    this->OnClosed(message.caller);
    if (message.is_retry) {
      ++this->counts[kind.name].failed;
      ++this->by_organisation[offered.organisation.data()].failed;
      return;
    }
    Message retry = message;
    retry.is_retry = true;
    retry.vm = this->OtherVm(message.caller, message.vm);
    this->retries.emplace(this->now + decision.retry_after, retry);
  }

  void Forward(Vm& vm, Message message) {
    vm.pending.Remove(message.pending);
    const ZoneKind& kind = this->options.kinds[message.kind];
    message.bytes_left = static_cast<double>(kind.bytes + kind.answer_bytes);
    vm.link.OnSent(this->now, kind.bytes + kind.answer_bytes);
    vm.outgoing.push_back(message);
  }

  void Answer(Vm& vm, const Message& message) {
    const ZoneKind& kind = this->options.kinds[message.kind];
    const std::string& organisation =
        this->callers[message.caller].organisation;
    const bool on_time =
        this->now + this->options.upstream_time - message.sent_at <=
        kind.target;
    for (ZoneCounts* sums :
         {&this->counts[kind.name], &this->by_organisation[organisation]}) {
      ++sums->served;
      if (on_time) ++sums->on_time;
    }
    if (vm.rotation.Excess() > 0 &&
        vm.rotation.AnnouncesClose(
            vm.admission.Shares().Share(this->now, organisation),
            vm.admission.Shares().Concentration(this->now))) {
      this->OnClosed(message.caller);
    }
  }

  /// A VM in rotation other than `vm`, by a hash of the caller and the number
  /// of its connections.
  size_t OtherVm(size_t index, size_t vm) {
    Caller& caller = this->callers[index];
    size_t other = vm;
    for (int i = 0; i < 20; ++i) {
      ++caller.connections;
      other = Hash64(std::to_string(index) + "/" +
                         std::to_string(caller.connections),
                     this->options.seed) %
              this->vms.size();
      if (other != vm && this->InRotation(this->vms[other])) break;
    }
    return other;
  }

  /// The VM in rotation that the hash puts next.
  size_t NextVm(const std::string& organisation, size_t index) {
    std::string name = organisation;
    if (this->options.hash == ZoneHash::kCaller) name = std::to_string(index);
    for (int i = 0; i < 100; ++i) {
      const size_t vm =
          Hash64(name + "+" + std::to_string(i), this->options.seed) %
          this->vms.size();
      if (this->InRotation(this->vms[vm])) return vm;
    }
    return 0;
  }

  /// The caller's connection has ended; it opens another one.
  void OnClosed(size_t index) {
    ++this->moves;
    Caller& caller = this->callers[index];
    const bool is_home_in = this->InRotation(this->vms[caller.home]);
    if (this->options.hash == ZoneHash::kConnection) {
      caller.vm = this->OtherVm(index, caller.vm);
    } else if (is_home_in) {
      caller.vm = caller.home;
    } else {
      caller.vm = this->NextVm(caller.organisation, index);
    }
  }

  void Check() {
    for (Vm& vm : this->vms) {
      vm.missed_checks = vm.rotation.IsAway() ? vm.missed_checks + 1 : 0;
    }
    const auto ready = std::ranges::count_if(
        this->vms, [this](const Vm& vm) { return this->InRotation(vm); });
    if (static_cast<size_t>(ready) * 2 < this->vms.size()) return;
    for (size_t i = 0; i < this->callers.size(); ++i) {
      if (!this->InRotation(this->vms[this->callers[i].vm])) this->OnClosed(i);
    }
  }

  ZoneOptions options;
  Rng rng;
  std::vector<Vm> vms;
  std::vector<Caller> callers;
  std::multimap<TimePoint, Message> retries;
  std::map<std::string, ZoneCounts> counts;
  std::map<std::string, ZoneCounts> by_organisation;
  TimePoint now{1'000'000'000};
  int64_t steps = 0;
  int moves = 0;
};

}  // namespace fuchsiadrum::serving
