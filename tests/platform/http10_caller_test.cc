#include <gtest/gtest.h>

#include <string>

#include "tests/platform/unframed_answer_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// What a caller of HTTP/1.0 has read up to the end of its connection.
struct RawAnswer {
  std::string head;
  std::string body;
  bool was_reset = false;
};

/// Callers of HTTP/1.0, which has no chunks.
class Http10CallerTest : public UnframedAnswerFixture {
 protected:
  /// Starts upstreams that write a stream in chunks, with its end if
  /// `is_whole`.
  void StartChunked(bool is_whole) {
    this->Start([is_whole](ScriptedExchange& exchange, int /*attempt*/) {
      exchange.Write(Head(exchange.Id(), "Transfer-Encoding: chunked\r\n") +
                     Chunk(Events(1, 2)));
      if (is_whole) {
        exchange.Write(Chunk(Events(3)) + "0\r\n\r\n");
      } else {
        exchange.Reset();
      }
    });
  }
  RawAnswer AskRaw(const std::string& fields = "") {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(
        {asio::ip::address_v4::loopback(), this->gateway->CallersPort()},
        error);
    const std::string text =
        "POST /stream/x HTTP/1.0\r\nHost: choir.example\r\nAttempt-Id: a\r\n" +
        fields + "Content-Length: 2\r\n\r\nhi";
    asio::write(socket, asio::buffer(text), error);
    std::string bytes;
    asio::read(socket, asio::dynamic_buffer(bytes), error);
    const size_t end = bytes.find("\r\n\r\n") + 4;
    return {.head = bytes.substr(0, end),
            .body = bytes.substr(end),
            .was_reset = error != asio::error::eof};
  }
};

// MIXED, ORDER: a chunk's size line in the body of a caller that knows no
// chunks.
TEST_F(Http10CallerTest, StreamInChunks_EndsWithTheConnection) {
  this->StartChunked(true);
  for (const char* fields : {"", "Connection: keep-alive\r\n"}) {
    const RawAnswer answer = this->AskRaw(fields);
    EXPECT_EQ(answer.head.find("Transfer-Encoding"), std::string::npos);
    EXPECT_EQ(answer.body, Events(1));
    EXPECT_FALSE(answer.was_reset);
  }
}

// ORDER: a stream that was cut must not look complete.
TEST_F(Http10CallerTest, StreamThatBreaksOff_IsReset) {
  this->StartChunked(false);
  EXPECT_TRUE(this->AskRaw().was_reset);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
