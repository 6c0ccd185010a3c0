#include <condition_variable>

#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

/// Upstreams and callers that send bytes without end.
class EndlessInputTest : public DaemonFixture {
 protected:
  /// What socket buffers and the daemon take of bytes without end.
  static constexpr size_t kMaxBytesTaken = 16777216;
  /// Ends a test whose bytes are all taken.
  static constexpr size_t kGiveUpBytes = 268435456;

  /// Starts the daemon before an upstream that writes `head`, then `piece`
  /// until its connection is closed.
  void StartEndless(const std::string& head, const std::string& piece) {
    this->Start([this, head, piece](const std::string&, Tcp::socket& socket) {
      this->written += WriteUntilClosed(socket, head, piece);
      return false;
    });
  }
  static size_t WriteUntilClosed(Tcp::socket& socket, const std::string& head,
                                 const std::string& piece) {
    ErrorCode error;
    size_t written = asio::write(socket, asio::buffer(head), error);
    while (!error && written < kGiveUpBytes) {
      written += asio::write(socket, asio::buffer(piece), error);
    }
    return written;
  }
  /// Asks for an answer that is not streamed and expects that the upstream's
  /// connection is closed soon and the caller told so.
  void ExpectBroken() {
    const std::string answer = this->Exchange(this->ChatText(false));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer.substr(0, 200);
    EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos)
        << answer.substr(0, 400);
    this->upstream.reset();
    EXPECT_LT(this->written, kMaxBytesTaken);
  }

  std::atomic<size_t> written{0};
};

// The process kept all of a chunk-size line, whose length Beast does not limit.
TEST_F(EndlessInputTest, ChunkSizeLineOfUpstream_IsABrokenAnswer) {
  this->StartEndless(StreamHead() + "5;", std::string(65536, 'x'));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, TrailerOfUpstream_IsABrokenAnswer) {
  this->StartEndless(StreamHead() + "0\r\nX-More: ", std::string(65536, 'x'));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, HeadOfUpstream_IsABrokenAnswer) {
  this->StartEndless("HTTP/1.1 200 OK\r\nX-More: ", std::string(65536, 'x'));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, BytesThatAreNoAnswer_AreABrokenAnswer) {
  this->StartEndless("", std::string(65536, 'x'));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, EventOfUpstream_IsABrokenAnswer) {
  this->StartEndless(StreamHead(), Chunk(std::string(65536, 'x')));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, RefusalOfUpstream_IsABrokenAnswer) {
  this->StartEndless(ChunkedHead(422, {}, true),
                     Chunk(std::string(65536, 'x')));
  this->ExpectBroken();
}

// An answer that is assembled from its events was kept whole, however long.
TEST_F(EndlessInputTest, TokensOfAnswerThatIsAssembled_AreABrokenAnswer) {
  this->StartEndless(StreamHead(), TokenEvent(std::string(1000, 'x')));
  this->ExpectBroken();
}

TEST_F(EndlessInputTest, ToolCallsOfAnswerThatIsAssembled_AreABrokenAnswer) {
  this->StartEndless(
      StreamHead(),
      Event(R"({"id":"c","choices":[{"index":0,"delta":{"tool_calls":[")" +
            std::string(1000, 'x') + R"("]}}]})"));
  this->ExpectBroken();
}

// Answers below their bound added up to any size.
TEST_F(EndlessInputTest, AnswersTogetherBeyondTheirMemory_AreBroken) {
  this->settings.mutable_request()->set_answer_memory_bytes(100000);
  std::mutex mutex;
  std::condition_variable arrived;
  int waiting = 0;
  this->Start([&](const std::string&, Tcp::socket& socket) {
    // Each answer is held but for its last byte until both have arrived, or
    // until this connection is closed.
    const std::string head = "HTTP/1.1 422 No\r\nContent-Length: 60000\r\n\r\n";
    Put(socket, head + std::string(59999, 'x'));
    std::unique_lock lock(mutex);
    ++waiting;
    arrived.notify_all();
    arrived.wait_for(lock, std::chrono::seconds(5),
                     [&] { return waiting % 2 == 0; });
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return Put(socket, "x");
  });
  for (int round = 0; round < 2; ++round) {
    std::string answers[2];
    std::thread other(
        [&] { answers[1] = this->Exchange(this->ChatText(false)); });
    answers[0] = this->Exchange(this->ChatText(false));
    other.join();
    int whole = 0;
    for (const std::string& answer : answers) {
      if (answer.starts_with("HTTP/1.1 422 ")) ++whole;
    }
    // The memory is given back with the answers.
    EXPECT_EQ(whole, 1) << "round " << round;
  }
}

// A stream that can't be kept for a repeat must still reach its caller.
TEST_F(EndlessInputTest, StreamBeyondTheMemoryForAnswers_IsServed) {
  this->settings.mutable_request()->set_answer_memory_bytes(1000);
  this->core->keep_answer = true;
  this->Start([](const std::string&, Tcp::socket& socket) {
    bool is_open = Put(socket, StreamHead());
    for (int i = 0; i < 10 && is_open; ++i) {
      is_open = Put(socket, TokenEvent(std::string(500, 'x')));
    }
    return is_open && Put(socket, UsageEvent() + EndOfStream());
  });
  const std::string answer = this->Exchange(this->ChatText(true));
  EXPECT_TRUE(answer.ends_with("0\r\nX-Outcome: complete\r\n\r\n"));
  node::AttemptEvent event;
  ASSERT_TRUE(this->core->WaitFor(node::AttemptEventKind::kCompleted, &event));
  EXPECT_FALSE(event.answer);
}

// The same line in a caller's request.
TEST_F(EndlessInputTest, ChunkSizeLineOfCaller_EndsItsConnection) {
  this->StartEndless("", "");
  RawClient client(this->Port());
  const size_t taken = WriteUntilClosed(
      client.Socket(),
      "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer "
      "k\r\nContent-Type: application/json\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5;",
      std::string(65536, 'x'));
  EXPECT_LT(taken, kMaxBytesTaken);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
