#include "daemon/chat_answer.h"
#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

using node::AttemptEventKind;

class RelayTest : public DaemonFixture {};

// Guards against a whole answer that lacks tokens or usage.
TEST_F(RelayTest, Chat_WithoutStream_IsAssembledWhole) {
  std::string seen;
  this->core->max_output = Tokens(7);
  this->Start([&](const std::string& request, Tcp::socket& socket) {
    seen = request;
    return Put(socket, StreamHead() + TokenEvent("Hel") + TokenEvent("lo") +
                           UsageEvent() + EndOfStream());
  });
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_NE(answer.find("X-Outcome: complete\r\n"), std::string::npos);
  EXPECT_NE(answer.find("X-Request-Id: "), std::string::npos);
  EXPECT_NE(answer.find("\"content\":\"Hello\""), std::string::npos);
  EXPECT_NE(answer.find("\"completion_tokens\":2"), std::string::npos);

  EXPECT_NE(seen.find("\"max_tokens\":7"), std::string::npos);
  EXPECT_NE(seen.find("\"include_usage\":true"), std::string::npos);
  EXPECT_NE(seen.find("X-Attempt: 1\r\n"), std::string::npos);
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kCompleted, &event));
  EXPECT_EQ(event.used, Tokens(5));
  EXPECT_EQ(event.streamed, Tokens(2));
}

// Guards against a stream without outcome or end mark, and against usage that
// the caller did not ask for.
TEST_F(RelayTest, Chat_Stream_EndsWithOutcomeAndMark) {
  this->core->keep_answer = true;
  this->Start([](const std::string&, Tcp::socket& socket) {
    return Put(socket, StreamHead() + TokenEvent("a") + TokenEvent("b") +
                           UsageEvent() + EndOfStream());
  });
  const std::string answer = this->Exchange(this->ChatText(true));
  EXPECT_NE(answer.find("text/event-stream"), std::string::npos);
  EXPECT_NE(answer.find("\"content\":\"b\""), std::string::npos);
  EXPECT_NE(answer.find("finish_reason"), std::string::npos);
  EXPECT_EQ(answer.find("prompt_tokens"), std::string::npos);
  EXPECT_NE(answer.find(": X-Outcome: complete\n\ndata: [DONE]\n\n"),
            std::string::npos);
  EXPECT_TRUE(answer.ends_with("0\r\nX-Outcome: complete\r\n\r\n"));
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kCompleted, &event));
  ASSERT_TRUE(event.answer);
  EXPECT_TRUE(event.answer->body().ends_with("data: [DONE]\n\n"));
}

// Guards against a cut stream that looks whole.
TEST_F(RelayTest, Chat_StreamWithoutEndMark_EndsWithError) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    Put(socket, StreamHead() + TokenEvent("a") + LastChunk({}));
    return false;
  });
  const std::string answer = this->Exchange(this->ChatText(true));
  EXPECT_NE(answer.find("\"content\":\"a\""), std::string::npos);
  EXPECT_NE(answer.find("event: error\n"), std::string::npos);
  EXPECT_EQ(answer.find("[DONE]"), std::string::npos);
  EXPECT_TRUE(answer.ends_with("0\r\nX-Outcome: unknown\r\n\r\n"));
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kBroken, &event));
  EXPECT_TRUE(event.delivered);
}

// Guards against a part of an answer given to a caller without a stream.
TEST_F(RelayTest, Chat_WholeWithoutEndMark_IsAProblem) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    Put(socket, StreamHead() + TokenEvent("a") + LastChunk({}));
    return false;
  });
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 "));
  EXPECT_EQ(answer.find("content\":\"a"), std::string::npos);
  EXPECT_EQ(answer.find("127.0.0.1"), std::string::npos);
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kBroken, &event));
  EXPECT_FALSE(event.delivered);
}

// Guards against a refusal of an upstream being taken for a run.
TEST_F(RelayTest, Chat_NotRunByUpstream_IsRejected) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    const HttpResponse refusal{
        .status = 503,
        .headers = {{"X-Not-Run", "true"}, {"X-Leaving", "true"}}};
    return Put(socket, refusal.ToText());
  });
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_NE(answer.find("X-Outcome: not-run\r\n"), std::string::npos);
  EXPECT_NE(answer.find("Retry-After: 2\r\n"), std::string::npos);
  EXPECT_NE(answer.find("application/problem+json"), std::string::npos);
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kRejected, &event));
  EXPECT_TRUE(event.upstream_leaving);
}

// Guards against a 503 that does not say "not run" being called not run.
TEST_F(RelayTest, Chat_PlainServerError_MayHaveRun) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    return Put(socket, HttpResponse{.status = 503}.ToText());
  });
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos);
}

// Guards against an unreachable upstream being called a run.
TEST_F(RelayTest, Chat_ConnectionRefused_IsNotSent) {
  this->core->address = "127.0.0.1:1";
  this->StartDaemon();
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_NE(answer.find("X-Outcome: not-run\r\n"), std::string::npos);
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kNotSent, &event));
}

// Guards against an upstream whose connection stops delivering.
TEST_F(RelayTest, Chat_SilenceAfterToken_IsSilent) {
  this->settings.mutable_upstream()->set_idle_timeout_ms(50);
  this->Start([](const std::string&, Tcp::socket& socket) {
    return Put(socket, StreamHead() + TokenEvent("a"));
  });
  const std::string answer = this->Exchange(this->ChatText(true));
  EXPECT_NE(answer.find("event: error\n"), std::string::npos);
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kSilent, &event));
}

// Guards against bytes of an older attempt in the answer of a newer one.
TEST_F(RelayTest, Chat_RetryAfterBrokenAttempt_GivesOnlyTheNewAnswer) {
  int requests = 0;
  this->core->on_event = [this](const node::AttemptEvent& event,
                                node::NodeActions& out) {
    if (event.kind != AttemptEventKind::kBroken) return;
    node::RequestAction action;
    action.kind = node::RequestActionKind::kDispatch;
    action.handle = event.handle;
    action.attempt = event.attempt + 1;
    action.address = this->core->address;
    out.requests.push_back(action);
  };
  this->Start([&](const std::string&, Tcp::socket& socket) {
    if (++requests == 1) {
      Put(socket, StreamHead() + TokenEvent("old"));
      return false;
    }
    return Put(socket,
               StreamHead() + TokenEvent("new") + UsageEvent() + EndOfStream());
  });
  const std::string answer = this->Exchange(this->ChatText(false));
  EXPECT_NE(answer.find("\"content\":\"new\""), std::string::npos);
  EXPECT_EQ(answer.find("old"), std::string::npos);
}

// Guards against an engine's error that stands in the stream as if it were a
// part of the answer, and a stream that ends as if it were complete.
TEST_F(RelayTest, Chat_ErrorEventInStream_EndsWithError) {
  const std::vector<std::string> errors = {
      Event(R"({"error":{"message":"out of memory at 10.0.0.7"}})"),
      Event(R"({"object":"error", "error" : "out of memory at 10.0.0.7"})"),
      Chunk("event: error\ndata: {\"message\":\"at 10.0.0.7\"}\n\n")};
  std::atomic<size_t> index{0};
  this->Start([&](const std::string&, Tcp::socket& socket) {
    return Put(socket,
               StreamHead() + TokenEvent("a") + errors[index] + EndOfStream());
  });
  for (index = 0; index < errors.size(); ++index) {
    for (const bool stream : {true, false}) {
      const std::string answer = this->Exchange(this->ChatText(stream));
      EXPECT_EQ(answer.find("10.0.0.7"), std::string::npos) << answer;
      EXPECT_EQ(answer.find("[DONE]"), std::string::npos) << answer;
      EXPECT_EQ(answer.find("X-Outcome: complete"), std::string::npos);
      EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos);
    }
  }
}

// Guards against a word of the answer that is taken for an engine's error.
TEST_F(RelayTest, Chat_WordErrorInContent_IsRelayed) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    return Put(socket, StreamHead() + TokenEvent(R"({\"error\": 1})") +
                           Event(R"({"id":"c","error":null,"choices":[]})") +
                           UsageEvent() + EndOfStream());
  });
  const std::string answer = this->Exchange(this->ChatText(true));
  EXPECT_NE(answer.find("error"), std::string::npos);
  EXPECT_NE(answer.find(": X-Outcome: complete\n\ndata: [DONE]\n\n"),
            std::string::npos)
      << answer;
}

// Guards against an answer of a later attempt in a stream that has begun: the
// caller must find neither its text nor the end mark.
TEST_F(RelayTest, Chat_AttemptAfterBegunStream_EndsWithError) {
  this->core->on_event = [this](const node::AttemptEvent& event,
                                node::NodeActions& out) {
    node::RequestAction action;
    action.handle = event.handle;
    action.attempt = event.attempt;
    if (event.kind == AttemptEventKind::kBroken && event.attempt == 1) {
      action.kind = node::RequestActionKind::kDispatch;
      action.attempt = 2;
      action.address = this->core->address;
    } else if (event.kind == AttemptEventKind::kBroken ||
               event.kind == AttemptEventKind::kNotSent) {
      action.kind = node::RequestActionKind::kReply;
      action.status = 502;
      action.outcome = node::Outcome::kUnknown;
    } else {
      return;
    }
    out.requests.push_back(action);
  };
  const std::string problem = R"({"error":"no such lora at 10.0.0.7"})";
  const std::vector<std::string> later = {
      HttpResponse{.status = 400, .body = problem}.ToText(),
      HttpResponse{.status = 200, .body = problem}.ToText(),
      StreamHead() + Event(problem) + EndOfStream(),
      StreamHead() + TokenEvent("again") + UsageEvent() + EndOfStream()};
  std::atomic<size_t> index{0};
  this->Start([&](const std::string& request, Tcp::socket& socket) {
    if (request.find("X-Attempt: 1\r\n") != std::string::npos) {
      Put(socket, StreamHead() + TokenEvent("a"));
      return false;
    }
    return Put(socket, later[index]);
  });
  for (index = 0; index < later.size(); ++index) {
    const std::string answer = this->Exchange(this->ChatText(true));
    EXPECT_NE(answer.find("event: error\n"), std::string::npos)
        << index << " " << answer;
    EXPECT_EQ(answer.find("[DONE]"), std::string::npos) << index;
    EXPECT_EQ(answer.find("10.0.0.7"), std::string::npos) << index;
    EXPECT_EQ(answer.find("again"), std::string::npos) << index;
  }
}

// Guards against an engine that ends the process with an event that nests
// deeply.
TEST_F(RelayTest, Chat_DeeplyNestedEvent_IsBroken) {
  constexpr size_t kDepth = 400'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  this->Start([&](const std::string&, Tcp::socket& socket) {
    Put(socket, StreamHead() +
                    Event(R"({"usage":{"prompt_tokens":1,)"
                          R"("completion_tokens":1,"x":)" +
                          deep + "}}") +
                    EndOfStream());
    return false;
  });
  for (const bool stream : {true, false}) {
    const std::string answer = this->Exchange(this->ChatText(stream));
    EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos)
        << answer.substr(0, 200);
  }
}

// Guards against counts of tokens whose sum exceeds the number's range.
TEST_F(RelayTest, Chat_UsageOutOfRange_IsNoReport) {
  for (const std::string count : {"9000000000000000000", "3000000000"}) {
    std::string relay;
    CallerRequest request(1U << 16U);
    ChatAnswer answer(request, 1U << 20U);
    std::string event = R"({"choices":[],"usage":{"prompt_tokens":)";
    event += count;
    event += R"(,"completion_tokens":)";
    event += count;
    event += "}}";
    answer.OnData(event, relay);
    EXPECT_FALSE(answer.Used()) << answer.Used()->count;
  }
}

// Guards against work for a caller who is gone.
TEST_F(RelayTest, Chat_CallerCloses_CancelsTheUpstream) {
  std::promise<void> cancelled;
  this->Start([&](const std::string&, Tcp::socket& socket) {
    Put(socket, StreamHead() + TokenEvent("a"));
    char byte = 0;
    ErrorCode end;
    socket.read_some(asio::buffer(&byte, 1), end);
    if (end) cancelled.set_value();
    return false;
  });
  RawClient client(this->Port());
  client.Write(this->ChatText(true));
  client.ReadUntil("\"content\":\"a\"");
  client.Close();
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kCallerGone, &event));
  EXPECT_EQ(event.attempt, 1U);
  EXPECT_EQ(cancelled.get_future().wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
}

// Guards against unbounded memory for a reader that does not read.
TEST_F(RelayTest, Chat_SlowReader_PausesTheUpstreamAndIsCut) {
  this->settings.mutable_front()->set_write_timeout_ms(200);
  this->settings.mutable_upstream()->set_idle_timeout_ms(600000);
  std::atomic<size_t> written{0};
  this->Start([&](const std::string&, Tcp::socket& socket) {
    bool open = Put(socket, StreamHead());
    const std::string event = TokenEvent(std::string(8000, 'x'));
    while (open) {
      open = Put(socket, event);
      if (open) written += event.size();
    }
    return false;
  });
  RawClient client(this->Port());
  client.Socket().set_option(asio::socket_base::receive_buffer_size(4096));
  client.Write(this->ChatText(true));
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(AttemptEventKind::kCallerGone, &event));
  EXPECT_EQ(this->daemon->Metrics().Counter("cut_total", "slow-reader"), 1U);
  // The rest lies in the buffers of the kernel, which grow to some megabytes.
  EXPECT_LT(written, 64U << 20U);
}

// Guards against a truncated answer of a plain service.
TEST_F(RelayTest, Service_ShortBody_IsBroken) {
  this->Start([](const std::string&, Tcp::socket& socket) {
    Put(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    return false;
  });
  const std::string answer = this->Exchange(RequestText(
      "POST", "/services/draw/pairs?x=1", "test",
      {{"Authorization", "Bearer key"}, {"Connection", "close"}}, "{}"));
  EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos);
}

// Guards against a service call that is changed on its way.
TEST_F(RelayTest, Service_IsRelayedAsItIs) {
  std::string seen;
  this->Start([&](const std::string& request, Tcp::socket& socket) {
    seen = request;
    const HttpResponse answer{.status = 201,
                              .headers = {{"Content-Type", "text/plain"}},
                              .body = "booked"};
    return Put(socket, answer.ToText());
  });
  const std::string answer =
      this->Exchange(RequestText("PUT", "/services/book/rooms/3?x=1", "test",
                                 {{"Authorization", "Bearer key"},
                                  {"Idempotency-Key", "k-1"},
                                  {"Content-Type", "application/json"},
                                  {"Connection", "close"}},
                                 "{\"a\":1}"));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 201 ")) << answer;
  EXPECT_TRUE(answer.ends_with("\r\n\r\nbooked"));
  EXPECT_TRUE(seen.starts_with("PUT /rooms/3?x=1 HTTP/1.1\r\n"));
  EXPECT_NE(seen.find("Idempotency-Key: k-1\r\n"), std::string::npos);
  EXPECT_TRUE(seen.ends_with("\r\n\r\n{\"a\":1}"));
  EXPECT_EQ(seen.find("Bearer"), std::string::npos);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
