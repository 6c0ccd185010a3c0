#pragma once

#include <future>

#include "daemon/asio.h"
#include "daemon/control.h"
#include "daemon/front_server.h"

namespace fuchsiadrum::daemon {

/// The planned stop: not ready, the balancer's lag, no new work, the streams
/// end, the core gives back what it holds. It runs in the control thread.
class PlannedStop {
 public:
  PlannedStop(const pb::StopSettings& stop_settings,
              asio::io_context& io_context, Control& control_part,
              FrontServer& front_part);

  /// Begins; a second call has no effect. Any thread.
  void Begin();
  /// Blocks until the stop has ended.
  void Wait() { this->ended.get_future().wait(); }

 private:
  void OnLagPassed();
  void WaitForStreams();
  void WaitForDrain();
  void WaitForCuts();
  void Schedule(Duration after, void (PlannedStop::*next)());
  void End();

  pb::StopSettings settings;
  asio::io_context& context;
  Control& control;
  FrontServer& front;
  asio::steady_timer timer;
  TimePoint limit;
  TimePoint streams_limit;
  bool begun = false;
  std::promise<void> ended;
};

}  // namespace fuchsiadrum::daemon
