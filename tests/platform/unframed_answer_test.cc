#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/gateway_process.h"
#include "tests/platform/unframed_answer_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

class UnframedAnswerTest : public UnframedAnswerFixture {};

// ORDER: an upstream closed its unframed stream after a whole event that was
// not the last, and the caller got the last chunk of a whole answer.
TEST_F(UnframedAnswerTest, StreamThatClosesAfterAnEvent_IsNotFramedAsWhole) {
  std::atomic<int> last_event{0};
  this->Start([&](ScriptedExchange& exchange, int /*attempt*/) {
    exchange.Write(Head(exchange.Id()) + Events(1, last_event));
    exchange.Close();
  });
  for (int last = 1; last < kEvents; ++last) {
    last_event = last;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "s" + std::to_string(last) + std::to_string(i);
      const CallerAnswer answer = this->Ask("stream", id);
      EXPECT_EQ(answer.status, 200U) << id;
      EXPECT_NE(answer.end, AnswerEnd::kFramed) << id;
      EXPECT_EQ(answer.body, Events(1, last)) << id;
    }
  }
}

// ORDER: the same where the rest of the stream can be had elsewhere.
TEST_F(UnframedAnswerTest, ResumableStreamThatClosesAfterAnEvent_IsCompleted) {
  std::atomic<int> last_event{0};
  this->Start([&](ScriptedExchange& exchange, int attempt) {
    if (attempt > 1) {
      exchange.Write(Sized(exchange.Id(), Events(FirstEvent(exchange))));
      return;
    }
    exchange.Write(Head(exchange.Id()) + Events(1, last_event));
    exchange.Close();
  });
  for (int last = 1; last < kEvents; ++last) {
    last_event = last;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(last) + std::to_string(i);
      const CallerAnswer answer = this->Ask("resumable", id);
      EXPECT_EQ(answer.status, 200U) << id;
      EXPECT_NE(answer.end, AnswerEnd::kBroken) << id;
      EXPECT_EQ(answer.body, Events(1)) << id;
    }
  }
}

// ORDER: a stream that was broken off at a proven place goes on at an upstream
// whose answer ends with its connection.
TEST_F(UnframedAnswerTest, RestThatClosesAfterAnEvent_IsNotFramedAsWhole) {
  this->Start([](ScriptedExchange& exchange, int attempt) {
    if (attempt == 1) {
      exchange.Write(Head(exchange.Id(), "Transfer-Encoding: chunked\r\n") +
                     Chunk(Events(1, 1)));
    } else {
      exchange.Write(Head(exchange.Id()) + Events(2, 3));
    }
    exchange.Close();
  });
  for (int i = 0; i < 8; ++i) {
    const CallerAnswer answer = this->Ask("resumable", "r" + std::to_string(i));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_NE(answer.end, AnswerEnd::kFramed);
    EXPECT_EQ(answer.body, Events(1, 3));
  }
}

// MIXED: the end of the connection alone does not tell whether a plain answer
// is whole, and the length of what had arrived was named as its length.
TEST_F(UnframedAnswerTest, PlainAnswerWithoutLength_IsNotFramedAsWhole) {
  this->Start([](ScriptedExchange& exchange, int /*attempt*/) {
    exchange.Write(Head(exchange.Id()) + "the whole ans");
    exchange.Close();
  });
  for (const char* kind : {"safe", "unsafe"}) {
    const CallerAnswer answer = this->Ask(kind, kind);
    EXPECT_NE(answer.end, AnswerEnd::kFramed) << kind;
  }
}

// Answers that are whole and end with their connection are served.
TEST_F(UnframedAnswerTest, WholeAnswerWithoutLength_IsServed) {
  this->Start([](ScriptedExchange& exchange, int attempt) {
    const bool is_plain = exchange.Request().target().starts_with("/safe/") ||
                          exchange.Request().target().starts_with("/unsafe/");
    exchange.Write(Head(exchange.Id()) +
                   (is_plain ? kPlainBody : Events(FirstEvent(exchange))));
    exchange.Close();
    EXPECT_TRUE(attempt == 1 || !is_plain);
  });
  for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
    for (int i = 0; i < 20; ++i) {
      const std::string id = kind + std::to_string(i);
      const CallerAnswer answer = this->Ask(kind, id);
      EXPECT_EQ(answer.status, 200U) << id;
      EXPECT_EQ(answer.end, AnswerEnd::kClosed) << id;
      EXPECT_EQ(answer.body, WholeBody(kind)) << id;
      if (std::string(kind) != "resumable") EXPECT_EQ(this->RunsOf(id), 1);
    }
  }
}

// A resumable stream is asked for its rest only as often as its route allows,
// and what had arrived is not withdrawn if nobody has more.
TEST_F(UnframedAnswerTest,
       ResumableStream_WithoutOtherUpstream_EndsAsReceived) {
  this->Start([](ScriptedExchange& exchange, int attempt) {
    if (attempt > 1) {
      exchange.Reset();
      return;
    }
    exchange.Write(Head(exchange.Id()) + Events(1));
    exchange.Close();
  });
  for (int i = 0; i < 8; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallerAnswer answer = this->Ask("resumable", id);
    EXPECT_EQ(answer.status, 200U) << id;
    EXPECT_EQ(answer.end, AnswerEnd::kClosed) << id;
    EXPECT_EQ(answer.body, Events(1)) << id;
    EXPECT_LE(this->RunsOf(id), 2) << id;
  }
}

// LOST: the wish to close a connection was taken for the mark of the answer's
// end, so that a whole answer of a full upstream was reset.
TEST_F(UnframedAnswerTest,
       FramedAnswerOfFullUpstreamThatCloses_IsServedAsSuch) {
  this->Start([this](ScriptedExchange& exchange, int /*attempt*/) {
    const bool is_stream = IsStream(KindOf(exchange));
    const std::string body =
        is_stream ? Events(FirstEvent(exchange)) : std::string(kPlainBody);
    const bool has_chunks = exchange.Id().starts_with("chunks");
    exchange.Write(Head(exchange.Id(),
                        "Connection: close\r\n" + Framing(has_chunks, body)) +
                   (has_chunks ? Chunk(body) + "0\r\n\r\n" : body));
    this->is_full = true;
    exchange.Close();
  });
  for (const char* framing : {"chunks", "length"}) {
    for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
      const std::string id = std::string(framing) + kind;
      this->is_full = false;
      const CallerAnswer answer = this->Ask(kind, id);
      EXPECT_EQ(answer.status, 200U) << id;
      EXPECT_EQ(answer.end, AnswerEnd::kFramed) << id;
      EXPECT_TRUE(answer.keeps_connection) << id;
      EXPECT_EQ(answer.body, WholeBody(kind)) << id;
      EXPECT_EQ(this->RunsOf(id), 1) << id;
    }
  }
}

// LOST: an upstream that has all its connections and resets a further one was
// taken for one that has died, and its stream for one that it broke off.
TEST_F(UnframedAnswerTest, StreamThatClosesAtFullUpstream_EndsAsReceived) {
  this->Start([this](ScriptedExchange& exchange, int /*attempt*/) {
    exchange.Write(Head(exchange.Id()) + Events(FirstEvent(exchange)));
    this->is_full = true;
    exchange.Close();
  });
  for (const char* kind : {"resumable", "stream"}) {
    for (int i = 0; i < 8; ++i) {
      const std::string id = kind + std::to_string(i);
      this->is_full = false;
      const CallerAnswer answer = this->Ask(kind, id);
      EXPECT_EQ(answer.status, 200U) << id;
      EXPECT_EQ(answer.end, AnswerEnd::kClosed) << id;
      EXPECT_EQ(answer.body, Events(1)) << id;
    }
  }
}

/// A stream of two events as an upstream may write it.
struct Dialect {
  std::string first_event;
  /// What stands between the events and belongs to none.
  std::string between;
  std::string second_event;

  std::string Body() const {
    return this->first_event + this->between + this->second_event;
  }
  /// True if a stream that stops after this many bytes stops at the end of an
  /// event.
  bool EndsBetweenEvents(size_t size) const {
    const size_t first = this->first_event.size();
    return size == this->Body().size() ||
           (size >= first && size <= first + this->between.size());
  }
};

std::vector<Dialect> Dialects() {
  return {
      {"id: 1\ndata: x\n\n", "", "id: 2\ndata: y\n\n"},
      {"id: 1\r\ndata: x\r\n\r\n", "", "id: 2\r\ndata: y\r\n\r\n"},
      {": wait\n\nid: 1\ndata: x\n\n", ": wait\n", "id: 2\ndata: y\n\n"},
      {"id: 1\ndata: a\ndata: b\n\n", "", "id: 2\ndata: c\ndata: d\n\n"},
      {"version: 3\nid: 1\ndata: x\n\n", "", "version: 4\nid: 2\ndata: y\n\n"},
      {"retry: 100\n\nid: 1\nevent: text\ndata: x\n\n", "",
       "id: 2\nretry: 5\ndata: y\n\n"},
      {"data: x\nid: 1\n\n", "", "data: y\nid: 2\n\n"}};
}

// ORDER: a stream that stops inside an event, or whose connection is reset, has
// been broken off, wherever that is.
TEST_F(UnframedAnswerTest, StreamThatStopsAtEachByte_IsNotWholeInsideAnEvent) {
  std::mutex mutex;
  std::string written;
  bool resets = false;
  this->Start([&](ScriptedExchange& exchange, int /*attempt*/) {
    const std::lock_guard lock(mutex);
    exchange.Write(Head(exchange.Id()) + written);
    if (resets) exchange.Reset();
    if (!resets) exchange.Close();
  });
  int served = 0;
  int tries = 0;
  for (const Dialect& dialect : Dialects()) {
    const std::string body = dialect.Body();
    for (size_t size = 0; size <= body.size(); ++size) {
      for (const bool reset : {false, true}) {
        {
          const std::lock_guard lock(mutex);
          written = body.substr(0, size);
          resets = reset;
        }
        const std::string id = "s" + std::to_string(++tries);
        const CallerAnswer answer = this->Ask("stream", id);
        const bool may_be_whole = !reset && dialect.EndsBetweenEvents(size);
        const bool looks_whole =
            answer.status == 200 && answer.end != AnswerEnd::kBroken;
        EXPECT_TRUE(may_be_whole || !looks_whole)
            << (reset ? "reset" : "closed") << " after \""
            << body.substr(0, size) << "\"";
        EXPECT_TRUE(!may_be_whole || looks_whole)
            << "not served: closed after \"" << body.substr(0, size) << "\"";
        if (looks_whole) ++served;
      }
    }
  }
  std::printf("  %d streams, %d served\n", tries, served);
}

/// An upstream that writes two events of its first answer and dies.
class DyingUpstream {
 public:
  DyingUpstream()
      : acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        address("127.0.0.1:" +
                std::to_string(acceptor.local_endpoint().port())),
        thread([this] { this->ServeAndDie(); }) {}
  ~DyingUpstream() {
    // Ends a wait for a request that did not come.
    ErrorCode ignored;
    Tcp::socket wake(this->context);
    wake.connect(this->endpoint, ignored);
    wake.close(ignored);
    this->thread.join();
  }
  DyingUpstream(const DyingUpstream&) = delete;
  DyingUpstream& operator=(const DyingUpstream&) = delete;
  const std::string& Address() const { return this->address; }

 private:
  void ServeAndDie() {
    ErrorCode error;
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    http::read(socket, buffer, request, error);
    if (!error) {
      const std::string text =
          "HTTP/1.1 200 OK\r\nAttempt-Id: " +
          std::string(request["Attempt-Id"]) +
          "\r\nRunner-Signature: s1\r\nContent-Type: text/event-stream\r\n"
          "\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n";
      asio::write(socket, asio::buffer(text), error);
    }
    this->acceptor.close(error);
    socket.shutdown(Tcp::socket::shutdown_send, error);
  }

  asio::io_context context;
  Tcp::acceptor acceptor;
  Tcp::endpoint endpoint = acceptor.local_endpoint();
  std::string address;
  std::thread thread;
};

// ORDER: an upstream process that dies closes its connections in order. Where
// it cannot be reached any more, its stream has been broken off.
TEST_F(UnframedAnswerTest, StreamOfAnUpstreamThatDied_IsBroken) {
  this->Start([](ScriptedExchange& exchange, int /*attempt*/) {
    exchange.Write("HTTP/1.1 503 Full\r\nAttempt-Id: " + exchange.Id() +
                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  });
  for (int i = 0; i < 5; ++i) {
    const std::string name = "d" + std::to_string(i);
    const DyingUpstream dying;
    this->PutEntry(name, dying.Address(), kSlots);
    CallerAnswer answer;
    for (int tries = 0; tries < 100 && answer.status != 200; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      answer = this->Ask("stream", name + "-" + std::to_string(tries));
    }
    EXPECT_EQ(answer.status, 200U) << name;
    EXPECT_EQ(answer.end, AnswerEnd::kBroken) << name;
    EXPECT_EQ(answer.body, Events(1, 2)) << name;
  }
}

// A stream that ends with its connection costs no other caller its connection.
TEST_F(UnframedAnswerTest, DoubtAboutAStream_LeavesOtherConnectionsOpen) {
  this->Start([](ScriptedExchange& exchange, int /*attempt*/) {
    if (exchange.Id().starts_with("framed")) {
      exchange.Write(Sized(exchange.Id(), Events(1)));
      return;
    }
    const bool is_cut = exchange.Id().starts_with("cut");
    exchange.Write(Head(exchange.Id()) + Events(1, 2) +
                   (is_cut ? "id: 3" : ""));
    exchange.Close();
  });
  asio::io_context context;
  Tcp::socket kept(context);
  const uint16_t port = this->gateway->CallersPort();
  for (int i = 0; i < 10; ++i) {
    const std::string number = std::to_string(i);
    const CallerAnswer framed = AskOn(kept, port, "stream", "framed" + number);
    EXPECT_EQ(framed.body, Events(1)) << i;
    EXPECT_EQ(framed.end, AnswerEnd::kFramed) << i;
    EXPECT_TRUE(framed.keeps_connection) << i;
    this->Ask("stream", "short" + number);
    EXPECT_EQ(this->Ask("stream", "cut" + number).end, AnswerEnd::kBroken);
  }
}

// ORDER: where only the end of the connection ends an answer, the death of the
// gateway must not look like it.
TEST_F(UnframedAnswerTest, GatewayThatIsKilled_DoesNotEndItsCallersStream) {
  this->Start([](ScriptedExchange& exchange, int /*attempt*/) {
    exchange.Write(Head(exchange.Id()) + Events(1, 2));
    exchange.AwaitClose();
  });
  GatewayProcess process({.store_address = this->store.Address()});
  asio::io_context context;
  ErrorCode error = asio::error::not_connected;
  for (int i = 0; i < 200 && error; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Tcp::socket probe(context);
    probe.connect({asio::ip::address_v4::loopback(), process.ReadinessPort()},
                  error);
    if (error) continue;
    HttpRequest request(http::verb::get, "/ready", 11);
    http::write(probe, request, error);
    boost::beast::flat_buffer buffer;
    HttpAnswer answer;
    http::read(probe, buffer, answer, error);
    if (!error && answer.result_int() != 200) error = asio::error::try_again;
  }
  ASSERT_FALSE(error) << "not ready in 4 s";

  Tcp::socket caller(context);
  caller.connect({asio::ip::address_v4::loopback(), process.CallersPort()});
  const std::string text =
      "POST /stream/x HTTP/1.1\r\nHost: choir.example\r\nAttempt-Id: k1\r\n"
      "Content-Length: 2\r\n\r\nhi";
  asio::write(caller, asio::buffer(text));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  http::read_header(caller, buffer, parser, error);
  ASSERT_FALSE(error);
  process.Signal(SIGKILL);
  http::read(caller, buffer, parser, error);
  EXPECT_TRUE(error) << "looks whole: " << parser.get().body();
}

}  // namespace
}  // namespace fuchsiadrum::gateway
