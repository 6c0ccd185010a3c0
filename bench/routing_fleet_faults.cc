// Faults, propagation of "leaving" and checks of FleetRun.
#include <algorithm>

#include "bench/routing_fleet.h"

namespace fuchsiadrum::bench {
namespace {

using routing::FailureKind;
using upstream::LeavingSource;

constexpr Duration kGossipInterval = std::chrono::milliseconds(500);
constexpr Duration kVmListInterval = std::chrono::seconds(1);
constexpr Duration kIdleBound = std::chrono::seconds(3);
constexpr double kLongestLeaveS = 3.0;
/// Time for which a leaving upstream stays at least: new work may still come.
constexpr Duration kLeastStay = std::chrono::seconds(5);
/// Slowed upstreams run at this share of their speed.
constexpr double kSlowShare = 0.2;

}  // namespace

void FleetRun::ScheduleFaults() {
  const auto runners = static_cast<size_t>(this->shape.runners);
  for (const Fault& fault :
       MakeFaults(this->options.scenario, runners, 3, this->options.length,
                  this->rng.Fork("faults"))) {
    Upstream& target = this->upstreams[fault.target];
    switch (fault.kind) {
      case FaultKind::kDies:
        this->queue.At(fault.from, [&target] { target.engine->Crash(); });
        this->queue.At(fault.until, [&target] {
          if (!target.gone) target.engine->Restart();
        });
        break;
      case FaultKind::kSlow:
        this->queue.At(fault.from, [&target] {
          target.engine->SetSpeed(target.speed * kSlowShare);
        });
        this->queue.At(fault.until,
                       [&target] { target.engine->SetSpeed(target.speed); });
        break;
      case FaultKind::kZoneCut:
        this->queue.At(fault.from,
                       [this, fault] { this->SetZoneCut(fault.target, true); });
        this->queue.At(fault.until, [this, fault] {
          this->SetZoneCut(fault.target, false);
        });
        break;
      case FaultKind::kErrors:
        this->queue.At(fault.from, [this] { this->SetErrors(true); });
        this->queue.At(fault.until, [this] { this->SetErrors(false); });
        break;
      case FaultKind::kLeaves:
        this->queue.At(fault.from,
                       [this, fault] { this->StartLeaving(fault); });
        break;
    }
  }
  if (this->options.scenario != "mixed") return;

  // The ordered model becomes ready long after it was ordered.
  const TimePoint loaded = TimePoint{} + this->options.length * 2 / 3;
  this->queue.At(loaded, [this] {
    for (Upstream& one : this->upstreams) {
      if (!one.service) one.served = one.ordered;
    }
  });
}

void FleetRun::StartLeaving(const Fault& fault) {
  const size_t i = fault.target;
  Upstream& one = this->upstreams[i];
  const auto within = [this](int64_t least_ms, int64_t most_ms) {
    return std::chrono::milliseconds(this->rng.Between(least_ms, most_ms));
  };

  // Each trigger is the first to know; the others follow late or never.
  switch (fault.trigger) {
    case LeaveTrigger::kVmList:
      one.listed_leaving = true;
      this->queue.After(within(0, 900), [&one] { one.says_leaving = true; });
      break;
    case LeaveTrigger::kOwnAnswer:
      one.says_leaving = true;
      this->queue.After(within(5000, 10000),
                        [&one] { one.listed_leaving = true; });
      break;
    case LeaveTrigger::kCatalogue:
      one.drained_by_operator = true;
      for (Daemon& daemon : this->daemons) {
        this->queue.After(within(30, 300), [this, &daemon, i] {
          if (this->cut_zone != daemon.zone) {
            this->Tell(daemon, i, LeavingSource::kCatalogue, true);
          }
        });
      }
      break;
  }
  this->queue.After(kLeastStay, [this, fault] {
    this->FinishLeaving(fault.target, fault.until);
  });
}

void FleetRun::FinishLeaving(size_t i, TimePoint limit) {
  Upstream& one = this->upstreams[i];
  if (one.gone) return;
  if (one.engine->Jobs() > 0 && this->queue.Now() < limit) {
    this->queue.After(std::chrono::milliseconds(200),
                      [this, i, limit] { this->FinishLeaving(i, limit); });
    return;
  }
  one.gone = true;
  one.engine->Crash();
}

void FleetRun::SetZoneCut(size_t zone, bool cut) {
  if (!cut) {
    // The cut-off daemons read the log again and learn of operators' drains.
    this->cut_zone.reset();
    for (Daemon& daemon : this->daemons) {
      for (size_t i = 0; i < this->upstreams.size(); ++i) {
        if (this->upstreams[i].drained_by_operator) {
          this->Tell(daemon, i, LeavingSource::kCatalogue, true);
        }
      }
    }
    return;
  }
  this->cut_zone = zone;

  // Streams across the cut fall silent; the idle bound ends them.
  for (size_t index = 0; index < this->attempts.size(); ++index) {
    const Attempt& attempt = this->attempts[index];
    if (!attempt.open) continue;
    const size_t from =
        this->daemons[this->arrivals[attempt.arrival].daemon].zone;
    if (!this->IsCut(from, this->upstreams[attempt.upstream].zone)) continue;
    this->queue.After(kIdleBound, [this, index] {
      this->FailAttempt(index, FailureKind::kSilent);
    });
  }
}

void FleetRun::SetErrors(bool failing) {
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    Upstream& one = this->upstreams[i];
    if (!one.service && i % 4 != 0) one.failing = failing;
  }
}

void FleetRun::Gossip(size_t d) {
  if (this->IsOmniscient()) return;
  const Daemon& sender = this->daemons[d];
  for (const pb::UpstreamHint& hint : sender.table->Hints()) {
    for (Daemon& receiver : this->daemons) {
      if (&receiver == &sender || this->IsCut(sender.zone, receiver.zone)) {
        continue;
      }
      this->queue.After(this->Latency(sender.zone, receiver.zone),
                        [this, &receiver, hint] {
                          receiver.table->OnHint(this->queue.Now(), hint);
                        });
    }
  }
  this->queue.After(kGossipInterval, [this, d] { this->Gossip(d); });
}

void FleetRun::ReadVmList(size_t d) {
  if (this->IsOmniscient()) return;
  Daemon& daemon = this->daemons[d];
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->cut_zone == daemon.zone) break;
    if (!this->upstreams[i].listed_leaving) continue;
    this->Tell(daemon, i, LeavingSource::kVmList, true);
  }
  this->queue.After(kVmListInterval, [this, d] { this->ReadVmList(d); });
}

void FleetRun::Tell(Daemon& daemon, size_t i, LeavingSource source,
                    bool leaving) {
  Upstream& one = this->upstreams[i];
  if (leaving && !one.told_at) one.told_at = this->queue.Now();
  if (this->options.mutate == "ignore-leaving") return;
  daemon.table->SetLeaving(this->queue.Now(), one.name, source, leaving);
}

void FleetRun::CheckNewWork(size_t d, size_t i) {
  const Upstream& one = this->upstreams[i];
  if (!one.told_at) return;
  // A daemon that is cut off from log, VM list and peers cannot know of an
  // operator's drain, which the upstream does not know of either.
  if (one.drained_by_operator && this->cut_zone == this->daemons[d].zone) {
    return;
  }
  const double after =
      static_cast<double>((this->queue.Now() - *one.told_at).count()) / 1e6;
  this->figures.new_work_after_leave_max_s =
      std::max(this->figures.new_work_after_leave_max_s, after);
  if (after > kLongestLeaveS) this->Violate("new work for a leaving upstream");
}

void FleetRun::CheckRefusal(const Arrival& arrival) {
  const size_t zone = this->daemons[arrival.daemon].zone;
  const bool possible = std::any_of(
      this->upstreams.begin(), this->upstreams.end(), [&](const Upstream& one) {
        return one.engine->IsUp() && !one.told_at &&
               this->Serves(one, arrival) && !this->IsCut(zone, one.zone);
      });
  // Reports arrive 2 s late, so nothing is observed before.
  const bool started = arrival.at > TimePoint{} + std::chrono::seconds(3);
  if (possible && started && arrival.model.empty()) {
    this->Violate("a service call was refused while an instance was alive");
  }
}

void FleetRun::CheckEjectionFloor(const Daemon& daemon) {
  const auto check = [&](const upstream::CandidateGroup* group) {
    if (group == nullptr) return;
    const auto ejected = std::count_if(
        group->all.begin(), group->all.end(),
        [&](uint32_t index) { return daemon.table->At(index).ejected; });
    if (2 * static_cast<size_t>(ejected) > group->all.size()) {
      this->Violate("more than half of the candidates are ejected");
    }
  };
  check(daemon.table->ForModel("m"));
  check(daemon.table->ForModel("m2"));
  check(daemon.table->ForService(this->shape.service));
}

}  // namespace fuchsiadrum::bench
