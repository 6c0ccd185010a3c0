#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/request/claim_agent.h"

namespace fuchsiadrum::request {

/// A view of the peers that the test sets.
class SetPeerView : public PeerView {
 public:
  SetPeerView(VmInfo self, std::vector<VmInfo> alive)
      : self(std::move(self)), alive(std::move(alive)) {}

  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint /*now*/,
                                    const VmRef& peer) const override {
    if (this->dead.contains(peer.vm)) return Duration::max();
    const auto found = this->silent.find(peer.vm);
    return found == this->silent.end() ? Duration::zero() : found->second;
  }
  bool IsLogReachable() const override { return true; }

  VmInfo self;
  std::vector<VmInfo> alive;
  /// Peers with a newer incarnation, and peers that are silent.
  std::set<std::string> dead;
  std::map<std::string, Duration> silent;
};

/// A few agents with one log; the test delivers messages and records by hand.
class ClaimFleet {
 public:
  struct Vm {
    Vm(const VmInfo& info, const std::vector<VmInfo>& others,
       const ClaimAgentOptions& options)
        : table({.shards = 1}),
          peers(info, others),
          agent(this->table, this->peers, options, Rng(7)) {}

    ShardTable table;
    SetPeerView peers;
    ClaimAgent agent;
    size_t next = 0;
    std::vector<Decision> decisions;
    std::vector<Billing> billings;
  };

  explicit ClaimFleet(ClaimAgentOptions options = {}) {
    for (const char* name : {"a", "b", "c", "d"}) {
      this->infos.push_back({.ref = {name, 1}, .availability_zone = name});
    }
    for (const VmInfo& info : this->infos) {
      std::vector<VmInfo> others;
      for (const VmInfo& other : this->infos) {
        if (other.ref != info.ref) others.push_back(other);
      }
      this->vms[info.ref.vm] = std::make_unique<Vm>(info, others, options);
    }
  }

  Vm& At(const std::string& name) { return *this->vms.at(name); }
  static VmRef Ref(const std::string& name) { return {name, 1}; }

  /// Appends a record; the daemons see it with Fold.
  LogPosition Append(const pb::Record& record) {
    this->log.push_back(record);
    return {this->log.size(), 0};
  }
  LogPosition Assign(const std::string& home, const std::string& witness) {
    pb::Record record;
    *record.mutable_shard_assign()->mutable_home() = Ref(home).ToProto();
    *record.mutable_shard_assign()->mutable_witness() = Ref(witness).ToProto();
    return this->Append(record);
  }
  LogPosition Replace(LogPosition term, const std::string& witness) {
    pb::Record record;
    pb::ShardReplaceWitness& replace = *record.mutable_shard_replace_witness();
    *replace.mutable_term() = term.ToProto();
    *replace.mutable_witness() = Ref(witness).ToProto();
    return this->Append(record);
  }
  LogPosition TakeOver(LogPosition term, const std::string& home,
                       const std::string& witness) {
    pb::Record record;
    pb::ShardTakeOver& take_over = *record.mutable_shard_take_over();
    *take_over.mutable_term() = term.ToProto();
    *take_over.mutable_home() = Ref(home).ToProto();
    *take_over.mutable_witness() = Ref(witness).ToProto();
    return this->Append(record);
  }
  LogPosition Reset(LogPosition term, const std::string& home,
                    const std::string& witness) {
    pb::Record record;
    pb::ShardReset& reset = *record.mutable_shard_reset();
    *reset.mutable_term() = term.ToProto();
    *reset.mutable_home() = Ref(home).ToProto();
    *reset.mutable_witness() = Ref(witness).ToProto();
    return this->Append(record);
  }
  /// Lets one daemon read the log to its end.
  void Fold(const std::string& name) {
    Vm& vm = this->At(name);
    while (vm.next < this->log.size()) {
      const pb::Record& record = this->log[vm.next++];
      const LogPosition at{vm.next, 0};
      const Verdict verdict = vm.table.Apply(at, {"log", 1}, record);
      Outbox out;
      vm.agent.OnRecord(this->now, at, record, verdict, out);
      this->Take(name, out);
    }
  }
  void FoldAll() {
    for (const VmInfo& info : this->infos) this->Fold(info.ref.vm);
  }

  void Ask(const std::string& entry, const std::string& request,
           const std::string& key, bool idempotent = false,
           const std::string& digest = "x") {
    Vm& vm = this->At(entry);
    Outbox out;
    const auto decision = vm.agent.Ask(this->now,
                                       {.request_id = request,
                                        .organisation = "o",
                                        .key = key,
                                        .idempotent = idempotent,
                                        .body_digest = digest,
                                        .work_class = pb::BOOKING},
                                       out);
    if (decision) vm.decisions.push_back(*decision);
    this->Take(entry, out);
  }
  void Done(const std::string& entry, const std::string& request, bool ran,
            bool known, const std::string& body = "answer") {
    Completion completion{.ran = ran, .outcome_known = known};
    completion.stored.set_body(body);
    Outbox out;
    this->At(entry).agent.Done(this->now, request, completion, out);
    this->Take(entry, out);
  }
  void Tick(const std::string& name) {
    Outbox out;
    this->At(name).agent.OnTick(this->now, out);
    this->Take(name, out);
  }
  void TickAll(Duration step) {
    this->now = this->now + step;
    for (const VmInfo& info : this->infos) this->Tick(info.ref.vm);
  }

  /// Delivers all messages, also those that follow from them. Messages from or
  /// to a daemon in `blocked` wait.
  void Deliver(const std::set<std::string>& blocked = {}) {
    std::deque<std::pair<std::string, Envelope>> kept;
    while (!this->messages.empty()) {
      auto [from, envelope] = this->messages.front();
      this->messages.pop_front();
      if (blocked.contains(from) || blocked.contains(envelope.to.vm)) {
        kept.emplace_back(from, envelope);
        continue;
      }
      this->DeliverOne(from, envelope);
    }
    this->messages = std::move(kept);
  }
  void DeliverOne(const std::string& from, const Envelope& envelope) {
    Outbox out;
    this->At(envelope.to.vm)
        .agent.OnMessage(this->now, Ref(from), envelope.body, out);
    this->Take(envelope.to.vm, out);
  }

  /// Outcome of a request; nullopt: not decided yet.
  std::optional<ClaimOutcome> OutcomeOf(const std::string& entry,
                                        const std::string& request) {
    for (const Decision& decision : this->At(entry).decisions) {
      if (decision.request_id == request) return decision.outcome;
    }
    return std::nullopt;
  }
  std::optional<bool> BilledHere(const std::string& entry,
                                 const std::string& request) {
    for (const Billing& billing : this->At(entry).billings) {
      if (billing.request_id == request) return billing.billed_here;
    }
    return std::nullopt;
  }
  int Listed() const {
    int count = 0;
    for (const pb::Record& record : this->proposed) {
      count += record.has_lost_request() ? 1 : 0;
    }
    return count;
  }

  TimePoint now{1'000'000};
  std::vector<VmInfo> infos;
  std::map<std::string, std::unique_ptr<Vm>> vms;
  std::vector<pb::Record> log;
  std::vector<pb::Record> proposed;
  std::deque<std::pair<std::string, Envelope>> messages;

 private:
  void Take(const std::string& name, Outbox& out) {
    Vm& vm = this->At(name);
    for (Envelope& envelope : out.messages) {
      this->messages.emplace_back(name, std::move(envelope));
    }
    for (pb::Record& record : out.records) this->proposed.push_back(record);
    for (Decision& decision : vm.agent.TakeDecisions()) {
      vm.decisions.push_back(std::move(decision));
    }
    for (const Billing& billing : vm.agent.TakeBillings()) {
      vm.billings.push_back(billing);
    }
  }
};

}  // namespace fuchsiadrum::request
