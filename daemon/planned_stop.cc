#include "daemon/planned_stop.h"

#include <string>

#include "daemon/clock.h"
#include "daemon/logging.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(10);
// Streams may use four fifths of the drain limit; the rest is for the core,
// whose grants and shards otherwise have to be sealed by witnesses.
constexpr int kStreamsShare = 4;
constexpr int kAllShares = 5;
// Time for the error events of streams that are cut at the drain limit.
constexpr Duration kCutTime = std::chrono::milliseconds(500);

}  // namespace

PlannedStop::PlannedStop(const pb::StopSettings& stop_settings,
                         asio::io_context& io_context, Control& control_part,
                         FrontServer& front_part)
    : settings(stop_settings),
      context(io_context),
      control(control_part),
      front(front_part),
      timer(io_context) {}

void PlannedStop::Begin() {
  asio::post(this->context, [this] {
    if (this->begun) return;
    this->begun = true;
    LogLine("info", "stop: planned stop begins");
    this->control.SetNotReady("stopping");
    this->Schedule(std::chrono::milliseconds(this->settings.balancer_lag_ms()),
                   &PlannedStop::OnLagPassed);
  });
}

void PlannedStop::OnLagPassed() {
  const Duration drain =
      std::chrono::milliseconds(this->settings.drain_limit_ms());
  this->limit = Now() + drain;
  this->streams_limit = Now() + drain * kStreamsShare / kAllShares;
  this->front.StopNewWork();
  this->WaitForStreams();
}

void PlannedStop::WaitForStreams() {
  const size_t open = this->front.InFlight();
  if (open > 0 && Now() < this->streams_limit) {
    return this->Schedule(kCheckInterval, &PlannedStop::WaitForStreams);
  }
  if (open > 0) {
    LogLine("warning", "stop: " + std::to_string(open) +
                           " requests are open at the drain limit");
  }
  this->control.BeginDrain();
  this->WaitForDrain();
}

void PlannedStop::WaitForDrain() {
  const bool drained = this->control.IsDrained() && this->front.InFlight() == 0;
  if (!drained && Now() < this->limit) {
    return this->Schedule(kCheckInterval, &PlannedStop::WaitForDrain);
  }
  LogLine(drained ? "info" : "warning",
          drained ? "stop: drained" : "stop: not drained at the drain limit");
  if (drained) return this->End();
  this->front.CutAll();
  this->limit = Now() + kCutTime;
  this->WaitForCuts();
}

void PlannedStop::WaitForCuts() {
  if (this->front.InFlight() == 0 || Now() >= this->limit) return this->End();
  this->Schedule(kCheckInterval, &PlannedStop::WaitForCuts);
}

void PlannedStop::Schedule(Duration after, void (PlannedStop::*next)()) {
  this->timer.expires_after(after);
  this->timer.async_wait([this, next](ErrorCode error) {
    if (!error) (this->*next)();
  });
}

void PlannedStop::End() { this->ended.set_value(); }

}  // namespace fuchsiadrum::daemon
