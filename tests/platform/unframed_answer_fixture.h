#pragma once

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {

/// How an answer ended that a caller has read up to its end.
enum class AnswerEnd {
  kFramed,  // its length or its last chunk was reached
  kClosed,  // it has neither, and the connection was closed in order
  kBroken,  // reset, or closed before the end that its framing names
};

/// What a caller got for one request.
struct CallerAnswer {
  unsigned int status = 0;
  AnswerEnd end = AnswerEnd::kBroken;
  bool keeps_connection = false;
  std::string body;
};

/// A gateway before two upstreams whose answers end with their connection, with
/// one route for each kind of request: "/safe/", "/unsafe/", "/resumable/" and
/// "/stream/", the last of which may not be resumed.
class UnframedAnswerFixture : public PlatformFixture {
 protected:
  /// Writes an answer and ends it. `attempt`: 1 for the first upstream that
  /// gets the request.
  using Script = std::function<void(ScriptedExchange& exchange, int attempt)>;

  static constexpr int kEvents = 4;
  static constexpr int kSlots = 100;
  static constexpr char kPlainBody[] = "the whole answer of the upstream";

  static std::string Events(int first, int last = kEvents) {
    std::string body;
    for (int i = first; i <= last; ++i) body += Event(i);
    return body;
  }
  /// The whole body of an answer to this kind of request.
  static std::string WholeBody(const std::string& kind) {
    return IsStream(kind) ? Events(1) : kPlainBody;
  }
  static bool IsStream(const std::string& kind) {
    return kind == "resumable" || kind == "stream";
  }
  /// The head of an answer. Without `framing`, only the end of the connection
  /// ends it.
  static std::string Head(const std::string& id,
                          const std::string& framing = "") {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nRunner-Signature: s1\r\nContent-Type: text/event-stream\r\n" +
           framing + "\r\n";
  }
  static std::string Sized(const std::string& id, const std::string& body) {
    return Head(id, Framing(false, body)) + body;
  }
  /// The field that marks the end of the body.
  static std::string Framing(bool has_chunks, const std::string& body) {
    return has_chunks
               ? std::string("Transfer-Encoding: chunked\r\n")
               : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  /// Kind of the route that the request has taken.
  static std::string KindOf(ScriptedExchange& exchange) {
    const std::string target(exchange.Request().target());
    return target.substr(1, target.find('/', 1) - 1);
  }
  /// Number of the first event that the request asks for.
  static int FirstEvent(ScriptedExchange& exchange) {
    const std::string last = exchange.Field("Last-Event-Id");
    return last.empty() ? 1 : std::stoi(last) + 1;
  }

  void Start(Script answer_script) {
    this->script = std::move(answer_script);
    this->retry_slack = 100000;
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string kind : {"safe", "unsafe", "resumable", "stream"}) {
      routes.push_back(RouteOfKind(kind, kind, 3000));
    }
    this->PutRoutes(routes);
    for (int i = 1; i <= 2; ++i) {
      this->upstreams.push_back(std::make_unique<ScriptedUpstream>(
          this->runs, [this](ScriptedExchange& e) { this->Serve(e); },
          [this](ScriptedExchange& e) {
            if (this->is_full) e.Reset();
          }));
      this->PutEntry("u" + std::to_string(i), this->upstreams.back()->Address(),
                     kSlots);
    }
    this->gateway = this->StartVm("vm-1");
  }
  void TearDown() override {
    PlatformFixture::TearDown();
    this->upstreams.clear();
  }

  CallerAnswer Ask(const std::string& kind, const std::string& id) {
    asio::io_context context;
    Tcp::socket socket(context);
    return this->AskOn(socket, this->gateway->CallersPort(), kind, id);
  }
  /// Sends the request on the connection, which is opened first if it is not
  /// open, and reads the answer up to its end.
  static CallerAnswer AskOn(Tcp::socket& socket, uint16_t port,
                            const std::string& kind, const std::string& id) {
    ErrorCode error;
    if (!socket.is_open()) {
      socket.connect({asio::ip::address_v4::loopback(), port}, error);
    }
    const std::string text = "POST /" + kind +
                             "/x HTTP/1.1\r\nHost: choir.example\r\n"
                             "Attempt-Id: " +
                             id + "\r\nContent-Length: 2\r\n\r\nhi";
    asio::write(socket, asio::buffer(text), error);
    return ReadAnswer(socket);
  }
  static CallerAnswer ReadAnswer(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    ErrorCode error;
    http::read(socket, buffer, parser, error);
    if (!parser.is_header_done()) return {};
    CallerAnswer answer;
    answer.status = parser.get().result_int();
    answer.body = parser.get().body();
    if (!error && parser.is_done()) {
      answer.end =
          parser.get().need_eof() ? AnswerEnd::kClosed : AnswerEnd::kFramed;
      answer.keeps_connection = parser.keep_alive();
    }
    return answer;
  }
  int RunsOf(const std::string& id) { return this->runs.Of(id); }

  /// True while the upstreams reset new connections, as at max_connections.
  std::atomic<bool> is_full{false};

 private:
  void Serve(ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Run();
    this->script(exchange, this->runs.Of(exchange.Id()));
  }

  Script script;
  RunRecord runs;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
};

}  // namespace fuchsiadrum::gateway
