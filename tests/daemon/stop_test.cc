#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

class StopTest : public DaemonFixture {
 protected:
  bool IsStopping() {
    RawClient client(this->daemon->AdminAddress().port);
    client.Write(
        RequestText("GET", "/readyz", "t", {{"Connection", "close"}}, ""));
    return client.ReadAll().ends_with("stopping\n");
  }
};

// Guards against a planned stop that interrupts a stream.
TEST_F(StopTest, BeginStop_WithOpenStream_LetsItEnd) {
  std::promise<void> go_on;
  this->Start([&](const std::string&, Tcp::socket& socket) {
    Put(socket, StreamHead() + TokenEvent("a"));
    go_on.get_future().wait();
    return Put(socket, TokenEvent("b") + UsageEvent() + EndOfStream());
  });
  RawClient client(this->Port());
  client.Write(this->ChatText(true));
  client.ReadUntil("\"content\":\"a\"");
  RawClient idle(this->Port());
  idle.Write(RequestText("GET", "/etc", "t", {}, ""));
  idle.ReadUntil("}");

  this->daemon->BeginStop();
  while (!this->IsStopping()) std::this_thread::yield();
  // A connection that is still open gets no new work, and says so.
  std::string refusal;
  while (refusal.find("stopping") == std::string::npos) {
    idle.Write(RequestText("GET", "/etc", "t", {}, ""));
    refusal = idle.ReadUntil("}");
  }
  EXPECT_NE(refusal.find("X-Outcome: not-run\r\n"), std::string::npos);

  go_on.set_value();
  EXPECT_TRUE(client.ReadAll().ends_with("X-Outcome: complete\r\n\r\n"));
  this->daemon->WaitStopped();
  EXPECT_TRUE(this->core->WaitFor("drain"));
}

// Guards against a stop that waits for ever, and against a silent cut.
TEST_F(StopTest, BeginStop_StreamBeyondDrainLimit_EndsWithError) {
  this->settings.mutable_stop()->set_drain_limit_ms(100);
  this->Start([&](const std::string&, Tcp::socket& socket) {
    return Put(socket, StreamHead() + TokenEvent("a"));
  });
  RawClient client(this->Port());
  client.Write(this->ChatText(true));
  client.ReadUntil("\"content\":\"a\"");
  this->daemon->BeginStop();
  this->daemon->WaitStopped();
  EXPECT_NE(client.ReadAll().find("event: error\n"), std::string::npos);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
