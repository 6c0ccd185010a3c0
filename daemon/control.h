#pragma once

#include <atomic>
#include <functional>
#include <unordered_map>

#include "daemon/decision_core.h"
#include "daemon/rings.h"

namespace fuchsiadrum::daemon {

/// The control thread's part: feeds the decision core with everything that
/// happens and carries out what it orders. Everything but LastTick runs in
/// the control thread.
class Control {
 public:
  Control(DecisionCore& decision_core, Duration load_poll_interval,
          asio::io_context& io_context, Rings& daemon_rings);

  /// Starts the ticks and the reading of the log.
  void Start();
  /// Starts the core's planned stop.
  void BeginDrain();
  /// Another cause that makes the daemon not ready, checked before the core's;
  /// empty: none.
  void SetNotReady(std::string reason) { this->not_ready = std::move(reason); }
  bool IsDrained() const { return this->core.IsDrained(); }

  /// Moment of the last tick; shows that the thread is alive. Any thread.
  TimePoint LastTick() const { return {this->last_tick_us}; }

 private:
  void OnFront(FromFront& item);
  void OnAdmin(FromAdmin& item);
  void OnUpstream(const FromUpstream& item);
  void OnPeers(const PeerArrival& arrival);
  void OnLog(const FromLog& item);
  void OnRequest(const CallerRequestPtr& request);
  void OnCallerGone(node::RequestHandle handle);
  void Complete(const node::AttemptEvent& event);
  void OnLogRead(const LogRead& read, node::NodeActions& actions);
  void Answer(const AdminCall& call);
  void OnTick();
  void Perform(node::NodeActions& actions);
  void Perform(node::RequestAction action);
  void UpdatePressure();

  DecisionCore& core;
  Duration poll_interval;
  Rings& rings;
  asio::steady_timer timer;
  RingSender<ToFront> to_front;
  RingSender<ToUpstream> to_upstream;
  RingSender<ToPeers> to_peers;
  RingSender<ToLog> to_log;
  std::unordered_map<node::RequestHandle, CallerRequestPtr> requests;
  std::string not_ready;
  TimePoint last_poll;
  /// Counts from the construction: requests may arrive before the first tick.
  std::atomic<int64_t> last_tick_us;
};

}  // namespace fuchsiadrum::daemon
