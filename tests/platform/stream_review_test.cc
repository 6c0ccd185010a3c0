// Found by the review of incident 34.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemon/clock.h"
#include "schema/fleet.pb.h"
#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {
namespace {

using Script = ScriptedUpstream::Script;

/// A gateway before two upstreams with the same script, and requests that may
/// run once: streams that may not be resumed (/ask/) and bookings (/book/).
class StreamReviewTest : public PlatformFixture {
 protected:
  /// What a caller got for one request.
  struct Received {
    unsigned int status = 0;
    /// True if the answer arrived whole.
    bool is_whole = false;
    std::string body;
  };

  static std::string Named(const std::string& id) {
    return id.empty() ? "" : "Attempt-Id: " + id + "\r\n";
  }
  static std::string Refusal(const std::string& id) {
    return "HTTP/1.1 503 Full\r\n" + Named(id) +
           "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string Stream(const std::string& id) {
    const std::string body = Event(1) + Event(2);
    return "HTTP/1.1 200 OK\r\n" + Named(id) +
           "Runner-Signature: s1\r\nContent-Type: text/event-stream\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static nlohmann::json Route(const std::string& name,
                              const std::string& kind) {
    return {{"name", name},
            {"host", "choir.example"},
            {"path_prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout_ms", 1200},
            {"service", "engine"},
            {"max_attempts", 1},
            {"resumable", false}};
  }
  void Start(const Script& script) {
    const nlohmann::json config = {
        {"version", 1},
        {"routes", {Route("ask", "streaming"), Route("book", "unsafe")}},
        {"services", {{{"name", "engine"}, {"max_connections", 100}}}},
        {"limits", nlohmann::json::object()},
        {"tenants",
         {{{"name", "parish"}, {"api_keys", {"k1"}}, {"prepaid", 1000000}}}}};
    this->store.Put(kTopicOperators, "config", config.dump());
    for (const char* id : {"u1", "u2"}) {
      this->upstreams.push_back(
          std::make_unique<ScriptedUpstream>(this->runs, script));
      this->PutEntry(id, this->upstreams.back()->Address(), 8);
    }
    this->StartGateway();
  }
  void TearDown() override {
    PlatformFixture::TearDown();
    this->upstreams.clear();
  }

  /// Head of a request, without its framing.
  static std::string HeadOf(const std::string& path, const std::string& id) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: choir.example\r\nDeadline-Ms: 900\r\n"
           "Key: k1\r\nToken-Counts: 100,50\r\n" +
           Named(id);
  }
  Received Send(const std::string& text) {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(
        {asio::ip::address_v4::loopback(), this->gateway->CallersPort()},
        error);
    asio::write(socket, asio::buffer(text), error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read(socket, buffer, parser, error);
    return {.status = parser.is_header_done() ? parser.get().result_int() : 0,
            .is_whole = !error,
            .body = parser.get().body()};
  }
  Received Ask(const std::string& path, const std::string& id) {
    return this->Send(HeadOf(path, id) + "Content-Length: 5\r\n\r\nhello");
  }
  /// Sends requests of both kinds and expects that none runs twice and that
  /// each promise is true.
  void ExpectPromisesAreTrue(const Script& script) {
    this->Start(script);
    for (const char* path : {"/ask/x", "/book/x"}) {
      for (int i = 0; i < 4; ++i) {
        const std::string id =
            std::string(path).substr(1, 3) + "-" + std::to_string(i);
        const Received got = this->Ask(path, id);
        const int ran = this->runs.Of(id);
        EXPECT_LE(ran, 1) << id << ": TWICE";
        const bool is_promise = got.status == 408 || got.status == 421 ||
                                got.status == 429 || got.status == 503;
        EXPECT_FALSE(is_promise && ran > 0)
            << id << ": REFUSED, " << got.status;
      }
    }
  }

  RunRecord runs;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
};

// REFUSED, TWICE: what follows an answer 101 is in another protocol, so that
// nothing in it is an answer.
TEST_F(StreamReviewTest, RefusalAfterASwitchOfProtocols_PromisesNothing) {
  this->ExpectPromisesAreTrue([](ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Write("HTTP/1.1 101 Switching Protocols\r\n" +
                   Named(exchange.Id()) + "Upgrade: x\r\n\r\n" +
                   Refusal(exchange.Id()));
    exchange.Run();
    exchange.Write(Stream(exchange.Id()));
  });
}

// REFUSED, TWICE: a refusal that names nothing was written before the request
// was read, for example when the connection was accepted.
TEST_F(StreamReviewTest,
       UnnamedRefusalBeforeTheRequestWasRead_PromisesNothing) {
  this->ExpectPromisesAreTrue([](ScriptedExchange& exchange) {
    if (exchange.Number() == 1) exchange.Write(Refusal(""));
    exchange.ReadBody();
    exchange.Run();
    exchange.Write(Stream(exchange.Id()));
  });
}

// UNASKED: a field in the trailer of a chunked request is no field of its
// head.
TEST_F(StreamReviewTest, TrailerOfAChunkedRequest_IsNotInTheHead) {
  std::atomic<int> ids{0};
  LoopbackServer upstream([&](const HttpRequest& request, Tcp::socket&) {
    ids = static_cast<int>(request.count("Attempt-Id"));
    HttpAnswer answer = Signed(request);
    answer.body() = Event(1);
    return answer;
  });
  this->PutUpstream("u0", upstream);
  this->Start([](ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Write(Refusal(exchange.Id()));
  });
  const Received got =
      this->Send(HeadOf("/book/x", "t1") +
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
                 "Attempt-Id: t2\r\n\r\n");
  EXPECT_EQ(got.status, 200U);
  EXPECT_EQ(ids, 1);
}

// A long run may send any number of interim answers before its answer.
TEST_F(StreamReviewTest, ManyInterimAnswers_LoseNoService) {
  this->Start([](ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Run();
    for (int i = 0; i < 12; ++i) {
      exchange.Write("HTTP/1.1 102 Processing\r\n" + Named(exchange.Id()) +
                     "\r\n");
    }
    exchange.Write(Stream(exchange.Id()));
  });
  const Received got = this->Ask("/ask/x", "m1");
  EXPECT_EQ(got.status, 200U);
  EXPECT_EQ(got.body, Event(1) + Event(2));
}

/// Grants of tokens whose append the store has applied, without a plain answer.
class GrantReviewTest : public PlatformFixture {
 protected:
  void ExpectGrantIsCountedOnce(std::atomic<int>& odd_answers) {
    LoopbackServer upstream(AnswerOneEvent);
    this->PutConfig(1, 100000);
    this->PutUpstream("u1", upstream);
    this->StartGateway();
    ASSERT_EQ(this->Call(Request("/draft/x", "1000,10")).result_int(), 200U);

    odd_answers = 1;
    EXPECT_EQ(this->Call(Request("/draft/x", "30000,10")).result_int(), 200U);
    EXPECT_EQ(odd_answers, 0);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    pb::FleetRecord book;
    ASSERT_TRUE(book.ParseFromString(
        this->store.Newest("keyed.fuchsiadrum-accounts", "book")));
    pb::FleetRecord grant;
    ASSERT_TRUE(grant.ParseFromString(this->store.Newest(
        "keyed.fuchsiadrum-accounts",
        "grant/parish/vm-1/" + std::to_string(daemon::StartIncarnation()))));
    EXPECT_EQ(book.book().accounts(0).granted_tokens(),
              grant.grant().granted_tokens());
  }
};

// BUDGET: an interim answer of the store is no rejection of an append that it
// applies.
TEST_F(GrantReviewTest, GrantWithInterimAnswer_IsCountedOnce) {
  this->ExpectGrantIsCountedOnce(this->store.interim_account_answers);
}

// BUDGET: only 429 and 503 of the store say that nothing was done.
TEST_F(GrantReviewTest, GrantWithAnswer500_IsCountedOnce) {
  this->ExpectGrantIsCountedOnce(this->store.failed_account_answers);
}

/// Callers of a gateway that is stopping.
class StopReviewTest : public PlatformFixture {};

// LOST: bytes of a next request that stay unread reset the connection, and with
// it the rest of the answer that is on its way.
TEST_F(StopReviewTest, AnswerBeforeAPipelinedRequest_ArrivesWhole) {
  constexpr size_t kBytes = 1000000;
  LoopbackServer upstream([](const HttpRequest& request, Tcp::socket&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    HttpAnswer answer = Signed(request);
    answer.body() = std::string(kBytes, 'x');
    return answer;
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  asio::io_context context;
  Tcp::socket socket(context, Tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(8192));
  socket.connect(
      {asio::ip::address_v4::loopback(), this->gateway->CallersPort()});
  HttpRequest request = Request("/book/x");
  http::write(socket, request);
  ASSERT_EQ(::raise(SIGTERM), 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  request.set("Attempt-Id", "a2");
  http::write(socket, request);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  boost::beast::flat_buffer buffer;
  HttpAnswer answer;
  ErrorCode error;
  http::read(socket, buffer, answer, error);
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(answer.body().size(), kBytes);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
