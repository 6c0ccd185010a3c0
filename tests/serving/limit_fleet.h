#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/upstream_limits.h"
#include "tests/serving/limit_rule.h"

namespace fuchsiadrum::serving {

/// Simulated fleet of VMs before one upstream that names a limit and others
/// that name none, with a stream in the store, on a common time line. Each VM
/// sends as many requests to the limited upstream as its permits allow.
class LimitFleet {
 public:
  struct Options {
    size_t vms = 7;
    /// Requests per second that each VM gets for the service.
    double demand = 15;
    /// Fraction of the requests that goes to the upstream while it is not
    /// limited.
    double normal_fraction = 0.06;
    uint64_t seed = 1;
  };

  explicit LimitFleet(const Options& opts)
      : options(opts), rng(opts.seed), rule(LimitRuleOptions()) {
    for (size_t i = 0; i < opts.vms; ++i) this->AddVm();
  }

  TimePoint Time() const { return this->now; }
  const LimitRule& Rule() const { return this->rule; }
  size_t Size() const { return this->vms.size(); }
  uint64_t Records() const { return this->stream.size(); }
  uint64_t Writes() const { return this->writes; }

  void Name(std::optional<double> limit) {
    this->named = limit;
    this->rule.OnNamed(this->now, limit);
  }
  /// Ends a VM's process. Without `successor` a VM with another name takes its
  /// place, else a new process on the same VM.
  void Kill(size_t index, bool successor) {
    Vm& vm = *this->vms[index];
    const std::string name =
        successor ? vm.name : "vm-" + std::to_string(++this->names);
    this->vms[index] = this->MakeVm(name, this->now + this->Random(500, 3000));
  }
  void CutFromStore(size_t index, Duration time) {
    this->vms[index]->cut_until = this->now + time;
  }
  void Suspend(size_t index, Duration time) {
    Vm& vm = *this->vms[index];
    if (vm.suspended_until > this->now) return;
    vm.suspended_until = this->now + time;
    vm.steady_lag += time;
  }
  /// The VM with the largest own rate.
  size_t LargestHolder() const {
    size_t largest = 0;
    for (size_t i = 0; i < this->vms.size(); ++i) {
      if (this->vms[i]->limits.OwnRate() >
          this->vms[largest]->limits.OwnRate()) {
        largest = i;
      }
    }
    return largest;
  }
  void StopStore(Duration time) { this->store_down_until = this->now + time; }
  void SetDemand(double demand) { this->options.demand = demand; }

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now = this->now + kStep;
      this->RunEvents();
      for (size_t i = 0; i < this->vms.size(); ++i) this->Step(*this->vms[i]);
    }
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kSyncInterval = std::chrono::milliseconds(100);
  static constexpr Duration kStoreTimeout = std::chrono::milliseconds(600);

  struct Lease {
    std::string holder;
    uint64_t renewal = 0;
  };
  struct Deleted {
    std::string upstream;
  };
  struct Ended {
    std::string holder;
  };
  using Record = std::variant<SharedLimit, Deleted, Lease, Ended>;

  struct Vm {
    explicit Vm(const UpstreamLimitsOptions& limit_options)
        : limits(limit_options) {}
    std::string name;
    std::string holder;
    UpstreamLimits limits;
    TimePoint starts_at;
    size_t read = 0;
    /// A VM gets no requests before it has read the stream.
    bool ready = false;
    TimePoint next_sync;
    TimePoint next_read;
    bool writing = false;
    TimePoint cut_until;
    TimePoint suspended_until;
    Duration steady_lag = Duration::zero();
  };
  using VmPtr = std::shared_ptr<Vm>;

  VmPtr MakeVm(const std::string& name, TimePoint starts_at) {
    const std::string holder =
        name + "/" + std::to_string(++this->incarnations);
    auto vm = std::make_shared<Vm>(UpstreamLimitsOptions{.holder = holder});
    vm->name = name;
    vm->holder = holder;
    vm->starts_at = starts_at;
    vm->limits.SetFleetSize(this->options.vms);
    return vm;
  }
  void AddVm() {
    this->vms.push_back(
        this->MakeVm("vm-" + std::to_string(++this->names), this->now));
  }
  Duration Random(int64_t low_ms, int64_t high_ms) {
    return std::chrono::milliseconds(this->rng.Between(low_ms, high_ms));
  }
  void At(TimePoint time, std::function<void()> action) {
    this->events.emplace(time, std::move(action));
  }
  void RunEvents() {
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const std::function<void()> action =
          std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      action();
    }
  }
  TimePoint SteadyNow(const Vm& vm) const { return this->now - vm.steady_lag; }
  bool IsRunning(const Vm& vm) const {
    return this->now >= vm.starts_at && this->now >= vm.suspended_until;
  }
  bool ReachesStore(const Vm& vm) const {
    return this->now >= vm.cut_until && this->now >= this->store_down_until;
  }

  void Step(Vm& vm) {
    if (!this->IsRunning(vm)) return;
    vm.limits.CheckLease(this->SteadyNow(vm), this->now);
    if (this->now >= vm.next_read && this->ReachesStore(vm)) this->Read(vm);
    if (this->now >= vm.next_sync && this->ReachesStore(vm)) this->Sync(vm);
    if (!vm.ready) return;
    double expected = this->options.demand * ToSeconds(kStep);
    while (expected > 0 && this->rng.Chance(std::min(1.0, expected))) {
      this->Serve(vm);
      expected -= 1;
    }
  }

  void Serve(Vm& vm) {
    const TimePoint steady = this->SteadyNow(vm);
    vm.limits.OnRequest(steady, "draft", 0);
    const bool limited = vm.limits.LimitOf(upstream).has_value();
    if (!limited && !this->rng.Chance(this->options.normal_fraction)) return;
    if (!vm.limits.TakePermit(steady, upstream, 0)) return;

    const VmPtr sender = this->Pointer(vm);
    this->At(this->now + this->Random(1, 15), [this, sender, steady] {
      this->rule.OnArrival(this->now, sender->name);
      const std::optional<double> limit = this->named;
      this->At(this->now + this->Random(20, 600),
               [this, sender, steady, limit] {
                 this->Answer(*sender, steady, limit);
               });
    });
  }

  void Answer(Vm& vm, TimePoint sent_at, std::optional<double> limit) {
    if (this->Pointer(vm) == nullptr || !this->IsRunning(vm)) return;
    const TimePoint steady = this->SteadyNow(vm);
    if (limit) {
      this->rule.OnTold(this->now, vm.name);
      vm.limits.OnNamed(steady, upstream, "draft", *limit, sent_at);
    } else {
      vm.limits.OnUnnamed(steady, upstream, sent_at);
    }
    vm.next_sync = this->now;
  }

  VmPtr Pointer(const Vm& vm) const {
    for (const VmPtr& item : this->vms) {
      if (item.get() == &vm) return item;
    }
    return nullptr;
  }

  void Read(Vm& vm) {
    vm.next_read =
        this->now + Duration(1000) * static_cast<int64_t>(50 + this->Size());
    vm.ready = true;
    const TimePoint steady = this->SteadyNow(vm);
    for (; vm.read < this->stream.size(); ++vm.read) {
      const Record& record = this->stream[vm.read];
      if (const auto* limit = std::get_if<SharedLimit>(&record)) {
        vm.limits.OnRecord(steady, this->now, *limit);
      } else if (const auto* deleted = std::get_if<Deleted>(&record)) {
        vm.limits.OnRecordDeleted(steady, deleted->upstream);
      } else if (const auto* lease = std::get_if<Lease>(&record)) {
        vm.limits.OnRenewal(steady, this->now, lease->holder, lease->renewal);
      } else {
        vm.limits.OnHolderDeleted(steady, this->now,
                                  std::get<Ended>(record).holder);
      }
    }
  }

  void Sync(Vm& vm) {
    vm.next_sync = this->now + kSyncInterval;
    if (vm.writing) return;
    if (!vm.limits.IsUpdateDue(this->SteadyNow(vm), this->now)) return;
    this->Read(vm);
    const LimitUpdate update =
        vm.limits.PlanUpdate(this->SteadyNow(vm), this->now);
    if (update.IsEmpty()) return;
    ++this->writes;
    vm.writing = true;
    const VmPtr writer = this->Pointer(vm);
    const size_t end = this->stream.size();
    // Some writes are applied late, and some answers are lost.
    const bool late = this->rng.Chance(0.02);
    const bool lost = late || this->rng.Chance(0.02);
    this->At(this->now + (late ? this->Random(600, 3000) : this->Random(2, 8)),
             [this, writer, update, end, lost] {
               const bool applied = this->Append(*writer, update, end);
               if (!lost) this->OnAppended(writer, applied);
             });
    if (!lost) return;
    this->At(this->now + kStoreTimeout, [this, writer] {
      writer->writing = false;
      writer->limits.OnUpdateUnanswered(this->now);
    });
  }

  void OnAppended(const VmPtr& writer, bool applied) {
    writer->writing = false;
    if (applied) {
      writer->next_read = this->now;
    } else {
      writer->limits.OnUpdateRejected(this->SteadyNow(*writer), this->now);
      writer->next_sync = this->now + this->Random(0, 400);
    }
  }

  bool Append(const Vm& vm, const LimitUpdate& update, size_t end) {
    if (!this->ReachesStore(vm)) return false;
    if (update.ChangesLimits() && this->stream.size() != end) return false;
    if (update.renewal > 0) {
      this->stream.emplace_back(Lease{vm.holder, update.renewal});
    }
    for (const SharedLimit& limit : update.changed) {
      this->stream.emplace_back(limit);
    }
    for (const std::string& id : update.deleted) {
      this->stream.emplace_back(Deleted{id});
    }
    for (const std::string& holder : update.ended_holders) {
      this->stream.emplace_back(Ended{holder});
    }
    return true;
  }

  /// The limited upstream.
  const UpstreamIncarnation upstream = {.id = "u1", .started_unix_ms = 7};

  Options options;
  Rng rng;
  LimitRule rule;
  TimePoint now{1'000'000'000};
  std::optional<double> named;
  std::vector<VmPtr> vms;
  int names = 0;
  int incarnations = 0;
  std::vector<Record> stream;
  uint64_t writes = 0;
  TimePoint store_down_until;
  std::multimap<TimePoint, std::function<void()>> events;
};

}  // namespace fuchsiadrum::serving
