#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/budget/escrow_agent.h"

namespace fuchsiadrum::budget {

/// Liveness that a test sets by hand.
class TestView : public PeerView {
 public:
  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint /*now*/,
                                    const VmRef& peer) const override {
    const auto found = this->silent.find(peer);
    return found == this->silent.end() ? Duration(0) : found->second;
  }
  bool IsLogReachable() const override { return this->log_reachable; }

  VmInfo self;
  std::vector<VmInfo> alive;
  std::map<VmRef, Duration> silent;
  bool log_reachable = true;
};

/// One daemon of a test.
struct TestDaemon {
  TestDaemon(VmInfo info, const EscrowAgentOptions& options) {
    this->view.self = std::move(info);
    this->agent = std::make_unique<EscrowAgent>(this->ledger, this->view,
                                                options, Rng(1));
  }
  const VmRef& Ref() const { return this->view.self.ref; }
  HeldGrant* FirstGrant() {
    for (const auto& budget : this->agent->Budgets().All()) {
      if (!budget->grants.empty()) return budget->grants.front().get();
    }
    return nullptr;
  }

  Ledger ledger;
  TestView view;
  std::unique_ptr<EscrowAgent> agent;
  Outbox out;
  size_t read = 0;
};

/// Daemons z1a, z1b, z2a, z2b over one log, driven step by step.
class TestFleet {
 public:
  explicit TestFleet(EscrowAgentOptions options = {}) : options(options) {
    for (const char* name : {"z1a", "z1b", "z2a", "z2b"}) {
      this->Start({{name, 1}, std::string(name, 2)});
    }
  }

  TestDaemon& Start(const VmInfo& info) {
    this->daemons.push_back(std::make_unique<TestDaemon>(info, this->options));
    for (const auto& one : this->daemons) {
      one->view.alive.clear();
      for (const auto& other : this->daemons) {
        if (other->view.self.ref.vm == one->view.self.ref.vm) continue;
        one->view.alive.push_back(other->view.self);
      }
    }
    return *this->daemons.back();
  }
  TestDaemon& operator[](size_t i) { return *this->daemons[i]; }

  void TopUp(int64_t tokens, const std::string& id = "t1") {
    pb::Record record;
    record.mutable_top_up()->set_organisation("org");
    record.mutable_top_up()->set_tokens(tokens);
    record.mutable_top_up()->set_top_up_id(id);
    this->Append({"operator", 1}, record);
    this->Run(std::chrono::milliseconds(100));
  }
  LogPosition Append(const VmRef& writer, const pb::Record& record) {
    this->log.emplace_back(writer, record);
    return {this->log.size() - 1, 0};
  }
  /// Moves a daemon's records to the log.
  void AppendRecords(TestDaemon& daemon) {
    for (const pb::Record& record : daemon.out.records) {
      this->Append(daemon.Ref(), record);
    }
    daemon.out.records.clear();
  }
  /// Lets a daemon read the whole log.
  void Read(TestDaemon& daemon) {
    for (; daemon.read < this->log.size(); ++daemon.read) {
      const auto& [writer, record] = this->log[daemon.read];
      const LogPosition at{daemon.read, 0};
      const Verdict verdict = daemon.ledger.Apply(at, writer, record);
      daemon.agent->OnRecord(this->now, at, record, verdict, daemon.out);
    }
  }
  /// Delivers a daemon's messages to daemons that are not paused.
  void Deliver(TestDaemon& from) {
    auto messages = std::exchange(from.out.messages, {});
    for (const Envelope& envelope : messages) {
      for (const auto& to : this->daemons) {
        if (to->Ref() != envelope.to || this->paused.contains(to->Ref().vm)) {
          continue;
        }
        to->agent->OnMessage(this->now, from.Ref(), envelope.body, to->out);
      }
    }
  }
  /// Ticks, appends, reads and delivers for a while of virtual time.
  void Run(Duration span) {
    const TimePoint end = this->now + span;
    while (this->now < end) {
      this->now = this->now + std::chrono::milliseconds(50);
      for (const auto& daemon : this->daemons) {
        if (this->paused.contains(daemon->Ref().vm)) continue;
        this->Read(*daemon);
        daemon->agent->OnTick(this->now, daemon->out);
        this->AppendRecords(*daemon);
        this->Deliver(*daemon);
      }
    }
  }
  ReserveResult Reserve(TestDaemon& daemon, int64_t worst, int64_t minimum = 0,
                        Duration wait = std::chrono::seconds(1)) {
    return daemon.agent->Reserve(this->now, "org", Tokens(worst),
                                 Tokens(minimum == 0 ? worst : minimum),
                                 this->now + wait, daemon.out);
  }
  /// Reserves and runs until the reservation is decided.
  ReserveResult ReserveAndWait(TestDaemon& daemon, int64_t worst,
                               int64_t minimum = 0) {
    ReserveResult result = this->Reserve(daemon, worst, minimum);
    while (result.status == ReserveStatus::kWaiting) {
      this->Run(std::chrono::milliseconds(50));
      for (const ReserveResult& done : daemon.agent->TakeFinished()) {
        if (done.id == result.id) result = done;
      }
    }
    return result;
  }
  /// A whole call: reserve, settle, confirm.
  void Spend(TestDaemon& daemon, int64_t tokens) {
    const ReserveResult result = this->ReserveAndWait(daemon, tokens);
    daemon.agent->Settle(this->now, result.id, Tokens(tokens));
    daemon.agent->Confirm(this->now, result.id, true);
  }
  const Account& AccountAt(TestDaemon& daemon) {
    return *daemon.ledger.Find("org");
  }
  /// Records of a kind on the log, accepted or not.
  size_t CountRecords(pb::Record::KindCase kind) const {
    size_t count = 0;
    for (const auto& item : this->log) {
      count += item.second.kind_case() == kind ? 1U : 0U;
    }
    return count;
  }

  TimePoint now{1'000'000'000};
  EscrowAgentOptions options;
  std::vector<std::pair<VmRef, pb::Record>> log;
  std::vector<std::unique_ptr<TestDaemon>> daemons;
  std::map<std::string, bool> paused;
};

}  // namespace fuchsiadrum::budget
