#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/cold_upstreams.h"

namespace fuchsiadrum::serving {

/// Simulated fleet of VMs before upstreams that crash, start cold and may
/// become cold again, on a common time line. Each VM sends as much as it may to
/// an upstream that it takes for cold, since that one is idle, and an even part
/// of the ordinary rate to one that it takes for warm.
class ColdFleet {
 public:
  struct Options {
    size_t vms = 7;
    size_t upstreams = 3;
    /// Requests per second that a warm upstream gets from all VMs.
    double ordinary_rate = 5;
    uint64_t seed = 1;
  };
  static constexpr double kRate = 11;
  static constexpr double kOverage = 1.5;
  static constexpr double kSlack = 5;
  static constexpr Duration kColdTime = std::chrono::seconds(3);

  explicit ColdFleet(const Options& opts) : options(opts), rng(opts.seed) {
    for (size_t i = 0; i < opts.upstreams; ++i) {
      Upstream& upstream = this->upstreams.emplace_back();
      upstream.id = "i-" + std::to_string(i);
      upstream.next_entry = this->now + this->Random(0, 1000);
    }
    for (size_t i = 0; i < opts.vms; ++i) {
      this->names.insert("vm-" + std::to_string(i));
    }
    for (const std::string& name : this->names) this->AddVm(name, true);
  }

  /// VMs with new names start within some seconds.
  void Grow(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      const std::string name = "vm-" + std::to_string(this->vms.size() + 10000);
      this->AddVm(name, false);
      this->vms.back()->starts_at = this->now + this->Random(0, 6000);
    }
  }
  /// The process of a VM ends; another one starts in its place.
  void Restart(size_t index) {
    Vm& vm = *this->vms[index];
    const std::string name = vm.name;
    vm = Vm(name);
    this->Configure(vm);
    vm.was_listed = this->names.contains(name);
    vm.starts_at = this->now + this->Random(300, 3000);
  }
  void Suspend(size_t index, Duration time) {
    Vm& vm = *this->vms[index];
    vm.suspended_until = std::max(vm.suspended_until, this->now + time);
  }
  /// The VM does not reach the store.
  void Cut(size_t index, Duration time) {
    this->vms[index]->cut_until = this->now + time;
  }
  void CutAll(Duration time) {
    for (size_t i = 0; i < this->vms.size(); ++i) this->Cut(i, time);
  }
  /// The upstream's process ends, and starts again after `down`.
  void Crash(size_t index, Duration down) {
    Upstream& upstream = this->upstreams[index];
    upstream.down_until = this->now + down;
    ++upstream.incarnation;
    upstream.sequence = 0;
    upstream.cold_until = upstream.down_until + kColdTime;
    upstream.next_entry = upstream.down_until;
  }
  /// The upstream becomes cold while its process runs on.
  void Cool(size_t index) {
    Upstream& upstream = this->upstreams[index];
    if (this->now < upstream.down_until) return;
    upstream.cold_until = this->now + kColdTime;
    upstream.next_entry = this->now;
  }
  size_t Vms() const { return this->vms.size(); }
  size_t Upstreams() const { return this->upstreams.size(); }

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now = this->now + kStep;
      this->WriteEntries();
      this->Arrive();
      for (const auto& vm : this->vms) this->Step(*vm);
    }
  }

  /// The most requests that a cold upstream got within one second.
  size_t Worst() const { return this->worst; }
  static size_t Bound() {
    return static_cast<size_t>(kRate * kOverage + kSlack);
  }
  /// Requests that cold upstreams got.
  size_t ColdArrivals() const { return this->cold_arrivals; }

  Duration Random(int64_t low_ms, int64_t high_ms) {
    return std::chrono::milliseconds(this->rng.Between(low_ms, high_ms));
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kMaxTransit = std::chrono::milliseconds(300);
  static constexpr Duration kReadInterval = std::chrono::milliseconds(350);
  static constexpr Duration kEntryInterval = std::chrono::seconds(1);

  struct Upstream {
    std::string id;
    int64_t incarnation = 1;
    int64_t sequence = 0;
    TimePoint down_until;
    TimePoint cold_until;
    TimePoint next_entry;
    std::deque<TimePoint> cold_arrivals;
  };
  struct Vm {
    explicit Vm(std::string vm_name) : name(std::move(vm_name)) {}
    std::string name;
    std::unique_ptr<ColdUpstreams> cold;
    std::map<std::string, UpstreamEntry> entries;
    /// Incarnation of the upstream of each open connection.
    std::map<std::string, int64_t> connections;
    /// Permits of requests that are waiting for a connection, and until when.
    std::map<std::string, TimePoint> placed;
    size_t read = 0;
    bool has_read = false;
    TimePoint starts_at;
    TimePoint suspended_until;
    TimePoint cut_until;
    TimePoint next_read;
    TimePoint next_view;
    uint64_t views = 0;
    bool was_listed = false;
    std::optional<TimePoint> heartbeat_at;
  };
  struct Request {
    size_t vm = 0;
    size_t upstream = 0;
    int64_t incarnation = 0;
  };

  void AddVm(const std::string& name, bool is_listed) {
    this->vms.push_back(std::make_unique<Vm>(name));
    this->vms.back()->was_listed = is_listed;
    this->vms.back()->starts_at = this->now + this->Random(0, 2000);
    this->Configure(*this->vms.back());
  }
  void Configure(Vm& vm) const {
    ColdUpstreamsOptions cold_options;
    cold_options.overage = kOverage;
    cold_options.slack = kSlack;
    cold_options.share.vm = vm.name;
    vm.cold = std::make_unique<ColdUpstreams>(cold_options);
    ServingConfig config;
    config.services = {{.name = "draft",
                        .cold_time = kColdTime,
                        .cold_requests_per_s = kRate}};
    vm.cold->OnConfig(config);
  }

  void WriteEntries() {
    for (Upstream& upstream : this->upstreams) {
      if (this->now < upstream.next_entry) continue;
      upstream.next_entry = this->now + kEntryInterval;
      this->stream.push_back(
          {.id = upstream.id,
           .service = "draft",
           .started_unix_ms = upstream.incarnation,
           .cold_left =
               std::max(Duration::zero(), upstream.cold_until - this->now),
           .sequence = ++upstream.sequence});
    }
  }

  void Arrive() {
    while (!this->transit.empty() &&
           this->transit.begin()->first <= this->now.us) {
      const Request request = this->transit.begin()->second;
      this->transit.erase(this->transit.begin());
      Upstream& upstream = this->upstreams[request.upstream];
      if (this->now < upstream.down_until ||
          request.incarnation != upstream.incarnation) {
        Vm& vm = *this->vms[request.vm];
        vm.cold->OnDoubt(this->now, upstream.id);
        vm.connections.erase(upstream.id);
        continue;
      }
      if (this->now >= upstream.cold_until) continue;
      ++this->cold_arrivals;
      auto& arrivals = upstream.cold_arrivals;
      arrivals.push_back(this->now);
      while (this->now - arrivals.front() >= std::chrono::seconds(1)) {
        arrivals.pop_front();
      }
      this->worst = std::max(this->worst, arrivals.size());
    }
  }

  void Step(Vm& vm) {
    if (this->now < vm.starts_at || this->now < vm.suspended_until) return;
    if (vm.cold->OnClock(this->now, this->now)) vm.next_read = this->now;
    if (this->now >= vm.cut_until) this->UseStore(vm);
    if (!vm.has_read) return;
    for (size_t i = 0; i < this->upstreams.size(); ++i) this->Serve(vm, i);
  }

  /// Reads the entries and the fleet, and writes the first heartbeat.
  void UseStore(Vm& vm) {
    if (!vm.heartbeat_at) {
      vm.heartbeat_at = this->now;
      this->names.insert(vm.name);
    }
    if (this->now >= vm.next_view) {
      vm.next_view = this->now + std::chrono::seconds(vm.views == 0 ? 3 : 20);
      vm.cold->SetFleet({.vms = this->names,
                         .reads = ++vm.views,
                         .was_listed = vm.was_listed,
                         .first_heartbeat_at = vm.heartbeat_at});
    }
    if (this->now < vm.next_read) return;
    vm.next_read = this->now + kReadInterval;
    for (; vm.read < this->stream.size(); ++vm.read) {
      const UpstreamEntry& entry = this->stream[vm.read];
      // A VM that starts reads the newest entry of each upstream.
      const bool is_old = !vm.has_read && vm.read + 3 < this->stream.size();
      const auto known = vm.entries.find(entry.id);
      const bool is_replacement =
          known != vm.entries.end() &&
          known->second.started_unix_ms != entry.started_unix_ms;
      if (is_old && known != vm.entries.end()) continue;
      vm.cold->OnEntry(this->now, entry, is_replacement);
      vm.entries[entry.id] = entry;
    }
    vm.has_read = true;
    vm.cold->OnEntriesRead();
  }

  void Serve(Vm& vm, size_t index) {
    Upstream& upstream = this->upstreams[index];
    const auto known = vm.entries.find(upstream.id);
    if (known == vm.entries.end()) return;
    const UpstreamEntry& entry = known->second;
    const auto placed = vm.placed.find(upstream.id);
    if (placed != vm.placed.end()) {
      if (this->now < placed->second) return;
      vm.placed.erase(placed);
      this->Send(vm, index, entry, true);
      return;
    }
    if (vm.cold->IsCold(this->now, entry)) {
      if (!vm.cold->TakePermit(this->now, entry)) return;
      vm.placed[upstream.id] = this->now + this->Random(0, 200);
      return;
    }
    const double rate =
        this->options.ordinary_rate / static_cast<double>(this->vms.size());
    if (this->rng.Chance(rate * 0.01)) this->Send(vm, index, entry, false);
  }

  void Send(Vm& vm, size_t index, const UpstreamEntry& entry, bool has_permit) {
    Upstream& upstream = this->upstreams[index];
    // A kept connection is found closed if its upstream has ended since.
    const auto open = vm.connections.find(upstream.id);
    if (open != vm.connections.end() && (open->second != upstream.incarnation ||
                                         this->now < upstream.down_until)) {
      vm.connections.erase(open);
      vm.cold->OnDoubt(this->now, upstream.id);
    }
    const bool is_reachable = this->now >= upstream.down_until;
    const bool may_send =
        !vm.cold->IsCold(this->now, entry) ||
        (has_permit && vm.cold->IsPermitValid(this->now, entry));
    if (!is_reachable) vm.cold->OnDoubt(this->now, upstream.id);
    if (!is_reachable || !may_send) {
      if (has_permit) vm.cold->ReturnPermit(upstream.id);
      return;
    }
    vm.connections[upstream.id] = upstream.incarnation;
    vm.cold->OnSend(this->now, upstream.id, has_permit);
    const auto number = static_cast<size_t>(
        std::ranges::find_if(
            this->vms, [&](const auto& other) { return other.get() == &vm; }) -
        this->vms.begin());
    const Duration transit = this->rng.Chance(0.5)
                                 ? this->Random(1, 20)
                                 : this->Random(1, kMaxTransit.count() / 1000);
    this->transit.emplace((this->now + transit).us,
                          Request{.vm = number,
                                  .upstream = index,
                                  .incarnation = upstream.incarnation});
  }

  Options options;
  Rng rng;
  TimePoint now{1'000'000'000};
  /// Names of the VMs that have written a heartbeat.
  std::set<std::string> names;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<Upstream> upstreams;
  std::vector<UpstreamEntry> stream;
  /// Requests on their way, by the time of their arrival.
  std::multimap<int64_t, Request> transit;
  size_t worst = 0;
  size_t cold_arrivals = 0;
};

}  // namespace fuchsiadrum::serving
