#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/decision_core.h"

namespace fuchsiadrum::daemon {

/// Decision core for tests: sends every request to one address and replies
/// when an attempt fails. It records what it was told.
class FakeCore : public DecisionCore {
 public:
  std::string address;
  bool keep_answer = false;
  Tokens max_output;
  /// Called with each attempt event, instead of the plain reply.
  std::function<void(const node::AttemptEvent&, node::NodeActions&)> on_event;
  bool drained = true;

  uint64_t NextLogOffset() const override {
    const std::lock_guard lock(this->mutex);
    return this->offset;
  }
  void OnLogBatches(TimePoint /*now*/, uint64_t from,
                    const std::vector<std::string>& batches,
                    node::NodeActions& /*out*/) override {
    this->Note("batches " + std::to_string(from) + " " +
               std::to_string(batches.size()) + " " + batches.front());
    const std::lock_guard lock(this->mutex);
    this->offset = from + batches.size();
  }
  void OnLogBounds(TimePoint /*now*/, uint64_t first, uint64_t end,
                   node::NodeActions& /*out*/) override {
    this->Note("bounds " + std::to_string(first) + " " + std::to_string(end));
    const std::lock_guard lock(this->mutex);
    if (this->offset < first) this->offset = first;
  }
  void OnLogUnreachable(TimePoint /*now*/,
                        node::NodeActions& /*out*/) override {
    this->Note("unreachable");
  }
  void OnAppendAnswer(TimePoint /*now*/, bool stored,
                      node::NodeActions& /*out*/) override {
    this->Note(stored ? "stored" : "not stored");
  }
  void OnVmList(TimePoint /*now*/, const std::vector<node::ListedVm>& vms,
                node::NodeActions& /*out*/) override {
    this->Note("vms " + std::to_string(vms.size()));
  }
  void OnPeerMessage(TimePoint /*now*/, const VmRef& /*from*/,
                     const pb::PeerMessage& /*message*/,
                     node::NodeActions& /*out*/) override {}
  void OnTick(TimePoint /*now*/, node::NodeActions& out) override {
    const std::lock_guard lock(this->mutex);
    if (this->appends.empty()) return;
    out.append = this->appends.front();
    this->appends.pop_front();
  }
  void OnRequest(TimePoint /*now*/, const node::RequestStart& request,
                 node::NodeActions& out) override {
    this->Note("request " + request.model + request.service);
    node::RequestAction action;
    action.kind = node::RequestActionKind::kDispatch;
    action.handle = request.handle;
    action.attempt = 1;
    action.address = this->address;
    action.keep_answer = this->keep_answer;
    action.max_output = this->max_output;
    out.requests.push_back(action);
  }
  void OnAttempt(TimePoint /*now*/, const node::AttemptEvent& event,
                 node::NodeActions& out) override {
    {
      const std::lock_guard lock(this->mutex);
      this->events.push_back(event);
    }
    this->changed.notify_all();
    if (this->on_event) return this->on_event(event, out);
    using Kind = node::AttemptEventKind;
    if (event.kind == Kind::kFirstToken || event.kind == Kind::kCompleted) {
      return;
    }
    node::RequestAction action;
    action.kind = event.kind == Kind::kCallerGone
                      ? node::RequestActionKind::kCancel
                      : node::RequestActionKind::kReply;
    action.handle = event.handle;
    action.attempt = event.attempt;
    const bool not_run =
        event.kind == Kind::kNotSent || event.kind == Kind::kRejected;
    action.status = not_run ? 503 : 502;
    action.outcome = not_run ? node::Outcome::kNotRun : node::Outcome::kUnknown;
    action.step = "attempt";
    action.reason = "test";
    action.retry_after_s = 2;
    out.requests.push_back(action);
  }
  std::vector<node::UpstreamAddress> UpstreamsToPoll() const override {
    if (this->address.empty()) return {};
    return {{"upstream", this->address}};
  }
  void OnUpstreamReport(TimePoint /*now*/, const node::UpstreamReport& report,
                        node::NodeActions& /*out*/) override {
    if (report.reachable) {
      this->Note("load " + std::to_string(report.running) + " " +
                 std::to_string(report.cached_prefixes.size()));
    }
    if (report.leaving) this->Note("leaving");
  }
  node::Node::AdminAnswer OnAdmin(TimePoint /*now*/, const std::string& method,
                                  const std::string& target,
                                  const std::string& /*body*/,
                                  node::NodeActions& /*out*/) override {
    return {200, "{\"call\":\"" + method + " " + target + "\"}"};
  }
  std::string ReadyReason(TimePoint /*now*/) const override { return ""; }
  std::string Metrics(TimePoint /*now*/) const override {
    return "fuchsiadrum_fake 1\n";
  }
  void BeginDrain(TimePoint /*now*/, node::NodeActions& /*out*/) override {
    this->Note("drain");
  }
  bool IsDrained() const override { return this->drained; }

  /// Appends this batch at the next tick.
  void Append(std::string batch) {
    const std::lock_guard lock(this->mutex);
    this->appends.push_back(std::move(batch));
  }
  /// Waits until an event of this kind was told; false after 10 s.
  bool WaitFor(node::AttemptEventKind kind, node::AttemptEvent* event) {
    return this->Wait([&] {
      for (const node::AttemptEvent& told : this->events) {
        if (told.kind != kind) continue;
        *event = told;
        return true;
      }
      return false;
    });
  }
  /// Waits until this note was taken; false after 10 s.
  bool WaitFor(const std::string& note) {
    return this->Wait([&] {
      for (const std::string& taken : this->notes) {
        if (taken == note) return true;
      }
      return false;
    });
  }
  /// True if this note was taken.
  bool HasNote(const std::string& note) const {
    const std::lock_guard lock(this->mutex);
    return std::ranges::find(this->notes, note) != this->notes.end();
  }

 private:
  void Note(std::string note) {
    {
      const std::lock_guard lock(this->mutex);
      this->notes.push_back(std::move(note));
    }
    this->changed.notify_all();
  }
  bool Wait(const std::function<bool()>& condition) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::seconds(10), condition);
  }

  mutable std::mutex mutex;
  std::condition_variable changed;
  uint64_t offset = 0;
  std::deque<std::string> appends;
  std::vector<node::AttemptEvent> events;
  std::vector<std::string> notes;
};

}  // namespace fuchsiadrum::daemon
