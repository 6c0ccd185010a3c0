#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "tests/platform/unframed_answer_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Callers whose requests are none in HTTP/1.1.
class OddRequestTest : public UnframedAnswerFixture {
 protected:
  void StartSound() {
    this->Start([this](ScriptedExchange& exchange, int /*attempt*/) {
      ++this->arrivals;
      this->note = exchange.Field("X-Note");
      exchange.Write(Sized(exchange.Id(), kPlainBody));
    });
  }
  /// Sends a request with these fields and returns the status of its answer.
  unsigned int StatusOf(const std::string& fields) {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(
        {asio::ip::address_v4::loopback(), this->gateway->CallersPort()},
        error);
    const std::string text =
        "POST /safe/x HTTP/1.1\r\nHost: choir.example\r\nAttempt-Id: a\r\n" +
        fields + "\r\nhi";
    asio::write(socket, asio::buffer(text), error);
    return ReadAnswer(socket).status;
  }

  std::atomic<int> arrivals{0};
  std::string note;
};

// UNASKED: a line of the head is no field. Another reader could take it for the
// framing or for an id.
TEST_F(OddRequestTest, FieldOutsideTheGrammar_IsRefused) {
  this->StartSound();
  for (const std::string field :
       {"Content Length: 2\r\n", "Content-Length : 2\r\n", "X\x01: a\r\n",
        "X\x7f: a\r\n", "X\xe9: a\r\n", ": a\r\n", "X\r: a\r\n", "X: a\x01\r\n",
        "X: a\x7f\r\n", "X: a\rb\r\n", "X: a\nb: c\r\n",
        "Content-Length: +2\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    EXPECT_EQ(this->StatusOf(field), 400U) << testing::PrintToString(field);
  }
  EXPECT_EQ(this->arrivals, 0);
}

// UNASKED: a folded line is part of the value before it, and of nothing else.
TEST_F(OddRequestTest, FoldedLine_IsJoinedToItsField) {
  this->StartSound();
  EXPECT_EQ(
      this->StatusOf("X-Note: a\r\n Attempt-Id: b\r\nContent-Length: 2\r\n"),
      200U);
  EXPECT_EQ(this->arrivals, 1);
  EXPECT_EQ(this->note, "a Attempt-Id: b");
}

}  // namespace
}  // namespace fuchsiadrum::gateway
