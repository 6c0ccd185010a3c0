#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>

#include "gateway/clock.h"
#include "tests/platform/gateway_process.h"
#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {
namespace {

/// A gateway process before one upstream in each of two zones.
class ZoneEvacuationTest : public PlatformFixture {
 protected:
  /// `cold_s`: time for which the service's upstreams are cold after a start.
  void StartProcess(int cold_s = 0) {
    this->store.holds_reads = true;
    const nlohmann::json config = {
        {"version", 1},
        {"routes",
         {RouteOfKind("book", "unsafe", 2000, 1),
          RouteOfKind("look", "safe", 2000, 2),
          RouteOfKind("tell", "resumable", 5000, 2)}},
        {"services",
         {{{"name", "engine"},
           {"max_connections", 1000},
           {"cold_s", cold_s},
           {"cold_per_s", 11}}}},
        {"limits", nlohmann::json::object()}};
    this->store.Put(kTopicOperators, "config", config.dump());
    this->PutZoned("u-a", this->first.Address(), "a");
    this->PutZoned("u-b", this->second.Address(), "b");
    this->process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        .store_address = this->store.Address(),
        .bounds = "evacuate_ms = 5000\ncold_overage = 1.5\ncold_slack = 5\n"});
    ASSERT_NO_FATAL_FAILURE(this->WaitReady(this->process->ReadinessPort()));
  }
  void TearDown() override {
    this->process.reset();
    this->over = true;
    PlatformFixture::TearDown();
  }

  void PutZoned(const std::string& id, const std::string& address,
                const std::string& zone) {
    const nlohmann::json entry = {
        {"service", "engine"},   {"address", address},
        {"zone", zone},          {"slots", 8},
        {"born", 1700000000000}, {"state", "ready"},
        {"cold_left_ms", 0},     {"sequence", ++this->sequence}};
    this->store.Put(kTopicUpstreams, id, entry.dump());
  }
  void Evacuate(const std::string& zone, const std::string& value = "{}") {
    this->store.Put(kTopicOperators, "evacuate/" + zone, value);
  }
  void Lift(const std::string& zone) { this->Evacuate(zone, ""); }

  /// Answers at once, or with a stream that goes on until `may_end` is set.
  void Answer(ScriptedExchange& exchange, std::atomic<int>& sends) {
    exchange.ReadBody();
    ++sends;
    exchange.Run();
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + exchange.Id() +
                             "\r\nRunner-Signature: s1\r\n";
    if (!std::string(exchange.Request().target()).starts_with("/tell/")) {
      exchange.Write(head + "Content-Length: 2\r\n\r\nok");
      return;
    }
    exchange.Write(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; !this->over; ++event) {
      exchange.Write(Chunk(Event(event)));
      if (this->may_end) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    exchange.Write("0\r\n\r\n");
  }

  HttpAnswer Ask(const std::string& target) {
    HttpRequest request = Request(target);
    request.set("Attempt-Id", "a" + std::to_string(++this->asked));
    return this->Call(this->process->CallersPort(), request);
  }
  /// Sends `count` requests one after the other; the number of successes.
  int AskMany(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      served +=
          this->Ask(i % 2 == 0 ? "/book/x" : "/look/x").result_int() == 200 ? 1
                                                                            : 0;
    }
    return served;
  }
  std::string Metric(const std::string& name) {
    const std::string text =
        this->Call(this->process->MetricsPort(),
                   HttpRequest(http::verb::get, "/metrics", 11))
            .body();
    const std::string start = "fuchsiadrum_gateway_" + name + " ";
    const size_t at = text.find(start);
    if (at == std::string::npos) return "";
    const size_t begin = at + start.size();
    return text.substr(begin, text.find('\n', begin) - begin);
  }
  bool AwaitMetric(const std::string& name, const std::string& value) {
    const TimePoint end = Now() + std::chrono::seconds(4);
    while (Now() < end) {
      if (this->Metric(name) == value) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  std::atomic<bool> over{false};
  std::atomic<bool> may_end{false};
  std::atomic<int> first_sends{0};
  std::atomic<int> second_sends{0};
  int sequence = 0;
  int asked = 0;
  RunRecord runs;
  ScriptedUpstream first{
      runs, [this](auto& exchange) { this->Answer(exchange, first_sends); }};
  ScriptedUpstream second{
      runs, [this](auto& exchange) { this->Answer(exchange, second_sends); }};
  std::unique_ptr<GatewayProcess> process;
};

// EVAC: requests reach the zone over connections that are kept, or after it was
// taken back none does.
TEST_F(ZoneEvacuationTest, EvacuatedZone_GetsNothingUntilItIsTakenBack) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess());
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(30), 30);
  EXPECT_EQ(this->first_sends, 30);
  this->Evacuate("a");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "2"));
  this->Lift("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(60), 60);
  EXPECT_EQ(this->first_sends, 30);

  this->Lift("a");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "0"));
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(60), 60);
  EXPECT_EQ(this->first_sends, 90);
  EXPECT_EQ(this->Metric("cold_upstreams"), "0");
}

// FAILBACK: the upstreams of the zone that is taken back have cooled down, and
// get all requests at once.
TEST_F(ZoneEvacuationTest, ZoneTakenBack_IsColdUntilItsEntriesSayOtherwise) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess(30));
  this->Evacuate("a");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  const int before = this->first_sends;
  this->Lift("a");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "0"));
  EXPECT_EQ(this->Metric("cold_upstreams"), "1");
  EXPECT_EQ(this->AskMany(60), 60);
  EXPECT_EQ(this->first_sends, before)
      << "a VM that has just started has no share";

  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  this->PutZoned("u-a", this->first.Address(), "a");
  ASSERT_TRUE(this->AwaitMetric("cold_upstreams", "0"));
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(20), 20);
  EXPECT_EQ(this->first_sends, before + 20);
}

// FAILBACK: all upstreams are cold, and callers wait or get no time to come
// back.
TEST_F(ZoneEvacuationTest, ColdUpstreamsAlone_RefuseAtOnceWithRetryAfter) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess(30));
  this->Evacuate("a");
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "2"));
  this->Lift("a");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  const TimePoint begin = Now();
  const HttpAnswer refused = this->Ask("/book/x");
  EXPECT_LT(Now() - begin, std::chrono::milliseconds(500));
  EXPECT_EQ(refused.result_int(), 503U);
  const double retry_after =
      std::stod("0" + std::string(refused["Retry-After"]));
  EXPECT_GT(retry_after, 1.0);
  EXPECT_LE(retry_after, 30.0);
  EXPECT_EQ(this->first_sends + this->second_sends, 0);
  EXPECT_EQ(this->Metric("withheld_total{cause=\"cold\"}"), "1");
}

// EVAC: a stream that runs in the zone is cut off.
TEST_F(ZoneEvacuationTest, StreamInTheZone_IsCompleted) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess());
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  HttpAnswer answer;
  std::thread caller([&] { answer = this->Ask("/tell/x"); });
  while (this->first_sends == 0) std::this_thread::yield();
  this->store.PutTogether(kTopicOperators,
                          {{"evacuate/a", "{}"}, {"evacuate/b", ""}});
  EXPECT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(10), 10);
  this->may_end = true;
  caller.join();
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(this->second_sends, 10);
}

// EVAC: with no zone left, requests wait for their deadline, or are refused
// without the time to come back.
TEST_F(ZoneEvacuationTest, AllZones_RefusesAtOnceWithRetryAfter) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess());
  this->Evacuate("a");
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "2"));
  const TimePoint begin = Now();
  const HttpAnswer refused = this->Ask("/book/x");
  EXPECT_LT(Now() - begin, std::chrono::milliseconds(500));
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_GT(std::stod("0" + std::string(refused["Retry-After"])), 0.1);
  EXPECT_EQ(this->first_sends + this->second_sends, 0);
  EXPECT_EQ(this->Metric("withheld_total{cause=\"evacuated\"}"), "1");
}

// EVAC: a record with a value of another writer's evacuates nothing, an unknown
// zone or an odd key ends the process, or a configuration is lost.
TEST_F(ZoneEvacuationTest, OddRecords_InvalidateOnlyThemselves) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess());
  this->store.PutTogether(kTopicOperators,
                          {{"evacuate/", "{}"},
                           {"evacuate", "{}"},
                           {"other", "\xff\xfe"},
                           {"evacuate/nowhere", "{}"},
                           {"evacuate/nowhere", "{}"},
                           {"evacuate/short", "{}"},
                           {"evacuate/short", ""},
                           {"evacuate/never", ""},
                           {"evacuate/a", std::string(10000, '[')}});
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "2"));
  EXPECT_EQ(this->Metric("unusable_evacuations_total"), "1");
  EXPECT_EQ(this->AskMany(20), 20);
  EXPECT_EQ(this->first_sends, 0) << "the key says that the zone is evacuated";
}

// EVAC: the evacuation was lifted, or begun, in a part of the history that the
// store no longer has.
TEST_F(ZoneEvacuationTest, GapOfTheHistory_IsFilledFromTheNewestRecords) {
  for (const bool omits_deleted : {true, false}) {
    this->store.omits_deleted = omits_deleted;
    if (!this->process) {
      ASSERT_NO_FATAL_FAILURE(this->StartProcess());
    }
    this->Evacuate("a");
    ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
    this->store.refusing = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    this->Lift("a");
    this->Evacuate("nowhere");
    this->Evacuate("b");
    this->store.expired_config_reads = 1;
    EXPECT_EQ(this->Metric("evacuated_zones"), "1")
        << "the last values remain in force without the store";
    this->store.refusing = false;
    ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "2"));
    const int before = this->second_sends;
    EXPECT_EQ(this->AskMany(20), 20);
    EXPECT_EQ(this->second_sends, before);
    this->Lift("nowhere");
    this->Lift("b");
    ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "0"));
  }
}

// EVAC: after its suspension, a VM sends to the zone on what it knew before.
TEST_F(ZoneEvacuationTest, SuspendedProcess_ReadsTheEvacuationsBeforeItSends) {
  ASSERT_NO_FATAL_FAILURE(this->StartProcess());
  this->Evacuate("b");
  ASSERT_TRUE(this->AwaitMetric("evacuated_zones", "1"));
  EXPECT_EQ(this->AskMany(4), 4);
  this->process->Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  this->store.PutTogether(kTopicOperators,
                          {{"evacuate/b", ""}, {"evacuate/a", "{}"}});
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  const int before = this->first_sends;
  // The request is there when the process goes on.
  std::thread waiting([this] { this->Ask("/book/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->process->Signal(SIGCONT);
  waiting.join();
  // Until the evacuations are known, requests are refused.
  const TimePoint end = Now() + std::chrono::seconds(4);
  while (this->AskMany(1) == 0 && Now() < end) std::this_thread::yield();
  EXPECT_EQ(this->AskMany(10), 10);
  EXPECT_EQ(this->first_sends, before);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
