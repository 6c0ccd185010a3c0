#include "daemon/clock.h"
#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

class PressureTest : public DaemonFixture {};

// Guards against a full ring that blocks, or that loses a request.
TEST_F(PressureTest, Front_RingFull_IsRefusedAsNotRun) {
  IoThread thread("front");
  asio::io_context control;
  Ring<FromFront> ring(control, 0, std::make_shared<RingCounters>());
  DaemonMetrics metrics;
  FrontServer front({.settings = this->settings.front(), .self = {.vm = "a1"}},
                    thread.Context(), ring, metrics);
  ASSERT_EQ(front.Open(), "");
  thread.Start();

  RawClient client(front.Address().port);
  client.Write(this->ChatText(false));
  const std::string answer = client.ReadAll();
  thread.Stop();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("X-Outcome: not-run\r\n"), std::string::npos);
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(metrics.Counter("refused_total", "ring-full"), 1U);
  EXPECT_EQ(front.InFlight(), 0U);
}

// Guards against orders that are lost when a thread falls behind, and against
// control taking new requests meanwhile.
TEST_F(PressureTest, Control_UpstreamBehind_StopsTakingAndLosesNothing) {
  asio::io_context control_context;
  asio::io_context upstream_context;
  asio::io_context other;
  const auto control_work = asio::make_work_guard(control_context);
  const auto upstream_work = asio::make_work_guard(upstream_context);
  DaemonMetrics metrics;
  Rings rings({.front = other,
               .control = control_context,
               .upstream = upstream_context,
               .peers = other,
               .log = other,
               .admin = other},
              metrics, 2);
  Control control(*this->core, std::chrono::hours(1), control_context, rings);
  int dispatched = 0;
  rings.to_upstream.SetHandler([&](ToUpstream& order) {
    if (std::holds_alternative<DispatchOrder>(order)) ++dispatched;
  });

  // Nobody takes the orders, so the front's ring has to fill.
  int accepted = 0;
  bool refused = false;
  while (!refused && accepted < 100) {
    const auto request = std::make_shared<CallerRequest>(100);
    request->start.handle = static_cast<node::RequestHandle>(accepted) + 1;
    FromFront item = CallerArrived{request};
    refused = !rings.from_front.TryPush(item);
    if (!refused) ++accepted;
    control_context.poll();
  }
  EXPECT_TRUE(refused);

  // Once they are taken, every accepted request is dispatched.
  const auto deadline = Now() + std::chrono::seconds(10);
  while (dispatched < accepted && Now() < deadline) {
    upstream_context.run_for(std::chrono::milliseconds(1));
    control_context.run_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(dispatched, accepted);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
