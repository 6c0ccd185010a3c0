#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// A stream that breaks off after two events and goes on at a second upstream,
/// whose answer is not always the rest of the stream.
class UpstreamStreamTest : public PlatformFixture {
 protected:
  static constexpr char kSigned[] =
      "Attempt-Id: a1\r\nRunner-Signature: s1\r\n";
  static constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";

  static std::string ChunkedAnswer(const std::string& status,
                                   const std::string& fields,
                                   const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) + "0\r\n\r\n";
  }
  static std::string SizedAnswer(const std::string& status,
                                 const std::string& fields,
                                 const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  /// A whole answer of the events `first` to `last`.
  static std::string Events(int first, int last) {
    std::string body;
    for (int id = first; id <= last; ++id) body += Event(id);
    return ChunkedAnswer("200 OK", std::string(kSigned) + kEventStream, body);
  }

  /// Sends a stream's request and returns all bytes until the gateway closes
  /// the connection.
  std::string ReadStream(const HttpRequest& request) {
    asio::io_context context;
    ErrorCode error;
    Tcp::socket socket =
        Send(context, this->gateway->CallersPort(), request, error);
    std::string bytes;
    asio::read(socket, asio::dynamic_buffer(bytes), error);
    this->closed_in_order = error == asio::error::eof;
    return bytes;
  }

  /// Breaks a stream off after event 2 and answers its repeat with `resumed`.
  /// Returns the bytes of the body that the caller gets, with their framing.
  std::string Resume(const std::string& resumed) {
    const auto script = [resumed](const HttpRequest& request,
                                  Tcp::socket& socket) {
      ErrorCode ignored;
      const bool is_repeat = !request["Last-Event-Id"].empty();
      const std::string begun =
          "HTTP/1.1 200 OK\r\n" + std::string(kSigned) + kEventStream +
          "Transfer-Encoding: chunked\r\n\r\n" + Chunk(Event(1) + Event(2));
      asio::write(socket, asio::buffer(is_repeat ? resumed : begun), ignored);
      return std::optional<HttpAnswer>();
    };
    LoopbackServer first(script);
    LoopbackServer second(script);
    this->PutConfig(1, 100000);
    this->PutUpstream("u1", first);
    this->PutUpstream("u2", second);
    // All gateways of one test process have one incarnation, so that each needs
    // a name of its own to be another writer for the store.
    this->gateway = this->StartVm("vm-" + std::to_string(++this->starts));
    HttpRequest request = Request("/draft/x", "100,50");
    request.set("Connection", "close");
    const std::string bytes = this->ReadStream(request);
    this->TearDown();
    const size_t head_end = bytes.find("\r\n\r\n");
    return head_end == std::string::npos ? bytes : bytes.substr(head_end + 4);
  }

  /// Asks an upstream that sends `answer` and closes for a stream. Returns all
  /// bytes that the caller gets. `last_event`: the caller's; 0: none.
  std::string Ask(const std::string& answer, int last_event = 0) {
    LoopbackServer upstream([&](const HttpRequest&, Tcp::socket& socket) {
      ErrorCode ignored;
      asio::write(socket, asio::buffer(answer), ignored);
      return std::optional<HttpAnswer>();
    });
    this->PutConfig(1, 100000);
    this->PutUpstream("u1", upstream);
    this->gateway = this->StartVm("vm-" + std::to_string(++this->starts));
    HttpRequest request = Request("/draft/x", "100,50");
    request.set("Connection", "close");
    if (last_event > 0) {
      request.set("Last-Event-Id", std::to_string(last_event));
    }
    std::string bytes = this->ReadStream(request);
    this->TearDown();
    return bytes;
  }
  /// The body, framed by the end of the connection, by chunks or by a length.
  static std::vector<std::string> FramedInEachWay(const std::string& body) {
    const std::string fields = std::string(kSigned) + kEventStream;
    return {"HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body,
            ChunkedAnswer("200 OK", fields, body),
            SizedAnswer("200 OK", fields, body)};
  }

  int starts = 0;
  /// True if the last stream that was read ended with a close, not a reset.
  bool closed_in_order = false;
  const std::string begun = Chunk(Event(1) + Event(2));
};

TEST_F(UpstreamStreamTest, RestOfTheStream_CompletesIt) {
  EXPECT_EQ(this->Resume(Events(3, 4)),
            this->begun + Chunk(Event(3) + Event(4)) + "0\r\n\r\n");
}

// The stream had broken off after its last event, before its end.
TEST_F(UpstreamStreamTest, EmptyRestOfTheStream_CompletesIt) {
  EXPECT_EQ(
      this->Resume("HTTP/1.1 200 OK\r\n" + std::string(kSigned) + kEventStream +
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      this->begun + "0\r\n\r\n");
}

TEST_F(UpstreamStreamTest, CommentBetweenEvents_IsPartOfTheStream) {
  const std::string rest = ": wait\n\n" + Event(3);
  EXPECT_EQ(this->Resume(ChunkedAnswer(
                "200 OK", std::string(kSigned) + kEventStream, rest)),
            this->begun + Chunk(rest) + "0\r\n\r\n");
}

// ORDER, MIXED: the next upstream answers with an error, and callers find its
// text in their stream, or a stream that looks complete.
TEST_F(UpstreamStreamTest, ErrorOfTheNextUpstream_CutsTheStreamOff) {
  const std::string named = std::string(kSigned);
  const std::string events = named + kEventStream;
  const std::string text = "engine out of memory\n\nrequest abandoned\n";
  const std::pair<const char*, std::string> answers[] = {
      {"a signed error", SizedAnswer("500 Failed", named, text)},
      {"an unsigned error",
       ChunkedAnswer("502 Bad Gateway", "Attempt-Id: a1\r\n", text)},
      {"a refusal",
       SizedAnswer("503 Full", "Attempt-Id: a1\r\nNot-Executed: 1\r\n", text)},
      {"a signed refusal's status", SizedAnswer("503 Full", events, text)},
      {"an error with a success's status",
       SizedAnswer("200 OK", named + "Content-Type: text/plain\r\n", text)},
      {"an error without a type", SizedAnswer("200 OK", named, text)},
      {"an error as a stream", ChunkedAnswer("200 OK", events, text)},
      {"an error without a blank line",
       ChunkedAnswer("200 OK", events, "engine out of memory")},
      {"an error's whole head",
       ChunkedAnswer("200 OK", events,
                     "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")},
      {"an error as an event",
       ChunkedAnswer("200 OK", events, "event: error\ndata: failed\n\n")},
      {"an event without a number",
       ChunkedAnswer("200 OK", events, "id: x3\ndata: x\n\n")},
      {"an event with a number too large",
       ChunkedAnswer("200 OK", events,
                     "id: 99999999999999999999999\ndata: x\n\n")},
      {"an event that is not the next", Events(4, 5)},
      {"part of an event",
       ChunkedAnswer("200 OK", events, Event(3) + "id: 4\nda")},
      {"no content", "HTTP/1.1 204 No Content\r\n" + events + "\r\n"},
      {"part of the content",
       SizedAnswer("206 Partial Content", events, Event(3))},
      {"nothing", ""},
      {"bytes that are no answer", text}};
  for (const auto& [what, resumed] : answers) {
    const std::string body = this->Resume(resumed);
    const bool has_third = body == this->begun + Chunk(Event(3));
    EXPECT_TRUE(body == this->begun || has_third) << what << ":\n" << body;
  }
}

// ORDER: the next upstream ends right after its head. Without a length, nothing
// tells that the stream was at its end.
TEST_F(UpstreamStreamTest, EmptyRestWithoutLength_CutsTheStreamOff) {
  EXPECT_EQ(this->Resume("HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
                         kEventStream + "\r\n"),
            this->begun);
}

// ORDER: an upstream that ends in the middle of an event has not ended its
// stream, also if the end of its connection is the only end of its answer.
TEST_F(UpstreamStreamTest, FirstStream_ThatEndsInsideAnEvent_IsNotComplete) {
  const auto script = [](const HttpRequest& request, Tcp::socket& socket) {
    ErrorCode ignored;
    const bool is_repeat = !request["Last-Event-Id"].empty();
    const std::string cut = "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
                            kEventStream + "\r\n" + Event(1) + Event(2) +
                            "id: 3\nda";
    asio::write(socket, asio::buffer(is_repeat ? Events(3, 3) : cut), ignored);
    return std::optional<HttpAnswer>();
  };
  LoopbackServer first(script);
  LoopbackServer second(script);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", first);
  this->PutUpstream("u2", second);
  this->StartGateway();
  HttpRequest request = Request("/draft/x", "100,50");
  request.set("Connection", "close");

  const HttpAnswer answer = this->Call(request);
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(answer.body(), Event(1) + Event(2) + Event(3));
}

// MIXED: an answer 204 has no body, so that the framing of a body after it is
// read by the caller as bytes that are no answer.
TEST_F(UpstreamStreamTest, AnswerWithoutContent_IsFollowedByNoBytes) {
  LoopbackServer upstream([](const HttpRequest&, Tcp::socket& socket) {
    ErrorCode ignored;
    asio::write(socket,
                asio::buffer("HTTP/1.1 204 No Content\r\n" +
                             std::string(kSigned) + "\r\n"),
                ignored);
    return std::optional<HttpAnswer>();
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  HttpRequest request = Request("/draft/x", "100,50");
  request.set("Connection", "close");

  const std::string bytes = this->ReadStream(request);
  EXPECT_TRUE(bytes.ends_with("\r\n\r\n")) << bytes;
  EXPECT_EQ(bytes.find("\r\n\r\n") + 4, bytes.size()) << bytes;
}

// ORDER, MIXED: what is no stream of numbered events up to its end must not
// look like a whole one, however the upstream frames it.
TEST_F(UpstreamStreamTest, FirstAnswer_ThatIsNoWholeStream_IsNotComplete) {
  for (const char* body :
       {"", "engine out of memory", "engine out of memory\n\n",
        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        "event: error\ndata: failed\n\n", "data: x\n\n", ": wait\n\n",
        "id: 1\ndata: x\n\nid: 2\nda", "id: 1\ndata: x\n\nid: 2\ndata: x\n",
        "id: 1\ndata: x\n\ndata: y\n\n", "id: 1\nid: 2\ndata: x\n\n"}) {
    for (const std::string& answer : FramedInEachWay(body)) {
      const std::string got = this->Ask(answer);
      const bool is_chunked =
          got.find("Transfer-Encoding") != std::string::npos;
      const bool looks_whole =
          is_chunked ? got.ends_with("\r\n0\r\n\r\n") : this->closed_in_order;
      EXPECT_TRUE(got.starts_with("HTTP/1.1 502") || !looks_whole)
          << answer << "\n gave\n"
          << got;
      EXPECT_EQ(got.find("engine"), std::string::npos) << got;
    }
  }
}

// What upstreams may send besides events, and streams of which the caller has
// all: these are served.
TEST_F(UpstreamStreamTest, FirstAnswer_ThatIsAWholeStream_IsComplete) {
  for (const std::string& body :
       {Event(1), Event(0) + Event(1), ": wait\n\n" + Event(1) + ": end\n",
        "retry: 500\n\n" + Event(1), "\n\n" + Event(1) + "\n",
        ": wait\nid: 1\nid: 1\ndata: x\n\n" + Event(2),
        std::string("id:1\r\ndata: x\r\n\r\n")}) {
    for (const std::string& answer : FramedInEachWay(body)) {
      const std::string got = this->Ask(answer);
      EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << answer;
      const bool is_framed = answer.find("Transfer-Enc") != std::string::npos ||
                             answer.find("Content-Len") != std::string::npos;
      if (is_framed) {
        EXPECT_TRUE(got.ends_with("\r\n0\r\n\r\n")) << answer << "\n" << got;
        continue;
      }
      // The end of the connection is passed on as the only end.
      EXPECT_TRUE(got.ends_with("\r\n\r\n" + body)) << answer << "\n" << got;
      EXPECT_EQ(got.find("Transfer-Encoding"), std::string::npos) << got;
      EXPECT_EQ(got.find("Content-Length"), std::string::npos) << got;
      EXPECT_TRUE(this->closed_in_order) << answer;
    }
  }
}

// A caller that resumes after the last event gets an empty stream, which is
// whole if its framing says so.
TEST_F(UpstreamStreamTest, ResumedByTheCaller_EmptyStream_IsWholeIfFramed) {
  const std::vector<std::string> answers = FramedInEachWay("");
  EXPECT_TRUE(this->Ask(answers[0], 2).starts_with("HTTP/1.1 502"));
  EXPECT_TRUE(this->Ask(answers[1], 2).ends_with("\r\n\r\n0\r\n\r\n"));
  EXPECT_TRUE(this->Ask(answers[2], 2).ends_with("\r\n\r\n0\r\n\r\n"));
}

// A caller that resumes a stream itself must not miss an event either.
TEST_F(UpstreamStreamTest, FirstEvent_AfterAGap_IsNotDelivered) {
  LoopbackServer upstream([](const HttpRequest& request, Tcp::socket&) {
    HttpAnswer answer = Signed(request);
    answer.body() = Event(5);
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  HttpRequest request = Request("/draft/x", "100,50");
  request.set("Last-Event-Id", "2");

  EXPECT_EQ(this->Call(request).result_int(), 502U);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
