#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_log.h"
#include "bench/fakes/fake_network.h"
#include "bench/requests_daemon.h"
#include "bench/requests_record.h"
#include "bench/requests_upstream.h"

namespace fuchsiadrum::bench::requests {

/// Options of one simulated fleet.
struct WorldOptions {
  uint64_t seed = 1;
  std::string policy;
  std::string mutate;
  /// One-way latency between zones.
  Duration zone_delay = Duration(1500);
  double loss = 0.0;
  double duplicate = 0.0;
  /// Retries that each budget starts with: a short run has too few first
  /// attempts for each class and upstream to earn one.
  int initial_retries = 0;
  /// Receives one line for each event; nullptr: none.
  std::ofstream* trace = nullptr;
};

/// Nine daemons in three zones, six upstreams and the log, with switches for
/// every fault.
class World : public DaemonHost {
 public:
  static constexpr size_t kDaemons = 9;
  static constexpr size_t kUpstreams = 6;
  static constexpr size_t kZones = 3;

  /// One VM and the daemon on it.
  struct Slot {
    VmInfo info;
    std::unique_ptr<BenchDaemon> daemon;
    bool up = false;
    bool paused = false;
    /// A planned stop is under way; the balancer sends nothing more.
    bool draining = false;
    /// What arrived while it was paused.
    std::vector<std::function<void(BenchDaemon&, TimePoint)>> inbox;
    Duration clock_offset = Duration::zero();
    /// VMs that its messages do not reach.
    std::set<std::string> cut_to;
    /// Calls of callers whose connection it holds, by request id.
    std::map<std::string, CallSpec> open;
  };
  /// Called when a caller gets an answer; nullptr: the connection broke.
  using OnCallerReply = std::function<void(
      const CallSpec&, const std::string& request_id, const Reply*)>;

  explicit World(WorldOptions options);

  void RunUntil(TimePoint end) { this->queue.RunUntil(end); }
  /// Runs `action` on a daemon with its local time: at once, after a pause, or
  /// never if that life of it has ended.
  void Post(size_t slot, uint64_t incarnation,
            std::function<void(BenchDaemon&, TimePoint)> action);
  /// A caller sends a request to a daemon; false: nobody accepts it.
  bool Call(size_t slot, const CallSpec& call, const std::string& request_id,
            Duration time_left);

  void Start(size_t slot, bool from_peer);
  void Kill(size_t slot);
  void Pause(size_t slot);
  void Resume(size_t slot);
  void Drain(size_t slot);
  /// Makes a daemon skip log records by loading a peer's state.
  void Reload(size_t slot);
  /// Index of a running daemon that has read furthest.
  size_t MostAdvanced() const;
  /// Appends a record as an operator.
  void AppendAsOperator(const pb::Record& record);

  EventQueue& Queue() { return this->queue; }
  FakeNetwork& Network() { return *this->network; }
  std::vector<Slot>& Slots() { return this->slots; }
  std::vector<FakeUpstream>& Upstreams() { return this->upstreams; }
  RunRecord& Record() override { return this->record; }
  void SetOnReply(OnCallerReply callback) {
    this->on_reply = std::move(callback);
  }
  void Note(const std::string& text) override;
  /// Step, acting peer and last events at the first violation.
  struct Scene {
    uint64_t step = 0;
    std::string peer;
    std::deque<std::string> events;
  };
  const Scene& FirstViolation() const { return this->scene; }
  std::string ZoneName(size_t index) const;

  bool log_up = true;
  Duration log_delay = std::chrono::milliseconds(5);
  /// Probability that the answer to an append is lost and it is sent twice.
  double append_answer_loss = 0.0;
  int resets = 0;
  int take_overs = 0;

 private:
  void SendPeer(const VmInfo& from, const Envelope& envelope) override;
  void SendUpstream(const VmRef& from, size_t upstream,
                    const Dispatch& dispatch) override;
  void SendReply(const VmRef& from, const CallSpec& call,
                 const Reply& reply) override;
  void SendAppend(const VmInfo& from, const std::string& batch) override;
  void Deliver(size_t to, const VmRef& from, const Envelope& envelope);
  bool MutateStore(size_t to, const VmRef& from, const Envelope& envelope);
  void Tick(size_t slot, uint64_t incarnation);
  void PollLog(size_t slot, uint64_t incarnation);
  bool IsLogReachable(const Slot& slot) const;
  size_t IndexOf(const std::string& vm) const;
  void CountRecords();
  void CountOnce(uint32_t shard, const pb::Position& term, int& counter);

  WorldOptions options;
  EventQueue queue;
  Rng rng;
  std::unique_ptr<FakeNetwork> network;
  FakeLog log;
  RunRecord record;
  std::vector<VmInfo> fleet;
  std::vector<Slot> slots;
  std::vector<FakeUpstream> upstreams;
  std::map<std::string, size_t> index;
  OnCallerReply on_reply;
  std::deque<std::string> events;
  uint64_t steps = 0;
  std::string acting;
  Scene scene;
  /// Terms whose end was counted; several daemons may propose it.
  std::set<std::pair<uint32_t, LogPosition>> ended;
};

}  // namespace fuchsiadrum::bench::requests
