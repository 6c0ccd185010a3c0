#include <gtest/gtest.h>

#include <atomic>
#include <chrono>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Upstreams that leave, ask for a pause, or send bytes without end.
class UpstreamTroubleTest : public PlatformFixture {
 protected:
  /// Writes `piece` until the gateway closes the connection; the bytes written.
  size_t WriteWithoutEnd(Tcp::socket& socket, const std::string& head,
                         const std::string& piece) const {
    ErrorCode error;
    size_t written = asio::write(socket, asio::buffer(head), error);
    while (!error) {
      written += asio::write(socket, asio::buffer(piece), error);
      std::this_thread::sleep_for(this->pause);
    }
    return written;
  }

  /// An upstream that answers each request by `head`, and then sends `piece`
  /// without end.
  LoopbackServer::Handler Endless(std::string head, std::string piece) {
    return [this, head = std::move(head), piece = std::move(piece)](
               const HttpRequest&, Tcp::socket& socket) {
      this->written = WriteWithoutEnd(socket, head, piece);
      return std::optional<HttpAnswer>();
    };
  }

  /// Calls an endless upstream; the answer's status.
  unsigned CallEndless(const std::string& head, const std::string& piece,
                       const std::string& target) {
    LoopbackServer upstream(this->Endless(head, piece));
    this->PutConfig(1, 100000);
    this->PutUpstream("u1", upstream);
    this->StartGateway();
    const auto begin = std::chrono::steady_clock::now();
    const unsigned status = this->Call(Request(target, "100,10")).result_int();
    this->took = std::chrono::steady_clock::now() - begin;
    return status;
  }

  static constexpr char kStreamHead[] =
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nRunner-Signature: s1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  /// The sockets' buffers and the gateway's own bounds.
  static constexpr size_t kMostTaken = 16777216;

  /// Between two pieces.
  std::chrono::milliseconds pause{0};
  std::atomic<size_t> written{0};
  std::chrono::steady_clock::duration took{};
};

// DRAIN: the upstream's own word binds, whatever the store says.
TEST_F(UpstreamTroubleTest, LeavingUpstream_GetsNothingAfterItsAnswer) {
  std::atomic<int> runs{0};
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    ++runs;
    HttpAnswer answer = Signed(request);
    answer.set("Server-Leaving", "1");
    answer.body() = "booked";
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  const HttpAnswer last = this->Call(Request("/book/robes"));
  EXPECT_EQ(last.result_int(), 200U);
  EXPECT_EQ(last.count("Server-Leaving"), 0U);
  this->PutUpstream("u1", upstream);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 503U);
  EXPECT_EQ(runs, 1);
}

// BUDGET: a 503 with Retry-After closes the upstream for that time, and callers
// are told when it comes back.
TEST_F(UpstreamTroubleTest, PausedUpstream_GetsNothingUntilThen) {
  std::atomic<int> arrivals{0};
  LoopbackServer upstream([&](const HttpRequest& request, auto&) {
    if (++arrivals > 1) {
      HttpAnswer answer = Signed(request);
      answer.body() = "booked";
      return std::optional(answer);
    }
    HttpAnswer answer(http::status::service_unavailable, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    answer.set("Not-Executed", "1");
    answer.set("Retry-After", "1.5");
    return std::optional(answer);
  });
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 503U);
  const HttpAnswer refused = this->Call(Request("/book/robes"));
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_EQ(arrivals, 1);
  const double back = std::stod("0" + std::string(refused["Retry-After"]));
  EXPECT_GT(back, 1.0);
  EXPECT_LE(back, 1.5);

  std::this_thread::sleep_for(std::chrono::milliseconds(1550));
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 200U);
}

TEST_F(UpstreamTroubleTest, EndlessHead_IsABrokenAnswer) {
  EXPECT_EQ(
      this->CallEndless("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", "/book/robes"),
      502U);
  EXPECT_LT(this->written, kMostTaken);
}

TEST_F(UpstreamTroubleTest, EndlessField_IsABrokenAnswer) {
  EXPECT_EQ(this->CallEndless("HTTP/1.1 200 OK\r\nX-More: ",
                              std::string(1000, 'x'), "/book/robes"),
            502U);
  EXPECT_LT(this->written, kMostTaken);
}

TEST_F(UpstreamTroubleTest, EndlessChunkSize_IsABrokenAnswer) {
  EXPECT_EQ(this->CallEndless(std::string(kStreamHead) + "5;",
                              std::string(1000, 'x'), "/book/robes"),
            502U);
  EXPECT_LT(this->written, kMostTaken);
}

TEST_F(UpstreamTroubleTest, EndlessBody_IsABrokenAnswer) {
  EXPECT_EQ(this->CallEndless(std::string(kStreamHead),
                              "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                              "/book/robes"),
            502U);
  EXPECT_LT(this->written, kMostTaken);
}

// An event that never ends is held back, so its size must be bounded.
TEST_F(UpstreamTroubleTest, EndlessEvent_IsABrokenAnswer) {
  EXPECT_EQ(this->CallEndless(std::string(kStreamHead),
                              "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                              "/draft/x"),
            502U);
  EXPECT_LT(this->written, kMostTaken);
}

// The rejection is known with its head: the caller gets it at once.
TEST_F(UpstreamTroubleTest, EndlessRejection_IsToldAtOnce) {
  this->pause = std::chrono::milliseconds(20);
  EXPECT_EQ(
      this->CallEndless("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\n"
                        "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "1\r\nx\r\n", "/book/robes"),
      503U);
  EXPECT_LT(this->took, std::chrono::milliseconds(600));
}

// A late answer to another request that never ends must not stand for ours.
TEST_F(UpstreamTroubleTest, EndlessForeignAnswer_IsABrokenAnswer) {
  EXPECT_EQ(
      this->CallEndless(
          "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nRunner-Signature: s\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          "3e8\r\n" + std::string(1000, 'x') + "\r\n", "/book/robes"),
      502U);
  EXPECT_LT(this->written, kMostTaken);
}

// Bodies of callers that no route of theirs bounds together must not exceed the
// process's memory.
TEST_F(UpstreamTroubleTest, ManyLargeBodies_AreRefusedBeforeMemoryIsFull) {
  LoopbackServer upstream(AnswerOneEvent);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->memory_mb = 8;
  this->StartGateway();

  HttpRequest large = Request("/book/robes");
  large.body() = std::string(3000000, 'x');
  large.prepare_payload();
  EXPECT_EQ(this->Call(large).result_int(), 503U);
  EXPECT_EQ(this->Call(Request("/draft/x", "100,10")).result_int(), 200U);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
