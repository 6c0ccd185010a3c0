// Upstreams and platforms whose answers are none in HTTP/1.1.
#include <chrono>
#include <string>
#include <thread>

#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

class OddAnswerTest : public DaemonFixture {
 protected:
  /// Starts the daemon before an upstream that gives this answer to calls of a
  /// service, and one with the same start and a stream to chats.
  void StartWith(const std::string& start) {
    this->Start([start](const std::string& request, Tcp::socket& socket) {
      const bool is_chat = request.starts_with("POST /v1/chat");
      Put(socket, start + (is_chat ? StreamRest() : ServiceRest()));
      return false;
    });
  }
  static std::string ServiceRest() {
    return "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked";
  }
  static std::string StreamRest(const std::string& trailer = "") {
    return "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           TokenEvent("a") + UsageEvent() + Event("[DONE]") + "0\r\n" +
           trailer + "\r\n";
  }
  std::string CallService() {
    return this->Exchange(RequestText(
        "POST", "/services/book/rooms", "test",
        {{"Authorization", "Bearer key"}, {"Connection", "close"}}, "{}"));
  }
  /// Stops the daemon and its upstream.
  void Stop() {
    this->TearDown();
    this->owned_core = std::make_unique<FakeCore>();
    this->core = this->owned_core.get();
  }
  void ExpectRefused(const std::string& start) {
    this->StartWith(start);
    for (const std::string& answer :
         {this->CallService(), this->Exchange(this->ChatText(false)),
          this->Exchange(this->ChatText(true))}) {
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 "))
          << testing::PrintToString(start) << answer.substr(0, 200);
      EXPECT_NE(answer.find("X-Outcome: unknown\r\n"), std::string::npos);
    }
    this->Stop();
  }
};

// Guards against a status that HTTP doesn't know.
TEST_F(OddAnswerTest, StatusOutOfRange_ReachesNoCaller) {
  for (const char* status : {"000", "099", "600", "999", "20", "2000", "20x"}) {
    this->ExpectRefused("HTTP/1.1 " + std::string(status) + " OK\r\n");
  }
}

// Guards against a line of the head that another reader reads differently.
TEST_F(OddAnswerTest, FieldOutsideTheGrammar_ReachesNoCaller) {
  for (const char* field :
       {"Content Length: 2", "Content-Length : 2", "X\x01: a", "X\x7f: a",
        "X\xe9: a", ": a", "X: a\x01", "X: a\rb", "X: a\nb: c",
        "X: a\r\n X-Not-Run: true", "X: a\r\n\tb"}) {
    this->ExpectRefused("HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n");
  }
}

// Guards against whole answers that are refused because their upstream
// announces the close of the connection.
TEST_F(OddAnswerTest, FramedAnswerWithClose_IsServed) {
  for (const char* body :
       {"Content-Length: 6\r\n\r\nbooked",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n"}) {
    this->Start([body](const std::string&, Tcp::socket& socket) {
      Put(socket,
          "HTTP/1.1 200 OK\r\nConnection: close\r\n" + std::string(body));
      return false;
    });
    const std::string answer = this->CallService();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with("booked")) << answer;
    this->Stop();
  }
}

// Guards against a body that is still encoded.
TEST_F(OddAnswerTest, UnknownTransferCoding_ReachesNoCaller) {
  for (const char* coding : {"gzip, chunked", "gzip", "identity"}) {
    this->Start([coding](const std::string&, Tcp::socket& socket) {
      Put(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: " +
                      std::string(coding) + "\r\n\r\n6\r\nbooked\r\n0\r\n\r\n");
      return false;
    });
    const std::string answer = this->CallService();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << coding << answer;
    this->Stop();
  }
}

// Guards against a trailer that another reader reads differently.
TEST_F(OddAnswerTest, TrailerOutsideTheGrammar_EndsNoAnswer) {
  for (const char* trailer :
       {"X y: a\r\n", "X\x01: a\r\n", "X: a\x01\r\n", "X: a\r\n b\r\n"}) {
    this->Start([trailer](const std::string&, Tcp::socket& socket) {
      Put(socket,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "6\r\nbooked\r\n0\r\n" +
              std::string(trailer) + "\r\n");
      return false;
    });
    const std::string answer = this->CallService();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 "))
        << testing::PrintToString(trailer);
    this->Stop();
  }
}

// Guards against the part of an answer that a reset ends while the request is
// written.
TEST_F(OddAnswerTest, ResetDuringTheUpload_IsNoEndOfAnAnswer) {
  this->settings.mutable_front()->set_max_body_bytes(8U << 20U);
  for (const bool is_reset : {false, true}) {
    asio::io_context context;
    Tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::thread server([&] {
      std::string head;
      Tcp::socket socket(context);
      // Polls of the load come at any time.
      while (!head.starts_with("POST")) {
        head.clear();
        socket = acceptor.accept();
        ErrorCode ignored;
        asio::read_until(socket, asio::dynamic_buffer(head, 4096), "\r\n\r\n",
                         ignored);
      }
      Put(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nboo");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (is_reset) socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    });
    this->core->address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    this->StartDaemon();
    const std::string answer = this->Exchange(
        RequestText("POST", "/services/book/rooms", "test",
                    {{"Authorization", "Bearer key"}, {"Connection", "close"}},
                    std::string(6U << 20U, 'x')));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    server.join();
    this->Stop();
  }
}

// Sound answers stay served, however unusual they look.
TEST_F(OddAnswerTest, UnusualSoundAnswer_IsServed) {
  for (const char* start :
       {"HTTP/1.1 200 \r\n", "HTTP/1.1 200 \xe9t\xe9\r\nX:\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \t a \t b\xff \r\n"}) {
    this->StartWith(start);
    EXPECT_TRUE(this->CallService().ends_with("\r\n\r\nbooked")) << start;
    const std::string answer = this->Exchange(this->ChatText(false));
    EXPECT_NE(answer.find("X-Outcome: complete\r\n"), std::string::npos)
        << answer;
    this->Stop();
  }
}

}  // namespace
}  // namespace fuchsiadrum::daemon
