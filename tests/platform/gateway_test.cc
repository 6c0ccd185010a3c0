#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>

#include "daemon/clock.h"
#include "schema/fleet.pb.h"
#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

class GatewayTest : public PlatformFixture {};

TEST_F(GatewayTest, UnsafeRequest_IsForwardedUnchangedAndOnce) {
  std::atomic<int> runs{0};
  HttpRequest seen;
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    ++runs;
    seen = request;
    HttpAnswer answer = Signed(request);
    answer.body() = "booked";
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  const HttpAnswer answer = this->Call(Request("/book/robes?n=40"));
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(answer.body(), "booked");
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(seen.target(), "/book/robes?n=40");
  EXPECT_EQ(seen.body(), "hello");
  EXPECT_EQ(seen["Tenant"], "parish");
  EXPECT_EQ(seen["Expect-Runner"], "u1");
  EXPECT_EQ(seen.count("Key"), 0U);
}

TEST_F(GatewayTest, UnsafeRequest_WithLostAnswer_IsNotRepeated) {
  std::atomic<int> runs{0};
  LoopbackServer upstream([&](const HttpRequest&, auto&) {
    ++runs;
    return std::optional<HttpAnswer>();
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 502U);
  EXPECT_EQ(runs, 1);
}

TEST_F(GatewayTest, BrokenStream_ResumesAtAnotherUpstream) {
  std::mutex mutex;
  std::vector<std::string> resumed_after;
  const auto serve = [&](const HttpRequest& request, Tcp::socket& socket) {
    const std::string last(request["Last-Event-Id"]);
    {
      const std::lock_guard lock(mutex);
      resumed_after.push_back(last);
    }
    const int begin = last.empty() ? 1 : std::stoi(last) + 1;
    const int end = last.empty() ? 2 : 4;
    std::string text =
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nRunner-Signature: s1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    for (int id = begin; id <= end; ++id) {
      text += "f\r\n" + Event(id) + "\r\n";
    }
    // The first run ends in the middle of an event.
    text += last.empty() ? "f\r\nid: 3\nda" : "0\r\n\r\n";
    asio::write(socket, asio::buffer(text));
    return std::optional<HttpAnswer>();
  };
  LoopbackServer first(serve);
  LoopbackServer second(serve);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", first);
  this->PutUpstream("u2", second);
  this->StartGateway();

  const HttpAnswer answer = this->Call(Request("/draft/x", "100,50"));
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(answer.body(), Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_EQ(resumed_after, (std::vector<std::string>{"", "2"}));
}

TEST_F(GatewayTest, ExhaustedBudget_IsRefusedWith402_UntilTopUp) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 250);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  EXPECT_EQ(this->Call(Request("/draft/x", "100,50")).result_int(), 200U);
  EXPECT_EQ(this->Call(Request("/draft/x", "190,50")).result_int(), 402U);
  this->PutConfig(2, 1000);
  unsigned int status = 0;
  for (int i = 0; i < 100 && status != 200; ++i) {
    status = this->Call(Request("/draft/x", "190,50")).result_int();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(status, 200U);
}

// Guards against an overloaded network link: when all callers of an
// organisation reached one VM, its link of 10 Mbit/s carried ever fewer useful
// answers.
TEST_F(GatewayTest, SaturatedLink_CallersAreSentToOtherVms) {
  constexpr double kLinkMbps = 0.05;
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    HttpAnswer answer = Signed(request);
    answer.body() = std::string(5000, 'x');
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway(kLinkMbps);

  HttpAnswer last;
  for (int i = 0; i < 10; ++i) {
    last = this->Call(Request("/book/robes"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(last.result_int(), 503U);
  EXPECT_LT(std::stod(std::string(last["Retry-After"])), 0.2);
  EXPECT_FALSE(last.keep_alive());
  // While callers keep coming, the VM leaves the rotation within 2 s and some
  // time in which the average follows.
  bool was_ready = true;
  for (int i = 0; i < 40 && was_ready; ++i) {
    this->Call(Request("/book/robes"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    was_ready = this->IsReady(this->gateway->ReadinessPort());
  }
  EXPECT_FALSE(was_ready);
}

// Guards against a useless wait: while all gateways were cut off from the
// store, a request waited 300 ms for a grant that could not arrive.
TEST_F(GatewayTest, MissingTokens_WhileTheStoreIsSilent_AreRefusedAtOnce) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  this->store.append_ms = 5000;
  EXPECT_EQ(this->Call(Request("/draft/x", "9000,50")).result_int(), 503U);
  std::this_thread::sleep_for(std::chrono::milliseconds(400));

  const auto begin = std::chrono::steady_clock::now();
  const HttpAnswer answer = this->Call(Request("/draft/x", "9000,50"));
  const auto took = std::chrono::steady_clock::now() - begin;
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_LT(std::stod(std::string(answer["Retry-After"])), 0.2);
  EXPECT_LT(took, std::chrono::milliseconds(150));
}

// Guards against a request that was sent after its grant had arrived although
// the caller was already known to have left (found by reading the code).
TEST_F(GatewayTest, CallerThatLeavesDuringWaitForGrant_CausesNoRun) {
  std::atomic<int> runs{0};
  LoopbackServer upstream([&](const HttpRequest& request, Tcp::socket& socket) {
    ++runs;
    return AnswerOneEvent(request, socket);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  // Leaves an idle connection to the upstream, which the second request takes
  // without a wait.
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 200U);

  this->store.append_ms = 150;
  this->CallAndDisconnect(Request("/draft/x", "100,50"));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_EQ(runs, 1);
}

TEST_F(GatewayTest, RejectedRequest_WithoutAnotherUpstream_IsRefusedAsNotRun) {
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    HttpAnswer answer(http::status::service_unavailable, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    answer.set("Not-Executed", "1");
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  const HttpAnswer answer = this->Call(Request("/book/robes"));
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_FALSE(answer["Retry-After"].empty());
}

TEST_F(GatewayTest, UnknownKeyAndRoute_AreRefused) {
  LoopbackServer upstream(
      [&](const HttpRequest& request, auto&) { return Signed(request); });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  HttpRequest foreign = Request("/book/robes");
  foreign.set("Key", "k9");
  EXPECT_EQ(this->Call(foreign).result_int(), 401U);
  EXPECT_EQ(this->Call(Request("/nowhere/")).result_int(), 404U);
}

// A key that is missing in a configuration of unknown age may have been added
// since.
TEST_F(GatewayTest, UnknownKey_WhileTheStoreRefuses_GetsNo401) {
  LoopbackServer upstream(
      [&](const HttpRequest& request, auto&) { return Signed(request); });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  this->store.refusing = true;

  HttpRequest foreign = Request("/book/robes");
  foreign.set("Key", "k9");
  unsigned int status = 401;
  for (int i = 0; i < 40 && status == 401; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    status = this->Call(foreign).result_int();
  }
  EXPECT_EQ(status, 503U);
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 200U);
}

TEST_F(GatewayTest, SuccessWithoutSignature_IsNotForwarded) {
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    HttpAnswer answer(http::status::ok, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    answer.body() = "forged";
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 502U);
}

// Guards against refusals during a rolling stop: the load balancer still sent
// 106 requests to VMs that were stopping, and they were refused because those
// VMs had already returned their tokens.
TEST_F(GatewayTest, StoppingGateway_ServesNewRequests) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  ASSERT_EQ(this->Call(Request("/draft/x", "100,10")).result_int(), 200U);

  ASSERT_EQ(::raise(SIGTERM), 0);
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(this->Call(Request("/draft/x", "100,10")).result_int(), 200U);
  }
}

// The store executes the write of a grant but its answer is lost. A grant that
// is counted twice would block its tokens for good; one that is not counted
// could be granted again.
TEST_F(GatewayTest, GrantWithLostAnswer_CountsOnce) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->store.lost_account_answers = 1;
  this->StartGateway();

  EXPECT_EQ(this->Call(Request("/draft/x", "1000,10")).result_int(), 200U);
  EXPECT_EQ(this->store.lost_account_answers, 0);
  pb::FleetRecord book;
  ASSERT_TRUE(book.ParseFromString(
      this->store.Newest("keyed.fuchsiadrum-accounts", "book")));
  ASSERT_EQ(book.book().accounts_size(), 1);
  pb::FleetRecord grant;
  ASSERT_TRUE(grant.ParseFromString(this->store.Newest(
      "keyed.fuchsiadrum-accounts",
      "grant/parish/vm-1/" + std::to_string(daemon::StartIncarnation()))));
  EXPECT_GT(grant.grant().granted_tokens(), 0);
  EXPECT_EQ(book.book().accounts(0).granted_tokens(),
            grant.grant().granted_tokens());
}

// BUDGET: an answer of the store that belongs to an earlier append must not
// count as the record of a grant, which others could then grant again.
TEST_F(GatewayTest, GrantWithAnswerOfAnEarlierAppend_IsNotSpent) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  ASSERT_EQ(this->Call(Request("/draft/x", "1000,10")).result_int(), 200U);

  this->store.repeated_account_answers = 1;
  EXPECT_EQ(this->Call(Request("/draft/x", "30000,10")).result_int(), 200U);
  EXPECT_EQ(this->store.repeated_account_answers, 0);
  pb::FleetRecord book;
  ASSERT_TRUE(book.ParseFromString(
      this->store.Newest("keyed.fuchsiadrum-accounts", "book")));
  EXPECT_GE(book.book().accounts(0).granted_tokens(), 31000);
}

// BUDGET: a rejection that belongs to an earlier append, when the partition was
// shorter, must not count as the outcome of a grant that was recorded: its
// tokens would be counted twice, and no other gateway could use them.
TEST_F(GatewayTest, GrantWithRejectionOfAnEarlierAppend_IsCountedOnce) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  ASSERT_EQ(this->Call(Request("/draft/x", "1000,10")).result_int(), 200U);

  this->store.earlier_account_mismatches = 1;
  EXPECT_EQ(this->Call(Request("/draft/x", "30000,10")).result_int(), 200U);
  EXPECT_EQ(this->store.earlier_account_mismatches, 0);
  pb::FleetRecord book;
  ASSERT_TRUE(book.ParseFromString(
      this->store.Newest("keyed.fuchsiadrum-accounts", "book")));
  pb::FleetRecord grant;
  ASSERT_TRUE(grant.ParseFromString(this->store.Newest(
      "keyed.fuchsiadrum-accounts",
      "grant/parish/vm-1/" + std::to_string(daemon::StartIncarnation()))));
  EXPECT_EQ(book.book().accounts(0).granted_tokens(),
            grant.grant().granted_tokens());
  // The store must not have got a sequence number a second time either: it
  // would answer with the offset of the first append for ever.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_EQ(this->Call(Request("/draft/x", "40000,10")).result_int(), 200U);
}

// A record of another writer at the end of the accounts must not keep the
// gateways from granting tokens.
TEST_F(GatewayTest, GrantAfterARecordOfAnotherWriter_IsWritten) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  ASSERT_EQ(this->Call(Request("/draft/x", "1000,10")).result_int(), 200U);

  this->store.PutToAll("keyed.fuchsiadrum-accounts", "note", "not ours");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_EQ(this->Call(Request("/draft/x", "30000,10")).result_int(), 200U);
}

// Guards against a configuration that is never read: 195 gateways read one with
// 1,320 routes at the same time, and each answer took longer than the timeout
// of a call. An answer that keeps arriving must be read to its end, because
// starting over would never finish.
TEST_F(GatewayTest, LargeConfiguration_ThatArrivesSlowly_IsApplied) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->store.config_read_parts = 15;
  this->StartGateway();

  EXPECT_EQ(this->store.config_reads, 1);
  this->store.config_read_parts = 0;
  EXPECT_EQ(this->Call(Request("/draft/x", "100,10")).result_int(), 200U);
}

TEST_F(GatewayTest, AmbiguousFraming_IsRefused) {
  this->PutConfig(1, 100000);
  this->StartGateway();
  HttpRequest request = Request("/book/robes");
  request.insert("Transfer-Encoding", "chunked");

  EXPECT_EQ(this->Call(request).result_int(), 400U);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
