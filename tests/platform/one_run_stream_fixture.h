#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {

/// What a caller got for one request.
struct Received {
  unsigned int status = 0;
  /// True if the answer arrived whole.
  bool is_whole = false;
  std::string body;
};

/// A gateway before two upstreams with the same script, and requests whose
/// answer is a stream that may not be resumed: they may run once.
class OneRunStreamFixture : public PlatformFixture {
 protected:
  using Script = ScriptedUpstream::Script;

  static std::string Named(const std::string& id) {
    return id.empty() ? "" : "Attempt-Id: " + id + "\r\n";
  }
  static std::string Refusal(const std::string& id,
                             const std::string& status = "503 Full") {
    return "HTTP/1.1 " + status + "\r\n" + Named(id) +
           "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string StreamHead(const std::string& id) {
    return "HTTP/1.1 200 OK\r\n" + Named(id) +
           "Runner-Signature: s1\r\nContent-Type: text/event-stream\r\n";
  }
  static std::string Stream(const std::string& id) {
    return StreamHead(id) + "Transfer-Encoding: chunked\r\n\r\n" +
           Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n";
  }

  void PutStreamConfig() {
    const nlohmann::json config = {
        {"version", 1},
        {"routes",
         {{{"name", "ask"},
           {"host", "choir.example"},
           {"path_prefix", "/ask/"},
           {"kind", "streaming"},
           {"timeout_ms", 1200},
           {"service", "engine"},
           {"max_attempts", 1},
           {"resumable", false}}}},
        {"services", {{{"name", "engine"}, {"max_connections", 100}}}},
        {"limits", nlohmann::json::object()},
        {"tenants",
         {{{"name", "parish"}, {"api_keys", {"k1"}}, {"prepaid", 1000000}}}}};
    this->store.Put(kTopicOperators, "config", config.dump());
  }
  void PutScripted(const std::string& id, const ScriptedUpstream& upstream) {
    this->PutEntry(id, upstream.Address(), 8);
  }
  /// Starts a gateway and upstreams. `on_accept` is called for each connection
  /// to an upstream before the script.
  void Start(const Script& script, int count = 2,
             const Script& on_accept = nullptr) {
    for (int i = 1; i <= count; ++i) {
      this->upstreams.push_back(
          std::make_unique<ScriptedUpstream>(this->runs, script, on_accept));
    }
    this->PutStreamConfig();
    for (int i = 1; i <= count; ++i) {
      this->PutScripted("u" + std::to_string(i),
                        *this->upstreams[static_cast<size_t>(i - 1)]);
    }
    this->gateway = this->StartVm("vm-" + std::to_string(++this->starts));
  }
  void Stop() {
    this->TearDown();
    this->upstreams.clear();
  }

  /// Sends a request with a body of this size; `in_chunks`: in chunks of an
  /// eighth of it, with pauses.
  Received Ask(const std::string& id, size_t body_bytes, bool in_chunks) {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(
        {asio::ip::address_v4::loopback(), this->gateway->CallersPort()},
        error);
    std::string head =
        "POST /ask/x HTTP/1.1\r\nHost: choir.example\r\nDeadline-Ms: 900\r\n"
        "Key: k1\r\nToken-Counts: 100,50\r\n" +
        Named(id);
    const std::string body(body_bytes, 'x');
    if (in_chunks) {
      head += "Transfer-Encoding: chunked\r\n\r\n";
      asio::write(socket, asio::buffer(head), error);
      const size_t size = body_bytes / 8 + 1;
      for (size_t at = 0; at < body.size(); at += size) {
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
        asio::write(socket, asio::buffer(Chunk(body.substr(at, size))), error);
      }
      asio::write(socket, asio::buffer(std::string("0\r\n\r\n")), error);
    } else {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      asio::write(socket, asio::buffer(head + body), error);
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(1 << 24);
    http::read(socket, buffer, parser, error);
    return {.status = parser.is_header_done() ? parser.get().result_int() : 0,
            .is_whole = !error,
            .body = parser.get().body()};
  }

  static bool IsPromise(unsigned int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /// Sends requests with bodies of a length and in chunks before two upstreams
  /// with the script, and expects that none runs twice and that each promise of
  /// a gateway is true. Returns what the callers got.
  std::vector<Received> ExpectPromisesAreTrue(
      const std::string& name, const Script& script, size_t body_bytes = 2000,
      const Script& on_accept = nullptr) {
    this->Start(script, 2, on_accept);
    std::vector<Received> all;
    std::vector<std::string> ids;
    for (int i = 1; i <= 8; ++i) {
      ids.push_back("s" + std::to_string(this->starts) + "-" +
                    std::to_string(i));
      all.push_back(this->Ask(ids.back(), body_bytes, i % 2 == 0));
    }
    this->Stop();
    for (size_t i = 0; i < ids.size(); ++i) {
      const int ran = this->runs.Of(ids[i]);
      EXPECT_LE(ran, 1) << name << ": TWICE, request " << i + 1;
      if (IsPromise(all[i].status)) {
        EXPECT_EQ(ran, 0) << name << ": REFUSED, request " << i + 1 << ", "
                          << all[i].status;
      }
      if (all[i].status == 200 && all[i].is_whole) {
        EXPECT_EQ(all[i].body, Event(1) + Event(2))
            << name << ": MIXED or ORDER, request " << i + 1;
      }
    }
    return all;
  }

  RunRecord runs;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  int starts = 0;
};

}  // namespace fuchsiadrum::gateway
