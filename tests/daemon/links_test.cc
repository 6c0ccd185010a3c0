
#include <atomic>

#include "daemon/clock.h"
#include "daemon/peer_links.h"
#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

class LinksTest : public DaemonFixture {
 protected:
  static std::string Json(const std::string& body, int status = 200) {
    return HttpResponse{.status = status, .body = body}.ToText();
  }
};

// Guards against batches that are skipped, and against a start below the
// log's first record.
TEST_F(LinksTest, Platform_ReadsAppendsAndListsVms) {
  ScriptedServer platform([](const std::string& request, Tcp::socket& socket) {
    if (request.starts_with("GET /v1/vms")) {
      return Put(socket, Json(R"({"vms":[{"name":"a1"},{"name":"b1"}]})"));
    }
    if (request.starts_with("POST /v1/streams/test/records")) {
      const bool whole = request.ends_with("\r\n\r\nbatch");
      return Put(socket, Json(R"({"offset":5})", whole ? 200 : 400));
    }
    if (request.find("?from=0&") != std::string::npos) {
      return Put(socket, Json(R"({"first":4,"end":6})", 410));
    }
    if (request.find("?from=4&") != std::string::npos) {
      return Put(
          socket,
          Json(R"({"first":4,"end":6,"from":4,"records":["YQ==","Yg=="]})"));
    }
    // The third read is broken off, which must not be taken for an answer.
    return false;
  });
  this->settings.mutable_platform()->set_log(platform.Address());
  this->StartDaemon();
  EXPECT_TRUE(this->core->WaitFor("bounds 4 6"));
  EXPECT_TRUE(this->core->WaitFor("batches 4 2 a"));
  EXPECT_TRUE(this->core->WaitFor("unreachable"));
  EXPECT_TRUE(this->core->WaitFor("vms 2"));
  this->core->Append("batch");
  EXPECT_TRUE(this->core->WaitFor("stored"));
  this->daemon.reset();
}

// Guards against an append without an answer being taken for stored.
TEST_F(LinksTest, Platform_Down_IsToldToTheCore) {
  this->core->Append("batch");
  this->StartDaemon();
  EXPECT_TRUE(this->core->WaitFor("unreachable"));
  EXPECT_TRUE(this->core->WaitFor("not stored"));
}

// Guards against load reports that do not reach the core.
TEST_F(LinksTest, Upstream_LoadPoll_IsToldToTheCore) {
  this->settings.mutable_upstream()->set_load_poll_ms(20);
  this->Start([](const std::string&, Tcp::socket&) { return false; });
  EXPECT_TRUE(this->core->WaitFor("load 5 0"));
}

/// One end of the peers' links, with the consumer in the same thread.
struct PeerEnd {
  PeerEnd(const std::string& name, const std::string& listen,
          const std::string& peer, const std::string& peer_address,
          DaemonMetrics& metrics)
      : orders(context, 100, metrics.AddRing(name + "-orders")),
        arrivals(context, 100, metrics.AddRing(name + "-arrivals")),
        links({.self = {name, 1},
               .fleet_key = std::string(32, 'k'),
               .listen = listen,
               .peers = {*settings::PeerAddress::Parse(peer + "@z@" +
                                                       peer_address)},
               .redial_after = std::chrono::milliseconds(300)},
              context, orders, arrivals, metrics) {}

  void Send(const std::string& to) {
    ToPeers envelopes(1);
    envelopes[0].to = {to, 0};
    envelopes[0].body.mutable_heartbeat()->set_log_offset(1);
    this->orders.TryPush(envelopes);
  }

  asio::io_context context;
  Ring<ToPeers> orders;
  Ring<PeerArrival> arrivals;
  PeerLinks links;
};

// A free port of loopback.
std::string FreeAddress() {
  asio::io_context context;
  const Tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against links that do not come back after the peer's restart.
TEST_F(LinksTest, Peers_RestartedPeer_IsHeardAgain) {
  DaemonMetrics metrics;
  const std::string a_address = FreeAddress();
  const std::string b_address = FreeAddress();
  PeerEnd a("a", a_address, "b", b_address, metrics);
  ASSERT_EQ(a.links.Open(), "");

  const auto hear = [&](PeerEnd& b) {
    std::atomic<int> heard{0};
    b.arrivals.SetHandler([&](const PeerArrival& arrival) {
      EXPECT_EQ(arrival.from.vm, "a");
      heard += static_cast<int>(arrival.messages.size());
    });
    ASSERT_EQ(b.links.Open(), "");
    const auto deadline = Now() + std::chrono::seconds(10);
    while (heard == 0 && Now() < deadline) {
      a.Send("b");
      a.context.run_for(std::chrono::milliseconds(5));
      b.context.run_for(std::chrono::milliseconds(5));
    }
    EXPECT_GT(heard, 0);
  };
  {
    PeerEnd b("b", b_address, "a", a_address, metrics);
    hear(b);
  }
  // Until its new life, b is silent and dialled anew.
  const auto deadline = Now() + std::chrono::seconds(10);
  while (metrics.Counter("peer_redials_total", "b") == 0 && Now() < deadline) {
    a.context.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_GT(metrics.Counter("peer_redials_total", "b"), 0U);
  PeerEnd b("b", b_address, "a", a_address, metrics);
  hear(b);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
