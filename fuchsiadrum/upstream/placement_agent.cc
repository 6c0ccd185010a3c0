#include "fuchsiadrum/upstream/placement_agent.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::upstream {

PlacementAgent::PlacementAgent(PlacementAgentOptions options,
                               const PeerView& peers,
                               const PlacementOwners& owners,
                               const UpstreamTable& table)
    : options(options), peers(peers), owners(owners), table(table) {}

void PlacementAgent::SetWanted(const std::vector<pb::Placement>& placements) {
  std::map<std::string, Task> next;
  for (const pb::Placement& placement : placements) {
    Task task;
    const auto known = this->tasks.find(placement.upstream());
    if (known != this->tasks.end()) task = known->second;
    const std::string before = task.wanted.SerializeAsString();
    if (before != placement.SerializeAsString()) {
      task.wanted = placement;
      task.wanted_models = ModelsOf(placement);
      task.ordered_at.reset();
      task.load_paid = false;
      task.was_reached = false;
      task.reversals = 0;
    }
    next[placement.upstream()] = std::move(task);
  }
  this->tasks = std::move(next);
}

void PlacementAgent::OnOrderAnswer(TimePoint /*now*/,
                                   const std::string& upstream,
                                   OrderAnswer answer) {
  const auto found = this->tasks.find(upstream);
  if (found == this->tasks.end()) return;

  // The engine knows a newer owner. The record of it will be folded; until
  // then the repetition time passes as after any order.
  if (answer == OrderAnswer::kOldFencing) found->second.load_paid = false;
}

void PlacementAgent::OnTick(TimePoint now, Outbox& out) {
  this->RefillLoads(now);
  for (auto& [upstream, task] : this->tasks) {
    this->FollowTerm(now, upstream, task);
    this->FollowState(task);
    this->AppointIfNeeded(now, upstream, task, out);
    if (this->MayOrder(now, upstream, task)) this->Order(now, upstream, task);
  }
}

void PlacementAgent::BeginDrain(TimePoint now, Outbox& out) {
  this->draining = true;
  for (auto& [upstream, task] : this->tasks) {
    if (!this->IsOwn(upstream)) continue;
    const auto next = this->BestOwner(upstream, false);
    if (next) this->Appoint(now, upstream, task, *next, out);
  }
}

bool PlacementAgent::IsDrained() const {
  // Without another daemon nobody can take over, and nothing is lost: the next
  // daemon replaces a silent owner.
  if (this->peers.AlivePeers().empty()) return true;
  return std::none_of(
      this->tasks.begin(), this->tasks.end(),
      [this](const auto& task) { return this->IsOwn(task.first); });
}

std::vector<PlacementOrder> PlacementAgent::TakeOrders() {
  return std::exchange(this->orders, {});
}

std::vector<PlacementStatus> PlacementAgent::Statuses() const {
  std::vector<PlacementStatus> out;
  for (const auto& [upstream, task] : this->tasks) {
    const auto* owner = this->owners.Find(upstream);
    out.push_back({.upstream = upstream,
                   .owner = owner == nullptr ? "" : owner->owner.vm,
                   .reached = this->IsReached(task),
                   .conflict = task.reversals > this->options.most_reversals});
  }
  return out;
}

std::vector<std::string> PlacementAgent::ModelsOf(
    const pb::Placement& placement) {
  std::vector<std::string> models(placement.models().begin(),
                                  placement.models().end());
  models.insert(models.end(), placement.adapters().begin(),
                placement.adapters().end());
  std::sort(models.begin(), models.end());
  models.erase(std::unique(models.begin(), models.end()), models.end());
  return models;
}

bool PlacementAgent::IsReached(const Task& task) const {
  const auto index = this->table.Find(task.wanted.upstream());
  if (!index) return false;
  const UpstreamState& state = this->table.At(*index);
  const pb::Placement& wanted = task.wanted;
  return state.reports > 0 && state.models == task.wanted_models &&
         (wanted.version().empty() || wanted.version() == state.version) &&
         (wanted.role().empty() || wanted.role() == state.role);
}

bool PlacementAgent::IsOwn(const std::string& upstream) const {
  const auto* appointment = this->owners.Find(upstream);
  return appointment != nullptr && appointment->owner == this->peers.Self().ref;
}

std::optional<VmRef> PlacementAgent::BestOwner(const std::string& upstream,
                                               bool with_self) const {
  std::optional<VmRef> best;
  uint64_t highest = 0;
  const auto consider = [&](const VmRef& vm) {
    const uint64_t score = Hash64(vm.vm, Hash64(upstream));
    if (best && score <= highest) return;
    best = vm;
    highest = score;
  };
  if (with_self) consider(this->peers.Self().ref);
  for (const VmInfo& peer : this->peers.AlivePeers()) consider(peer.ref);
  return best;
}

bool PlacementAgent::IsOwnerLost(TimePoint now, const VmRef& owner) const {
  const VmRef& self = this->peers.Self().ref;
  // An earlier life of this VM owned it: that process is gone.
  if (owner.vm == self.vm) return owner.incarnation != self.incarnation;
  const auto silent = this->peers.SilentFor(now, owner);
  return !silent || *silent > this->options.owner_silent;
}

void PlacementAgent::FollowTerm(TimePoint now, const std::string& upstream,
                                Task& task) {
  const auto* appointment = this->owners.Find(upstream);
  if (appointment == nullptr || appointment->term == task.term) return;
  task.term = appointment->term;
  task.term_seen = now;
  task.appointed_at.reset();
  task.ordered_at.reset();
  task.load_paid = false;
  task.was_reached = false;
  task.reversals = 0;
}

void PlacementAgent::FollowState(Task& task) const {
  const bool reached = this->IsReached(task);
  if (task.was_reached && !reached) {
    // The engine restarted, or somebody else orders.
    ++task.reversals;
    task.load_paid = false;
  }
  task.was_reached = reached;
}

void PlacementAgent::Appoint(TimePoint now, const std::string& upstream,
                             Task& task, const VmRef& owner, Outbox& out) {
  pb::PlacementAppoint& appoint = *out.AddRecord().mutable_placement_appoint();
  appoint.set_upstream(upstream);
  *appoint.mutable_owner() = owner.ToProto();
  const auto* present = this->owners.Find(upstream);
  if (present != nullptr) {
    *appoint.mutable_previous() = present->term.ToProto();
  } else {
    *appoint.mutable_previous() = LogPosition{}.ToProto();
  }
  task.appointed_at = now;
}

void PlacementAgent::AppointIfNeeded(TimePoint now, const std::string& upstream,
                                     Task& task, Outbox& out) {
  if (this->draining || !this->peers.IsLogReachable()) return;
  const auto* present = this->owners.Find(upstream);
  if (present != nullptr && !this->IsOwnerLost(now, present->owner)) return;
  if (task.appointed_at &&
      now - *task.appointed_at < this->options.appoint_timeout) {
    return;
  }
  // The same daemon is the best one in every daemon's view, as far as the
  // views agree; the fold decides where they do not.
  const auto best = this->BestOwner(upstream, true);
  if (best == this->peers.Self().ref) {
    this->Appoint(now, upstream, task, *best, out);
  }
}

void PlacementAgent::RefillLoads(TimePoint now) {
  // The share of the weight store's rate is that of the upstreams that need a
  // load; every daemon knows all of them and their owners.
  double all = 0;
  double own = 0;
  for (const auto& [upstream, task] : this->tasks) {
    if (this->IsReached(task)) continue;
    all += 1;
    if (this->IsOwn(upstream)) own += 1;
  }
  if (this->refilled_at && own > 0) {
    // A pause of the process earns nothing beyond one load.
    const double minutes =
        static_cast<double>((now - *this->refilled_at).count()) / 60e6;
    this->loads += minutes * this->options.loads_per_minute * own / all;
  }
  this->loads = std::clamp(this->loads, 0.0, 1.0);
  this->refilled_at = now;
}

bool PlacementAgent::MayOrder(TimePoint now, const std::string& upstream,
                              const Task& task) const {
  if (this->draining || !this->IsOwn(upstream) || this->IsReached(task)) {
    return false;
  }
  if (task.reversals > this->options.most_reversals) return false;
  if (task.ordered_at && now - *task.ordered_at < this->options.repeat_after) {
    return false;
  }
  const auto index = this->table.Find(upstream);
  if (!index) return false;
  const UpstreamState& state = this->table.At(*index);
  if (!state.AcceptsWork()) return false;
  if (state.checks_fencing) return true;

  // Nothing but this daemon's own knowledge of the log keeps an engine that
  // ignores the number from getting orders of a replaced owner.
  const bool fresh = this->log_end_read &&
                     now - *this->log_end_read <= this->options.log_fresh;
  return fresh && now - task.term_seen >= this->options.settle;
}

void PlacementAgent::Order(TimePoint now, const std::string& upstream,
                           Task& task) {
  // A repetition of an absolute order starts no further load.
  if (!task.load_paid) {
    if (this->loads < 1.0) return;
    this->loads -= 1.0;
    task.load_paid = true;
  }
  const pb::Placement& wanted = task.wanted;
  task.ordered_at = now;
  this->orders.push_back(
      {.upstream = upstream,
       .address = this->table.At(*this->table.Find(upstream)).address,
       .fencing = task.term.offset,
       .models = {wanted.models().begin(), wanted.models().end()},
       .adapters = {wanted.adapters().begin(), wanted.adapters().end()},
       .version = wanted.version(),
       .role = wanted.role()});
}

}  // namespace fuchsiadrum::upstream
