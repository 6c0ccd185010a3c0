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

}  // namespace
}  // namespace fuchsiadrum::daemon
