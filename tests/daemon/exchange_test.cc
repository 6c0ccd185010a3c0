// Answers that belong to another request than the one that waits.
#include <atomic>
#include <mutex>
#include <set>

#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

using node::AttemptEventKind;

class ExchangeTest : public DaemonFixture {
 protected:
  static std::string HeaderOf(const std::string& request,
                              const std::string& name) {
    const size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
  }
  /// Headers by which an answer names its request.
  static HttpHeaders NameOf(const std::string& request) {
    return {{"X-Request-Id", HeaderOf(request, "X-Request-Id")},
            {"X-Attempt", HeaderOf(request, "X-Attempt")}};
  }
  static std::string Stream(const std::string& word, HttpHeaders name) {
    name.emplace_back("Content-Type", "text/event-stream");
    return ChunkedHead(200, name, true) + TokenEvent(word) + UsageEvent() +
           EndOfStream();
  }
  static std::string Refusal(HttpHeaders name) {
    name.emplace_back("X-Not-Run", "true");
    return HttpResponse{.status = 503, .headers = std::move(name)}.ToText();
  }
  /// The second request gets the answer that `second` makes from the name of
  /// the first; other requests get a named stream.
  void StartWithSecond(
      const std::function<std::string(const HttpHeaders&)>& second) {
    this->Start(
        [this, second](const std::string& request, Tcp::socket& socket) {
          const std::lock_guard lock(this->mutex);
          ++this->requests;
          if (this->requests == 1) this->first_name = NameOf(request);
          this->sockets.insert(&socket);
          if (this->requests == 2) return Put(socket, second(this->first_name));
          return Put(socket, Stream("own", NameOf(request)));
        });
  }
  size_t Connections() {
    const std::lock_guard lock(this->mutex);
    return this->sockets.size();
  }
  std::string Chat(bool stream = false) {
    return this->Exchange(this->ChatText(stream));
  }

  std::mutex mutex;
  int requests = 0;
  HttpHeaders first_name;
  std::set<Tcp::socket*> sockets;
};

// Guards against an earlier refusal, written once more, that refuses the next
// request on its connection.
TEST_F(ExchangeTest, Refusal_OfEarlierRequest_MayHaveRun) {
  this->StartWithSecond(
      [](const HttpHeaders& first) { return Refusal(first); });
  EXPECT_NE(this->Chat().find("X-Outcome: complete\r\n"), std::string::npos);
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
}

// Guards against a refusal without a name on a connection that has carried
// another request.
TEST_F(ExchangeTest, Refusal_WithoutNameOnKeptConnection_MayHaveRun) {
  this->StartWithSecond([](const HttpHeaders&) { return Refusal({}); });
  EXPECT_NE(this->Chat().find("X-Outcome: complete\r\n"), std::string::npos);
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
  EXPECT_EQ(this->Connections(), 1U);
}

// Guards against safety paid for with service: true refusals and kept
// connections.
TEST_F(ExchangeTest, Refusal_OfThisRequestOnKeptConnection_IsNotRun) {
  this->Start([this](const std::string& request, Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    this->sockets.insert(&socket);
    return Put(socket, ++this->requests == 3 ? Refusal(NameOf(request))
                                             : Stream("own", NameOf(request)));
  });
  EXPECT_NE(this->Chat().find("X-Outcome: complete\r\n"), std::string::npos);
  EXPECT_NE(this->Chat(true).find("X-Outcome: complete\r\n"),
            std::string::npos);
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: not-run\r\n"), std::string::npos) << answer;
  EXPECT_EQ(this->Connections(), 1U);
}

// Guards against an upstream that names nothing and writes an answer twice: a
// connection carries one request of it.
TEST_F(ExchangeTest, Connection_OfUpstreamWithoutNames_IsNotKept) {
  this->Start([this](const std::string&, Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    const bool fresh = this->sockets.insert(&socket).second;
    return Put(socket, fresh ? Stream("own", {}) : Refusal({}));
  });
  for (int i = 0; i < 3; ++i) {
    const std::string answer = this->Chat(i == 1);
    EXPECT_NE(answer.find("X-Outcome: complete\r\n"), std::string::npos)
        << answer;
  }
  EXPECT_EQ(this->Connections(), 3U);
}

// Guards against a whole answer given to the caller of another request.
TEST_F(ExchangeTest, Answer_OfEarlierRequest_IsNotRelayed) {
  this->StartWithSecond(
      [](const HttpHeaders& first) { return Stream("other", first); });
  this->Chat();
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("other"), std::string::npos);
  EXPECT_NE(this->Chat().find("X-Outcome: complete\r\n"), std::string::npos);
}

// Guards against a stream given to the caller of another request.
TEST_F(ExchangeTest, Stream_OfEarlierRequest_IsNotRelayed) {
  this->StartWithSecond(
      [](const HttpHeaders& first) { return Stream("other", first); });
  this->Chat(true);
  const std::string answer = this->Chat(true);
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("other"), std::string::npos);
}

// Guards against a plain service's answer to another caller's GET.
TEST_F(ExchangeTest, ServiceAnswer_OfEarlierRequest_IsNotRelayed) {
  this->Start([this](const std::string& request, Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    if (++this->requests == 1) this->first_name = NameOf(request);
    return Put(socket,
               HttpResponse{.headers = this->first_name, .body = "booking 1"}
                   .ToText());
  });
  const std::string get = RequestText(
      "GET", "/services/book/rooms/3", "test",
      {{"Authorization", "Bearer key"}, {"Connection", "close"}}, {});
  EXPECT_NE(this->Exchange(get).find("booking 1"), std::string::npos);
  const std::string answer = this->Exchange(get);
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("booking"), std::string::npos);
}

// Guards against an answer that says that it did not run and that it did.
TEST_F(ExchangeTest, Refusal_WithSuccess_ProvesNothing) {
  this->Start([](const std::string& request, Tcp::socket& socket) {
    HttpHeaders headers = NameOf(request);
    headers.emplace_back("X-Not-Run", "true");
    return Put(socket, Stream("own", headers));
  });
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
}

// Guards against a refusal that names two requests.
TEST_F(ExchangeTest, Refusal_WithTwoNames_ProvesNothing) {
  this->StartWithSecond([](const HttpHeaders& first) {
    HttpHeaders names = first;
    names.emplace_back("X-Request-Id", "another");
    return Refusal(names);
  });
  this->Chat();
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos) << answer;
}

// Guards against an upstream that is taken for leaving by an answer that may
// be another one's.
TEST_F(ExchangeTest, Leaving_InAnswerOfEarlierRequest_IsNoNotice) {
  this->StartWithSecond([](HttpHeaders first) {
    first.emplace_back("X-Leaving", "true");
    return Refusal(first);
  });
  this->Chat();
  this->Chat();
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kBroken, &event));
  EXPECT_FALSE(event.upstream_leaving);
}

// Guards against bytes that came with an answer, and are read as the head of
// the next one.
TEST_F(ExchangeTest, Connection_WithBytesAfterTheAnswer_IsNotKept) {
  this->Start([this](const std::string& request, Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    const std::string own = Stream("own", NameOf(request));
    return Put(socket, ++this->requests == 1 ? own + Refusal({}) : own);
  });
  EXPECT_NE(this->Chat().find("X-Outcome: complete\r\n"), std::string::npos);
  const std::string answer = this->Chat();
  EXPECT_NE(answer.find("X-Outcome: complete\r\n"), std::string::npos)
      << answer;
}

// Guards against an interim answer that is relayed as the answer.
TEST_F(ExchangeTest, InterimAnswer_IsNotRelayed) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    return Put(socket, "HTTP/1.1 100 Continue\r\n\r\n" +
                           HttpResponse{.body = "booked"}.ToText());
  });
  const std::string answer = this->Exchange(RequestText(
      "POST", "/services/book/rooms/3", "test",
      {{"Authorization", "Bearer key"}, {"Connection", "close"}}, "{}"));
  EXPECT_FALSE(answer.starts_with("HTTP/1.1 100 ")) << answer;
}

// Guards against the report of an earlier poll, or of none, that is taken for
// the answer to the present one, and its notice with it.
TEST_F(ExchangeTest, LoadPoll_AnswerOfEarlierPoll_IsNotTaken) {
  ScriptedServer engine([this](const std::string& request,
                               Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    ++this->requests;
    this->sockets.insert(&socket);
    HttpResponse load{.headers = NameOf(request), .body = R"({"running":5})"};
    if (this->requests == 1) this->first_name = load.headers;
    if (this->requests == 3) {
      load.headers = this->first_name;
      load.headers.emplace_back("X-Leaving", "true");
      load.body = R"({"running":99,"leaving":true})";
    }
    if (this->requests > 3) load.body = R"({"running":7})";
    return Put(socket, load.ToText());
  });
  this->settings.mutable_upstream()->set_load_poll_ms(20);
  this->core->address = engine.Address();
  this->StartDaemon();
  EXPECT_TRUE(this->core->WaitFor("load 5 0"));
  EXPECT_TRUE(this->core->WaitFor("load 7 0"));
  EXPECT_FALSE(this->core->HasNote("load 99 0"));
  EXPECT_FALSE(this->core->HasNote("leaving"));
  // The connection is kept until the answer that names another poll.
  EXPECT_EQ(this->Connections(), 2U);
  this->daemon.reset();
}

// Guards against polls that share a connection whose answers name no poll.
TEST_F(ExchangeTest, LoadPoll_OfUpstreamWithoutNames_HasItsOwnConnection) {
  ScriptedServer engine([this](const std::string&, Tcp::socket& socket) {
    const std::lock_guard lock(this->mutex);
    const bool fresh = this->sockets.insert(&socket).second;
    const std::string running = this->sockets.size() < 3 ? "5" : "7";
    return Put(
        socket,
        HttpResponse{.body = "{\"running\":" + (fresh ? running : "99") + "}"}
            .ToText());
  });
  this->settings.mutable_upstream()->set_load_poll_ms(20);
  this->core->address = engine.Address();
  this->StartDaemon();
  EXPECT_TRUE(this->core->WaitFor("load 7 0"));
  EXPECT_FALSE(this->core->HasNote("load 99 0"));
  this->daemon.reset();
}

}  // namespace
}  // namespace fuchsiadrum::daemon
