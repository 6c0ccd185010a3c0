#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/budget_policy.h"

namespace fuchsiadrum::bench {

/// Bytes that a daemon caused for budgets.
struct ControlBytes {
  uint64_t messages = 0;
  uint64_t appended = 0;
};

/// Liveness from heartbeats, by the daemon's own clock.
class HeartbeatView : public PeerView {
 public:
  explicit HeartbeatView(VmInfo self) : self(std::move(self)) {}

  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint now,
                                    const VmRef& peer) const override;
  bool IsLogReachable() const override { return this->log_reachable; }

  void OnHeartbeat(TimePoint now, const VmInfo& from);
  void Refresh(TimePoint now);
  void OnLogAnswer(TimePoint now) { this->last_log_answer = now; }

 private:
  struct Heard {
    VmInfo info;
    TimePoint at;
  };

  VmInfo self;
  std::map<std::string, Heard> heard;
  std::vector<VmInfo> alive;
  TimePoint last_log_answer;
  bool log_reachable = true;
};

/// One life of a daemon: a policy with a small replica and appender.
class BudgetDaemon {
 public:
  BudgetDaemon(VmInfo self, TimePoint local_start)
      : view(std::move(self)), local_start(local_start) {}

  const VmRef& Ref() const { return this->view.Self().ref; }
  const std::string& Zone() const {
    return this->view.Self().availability_zone;
  }

  /// Folds the batch at the next offset; drops sequences seen before.
  void Fold(TimePoint now, uint64_t offset, const std::string& bytes);
  /// The next batch to append, if there is one and none is in flight. The same
  /// batch is given until it was read back.
  std::optional<std::string> BatchToAppend();
  /// The append was answered or timed out; it may be repeated.
  void OnAppendAnswer() { this->append_in_flight = false; }
  /// Takes the state of another daemon, as from a snapshot.
  void LoadState(TimePoint now, BudgetDaemon& from);

  HeartbeatView view;
  std::unique_ptr<BudgetPolicy> policy;
  Outbox out;
  ControlBytes bytes;
  uint64_t next_offset = 0;
  /// End of the log when the daemon started.
  uint64_t start_end = 0;
  bool alive = true;
  bool paused = false;
  bool draining = false;
  /// What happened to a paused daemon and is handled when it resumes.
  std::deque<std::function<void()>> deferred;
  /// Its connection for appends delivers nothing until then.
  TimePoint append_stalled_until;
  /// Local clock minus true time.
  Duration clock_offset{0};

 private:
  TimePoint local_start;
  std::map<VmRef, uint64_t> folded;
  std::vector<pb::Record> queue;
  std::string batch;
  uint64_t batch_sequence = 0;
  bool append_in_flight = false;
  bool caught_up = false;
};

}  // namespace fuchsiadrum::bench
