#include "tests/platform/planned_stop_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

class PlannedStopTest : public PlannedStopFixture {};

// LOST: in a planned stop, requests that came late in the grace time were
// passed on, and cut at its end without an answer.
TEST_F(PlannedStopTest, RequestsThroughTheGraceTime_AreAnsweredOrRefused) {
  this->StartProcess(8);
  this->WarmUp({50, 400, 1500});
  this->stop_at = Clock::now() + milliseconds(700);
  for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
    for (const int ms : {50, 400, 1500}) {
      for (const bool keeps : {true, false}) {
        this->StartSeries({.kind = kind, .answer_ms = ms}, keeps);
      }
    }
    for (const int at : {-500, 500, 1000, 1500, 2000, 2600}) {
      this->StartOnce({.kind = kind, .answer_ms = 6000, .send_at = at});
    }
    // Bodies that arrive slowly across the stop.
    for (const int end : {3300, 4500, 5700, 6300, 7200, 7400}) {
      for (const int ms : {50, 400, 1500, 6000}) {
        this->StartOnce({.kind = kind,
                         .answer_ms = ms,
                         .send_at = 2000,
                         .body_ms = end - 2000});
      }
    }
  }
  const int ended = this->Stop();
  EXPECT_LE(ended, this->grace_ms);
  this->Judge();
  // What can be answered in time still is.
  int early = 0;
  int late = 0;
  for (const TestCall& call : this->calls) {
    if (call.status != 200 || !call.is_whole || call.sent_at < 0) continue;
    ++(call.sent_at > kEarlyMs ? late : early);
  }
  EXPECT_GE(early, 300);
  EXPECT_GE(late, 36);
}

// Once the handler of the first signal was gone, a second one killed the
// process with all its requests.
TEST_F(PlannedStopTest, FurtherSignalsWhileStopping_CutNothing) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    this->StartProcess(4);
    this->stop_at = Clock::now() + milliseconds(100);
    for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
      this->StartOnce({.kind = kind, .answer_ms = 1500, .send_at = -50});
    }
    this->Stop({{200, signal}, {500, signal}});
    for (const TestCall& call : this->calls) {
      EXPECT_EQ(call.status, 200U) << signal << " " << call.id;
      EXPECT_TRUE(call.is_whole) << signal << " " << call.id;
    }
    this->calls.clear();
    this->TearDown();
    this->over = false;
    this->has_ended = false;
  }
}

// SIGHUP says that the settings may have changed; requests go on.
TEST_F(PlannedStopTest, ReloadSignal_CutsNothing) {
  this->StartProcess(3);
  for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
    for (const bool keeps : {true, false}) {
      this->StartSeries({.kind = kind, .answer_ms = 50}, keeps);
    }
  }
  for (int i = 0; i < 20; ++i) {
    std::this_thread::sleep_for(milliseconds(30));
    this->process->Signal(SIGHUP);
  }
  EXPECT_TRUE(this->IsReady(this->process->ReadinessPort()));
  this->has_ended = true;
  for (std::thread& caller : this->callers) caller.join();
  this->callers.clear();
  EXPECT_GE(this->calls.size(), 24U);
  for (const TestCall& call : this->calls) {
    EXPECT_EQ(call.status, 200U) << call.id;
    EXPECT_TRUE(call.is_whole && call.keeps_alive) << call.id;
  }
}

// DRAIN: the balancer must learn of the stop at its next check.
TEST_F(PlannedStopTest, ReadinessCheck_FailsAtOnceAfterTheSignal) {
  this->StartProcess(2);
  EXPECT_TRUE(this->IsReady(this->process->ReadinessPort()));
  this->process->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(60));
  EXPECT_FALSE(this->IsReady(this->process->ReadinessPort()));
  EXPECT_TRUE(this->process->AwaitEnd(milliseconds(2000)).has_value());
}

}  // namespace
}  // namespace fuchsiadrum::gateway
