#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/gateway_process.h"
#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {

/// A request of a test: what is sent when, and what came of it. Times are
/// milliseconds since the stop signal.
struct TestCall {
  /// "safe", "unsafe", "resumable" or "stream".
  std::string kind;
  /// How long the upstream works on it.
  int answer_ms = 0;
  /// When the first byte is sent, and how long the body takes.
  int send_at = 0;
  int body_ms = 0;
  /// The route's time in the configuration; 0: `answer_ms`.
  int route_ms = 0;
  /// Further header fields, each with its line end.
  std::string fields;
  std::string id;

  bool is_connected = false;
  /// When the last byte was sent; -1: not all bytes could be sent.
  int sent_at = -1;
  int ended_at = 0;
  unsigned int status = 0;
  bool is_whole = false;
  bool keeps_alive = false;
  std::string body;

  bool IsStream() const {
    return this->kind == "resumable" || this->kind == "stream";
  }
};

/// A gateway process that is stopped by a signal, before one upstream in calm.
class PlannedStopFixture : public PlatformFixture {
 protected:
  using Clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;

  static constexpr int kEventMs = 50;
  /// Time after SIGTERM in which a request may be sent whose upstream may still
  /// work in the last sixth of the grace time (rule LOST).
  static constexpr int kEarlyMs = 3000;
  /// Slack of rule LOST for the answer to a request that was not passed on.
  static constexpr int kLossSlackMs = 200;

  /// Writes one route for each kind and time of an answer.
  void PutRoutesOfTimes() {
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string kind : {"safe", "unsafe", "resumable", "stream"}) {
      for (const int ms : {50, 400, 1500, 6000}) {
        routes.push_back(
            RouteOfKind(kind + "-" + std::to_string(ms), kind, 20000));
      }
    }
    this->PutRoutes(routes);
  }

  void StartProcess(double grace_s) {
    this->PutRoutesOfTimes();
    this->upstream = std::make_unique<ScriptedUpstream>(
        this->runs,
        [this](ScriptedExchange& exchange) { this->Run(exchange); });
    this->PutEntry("u1", this->upstream->Address(), 400);
    this->grace_ms = static_cast<int>(grace_s * 1000);
    this->process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        .store_address = this->store.Address(), .grace_s = grace_s});
    ASSERT_NO_FATAL_FAILURE(this->WaitReady(this->process->ReadinessPort()));
    this->stop_at = Clock::now();
  }
  void TearDown() override {
    this->process.reset();
    this->over = true;
    this->upstream.reset();
    PlatformFixture::TearDown();
  }

  int Elapsed() const {
    return static_cast<int>(
        std::chrono::duration_cast<milliseconds>(Clock::now() - this->stop_at)
            .count());
  }
  void WaitUntil(int at) const {
    std::this_thread::sleep_until(this->stop_at + milliseconds(at));
  }

  /// The upstream: works as long as the request's id says. A stream sends an
  /// event every kEventMs.
  void Run(ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Run();
    const std::string id = exchange.Id();
    const int ms = std::stoi(id.substr(id.find('.') + 1));
    const bool is_stream = id.starts_with("resumable") || id.starts_with("str");
    const std::string head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRunner-Signature: s1\r\n";
    if (is_stream) {
      exchange.Write(head + "Transfer-Encoding: chunked\r\n\r\n");
      for (int event = 1; event * kEventMs <= ms && !this->over; ++event) {
        std::this_thread::sleep_for(milliseconds(kEventMs));
        exchange.Write(Chunk(Event(event)));
      }
    }
    const int slept = is_stream ? ms - ms % kEventMs : 0;
    const auto end = Clock::now() + milliseconds(ms - slept);
    while (Clock::now() < end && !this->over) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    {
      const std::lock_guard lock(this->mutex);
      this->finished[id] = this->Elapsed();
    }
    exchange.Write(is_stream ? "0\r\n\r\n"
                             : head + "Content-Length: 4\r\n\r\ndone");
  }

  /// Makes the call on a connection, which is opened if it is not.
  void Make(TestCall& call, Tcp::socket& socket) {
    ErrorCode error;
    call.id = call.kind + "." + std::to_string(call.answer_ms) + "." +
              std::to_string(++this->made);
    if (!socket.is_open()) {
      socket.connect(
          {asio::ip::address_v4::loopback(), this->process->CallersPort()},
          error);
    }
    call.is_connected = !error;
    const int route_ms = call.route_ms > 0 ? call.route_ms : call.answer_ms;
    const std::string head =
        "POST /" + call.kind + "-" + std::to_string(route_ms) +
        "/x HTTP/1.1\r\nHost: choir.example\r\n"
        "Attempt-Id: " +
        call.id + "\r\n" + call.fields + "Content-Length: 8\r\n\r\n";
    if (!error) asio::write(socket, asio::buffer(head), error);
    for (int i = 0; i < 4 && !error; ++i) {
      if (call.body_ms > 0) {
        std::this_thread::sleep_for(milliseconds(call.body_ms / 4));
      }
      asio::write(socket, asio::buffer(std::string("xx")), error);
    }
    if (!error) call.sent_at = this->Elapsed();
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    error = {};
    if (call.is_connected) http::read(socket, buffer, parser, error);
    call.ended_at = this->Elapsed();
    if (call.is_connected && parser.is_header_done()) {
      call.status = parser.get().result_int();
      call.is_whole = !error;
      call.body = parser.get().body();
      call.keeps_alive = call.is_whole && parser.get().keep_alive();
    }
    if (!call.keeps_alive) socket.close(error);
  }

  /// Starts a caller of one request.
  void StartOnce(const TestCall& planned) {
    this->callers.emplace_back([this, planned] {
      TestCall call = planned;
      this->WaitUntil(call.send_at);
      asio::io_context context;
      Tcp::socket socket(context);
      this->Make(call, socket);
      this->Keep(call);
    });
  }
  /// Starts a caller that sends one request after the other until the process
  /// has ended. `keeps`: on one connection while that is open.
  void StartSeries(const TestCall& planned, bool keeps) {
    this->callers.emplace_back([this, planned, keeps] {
      asio::io_context context;
      Tcp::socket socket(context);
      while (!this->has_ended) {
        TestCall call = planned;
        call.send_at = this->Elapsed();
        this->Make(call, socket);
        this->Keep(call);
        ErrorCode ignored;
        if (!keeps) socket.close(ignored);
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  /// Starts a caller of two requests, the second one right after the answer to
  /// the first one and on its connection.
  void StartPair(const TestCall& first, const TestCall& second) {
    this->callers.emplace_back([this, first, second] {
      asio::io_context context;
      Tcp::socket socket(context);
      TestCall call = first;
      this->WaitUntil(call.send_at);
      this->Make(call, socket);
      this->Keep(call);
      if (!call.keeps_alive) return;
      call = second;
      call.send_at = this->Elapsed();
      this->Make(call, socket);
      this->Keep(call);
    });
  }
  void Keep(const TestCall& call) {
    const std::lock_guard lock(this->mutex);
    this->calls.push_back(call);
  }
  /// Sends the signal at the time 0 and waits for the end of the process, then
  /// for all callers. Returns the time of the end.
  int Stop(const std::vector<std::pair<int, int>>& later_signals = {}) {
    this->WaitUntil(0);
    this->process->Signal(SIGTERM);
    for (const auto& [at, signal] : later_signals) {
      this->WaitUntil(at);
      this->process->Signal(signal);
    }
    const std::optional<int> status =
        this->process->AwaitEnd(milliseconds(this->grace_ms + 1000));
    const int ended = this->Elapsed();
    this->has_ended = true;
    EXPECT_TRUE(status.has_value()) << "still runs after the grace time";
    if (!status) this->process->Signal(SIGKILL);
    if (status) {
      EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0)
          << "wait status " << *status;
    }
    for (std::thread& caller : this->callers) caller.join();
    this->callers.clear();
    return ended;
  }
  /// Lets the gateway serve ten requests of each of these routes at once.
  /// `fields`: further header fields of the requests.
  void WarmUp(const std::vector<int>& answer_times,
              const std::string& fields = "") {
    std::vector<std::thread> threads;
    for (const char* kind : {"safe", "unsafe", "resumable", "stream"}) {
      for (const int ms : answer_times) {
        for (int i = 0; i < 10; ++i) {
          threads.emplace_back([this, kind, ms, fields] {
            asio::io_context context;
            Tcp::socket socket(context);
            TestCall call = {.kind = kind, .answer_ms = ms, .fields = fields};
            this->Make(call, socket);
          });
        }
      }
    }
    for (std::thread& thread : threads) thread.join();
  }

  /// Judges the calls by what callers and the upstream saw. Prints the counts.
  void Judge() {
    std::map<std::string, int> counts;
    const int last_sixth = this->grace_ms * 5 / 6;
    for (const TestCall& call : this->calls) {
      const int ran = this->runs.Of(call.id);
      const auto finished = this->finished.find(call.id);
      const bool has_finished =
          finished != this->finished.end() && finished->second <= last_sixth;
      const bool is_whole = call.is_whole;
      const auto is_late = [&](int at) { return at > kEarlyMs; };
      const std::string about =
          call.id + " sent " + std::to_string(call.sent_at) + " ended " +
          std::to_string(call.ended_at) + " status " +
          std::to_string(call.status) + (is_whole ? "" : " not whole") +
          " ran " + std::to_string(ran);
      const auto check = [&](bool is_broken, const std::string& rule) {
        if (!is_broken) return;
        if (++counts[rule] <= 3) ADD_FAILURE() << rule << ": " << about;
      };
      ++counts[!call.is_connected   ? "not connected"
               : call.status == 200 ? (is_whole ? "200" : "200 cut")
               : call.status == 0
                   ? (call.sent_at < 0 ? "closed, not sent" : "closed")
                   : std::to_string(call.status)];

      const bool is_excused = call.IsStream() && call.status == 200 &&
                              !is_late(call.sent_at) && !has_finished;
      check(ran > 0 && !is_whole && !is_excused, "LOST, passed on");
      check(ran == 0 && !is_whole && call.sent_at >= 0 &&
                call.ended_at > call.sent_at + kLossSlackMs,
            "LOST, not passed on");
      check(call.status == 503 && ran > 0, "REFUSED");
      check(ran > 1, "TWICE");
      check(ran > 0 && has_finished && !is_late(call.sent_at) &&
                (call.status != 200 || !is_whole),
            "ended too early");
      check(
          ran > 0 && is_late(call.sent_at) && (call.status != 200 || !is_whole),
          "passed on too late");
      const bool has_body =
          call.IsStream()
              ? call.body.ends_with(Event(call.answer_ms / kEventMs)) ||
                    call.answer_ms < kEventMs
              : call.body == "done";
      check(call.status == 200 && is_whole && !has_body, "MIXED");
    }
    for (const auto& [name, count] : counts) {
      std::printf("  %-22s %d\n", name.c_str(), count);
    }
  }

  int grace_ms = 0;
  std::unique_ptr<ScriptedUpstream> upstream;
  std::unique_ptr<GatewayProcess> process;
  Clock::time_point stop_at;
  std::atomic<bool> has_ended{false};
  std::atomic<bool> over{false};
  std::atomic<int> made{0};
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::vector<TestCall> calls;
  /// When the upstream finished a request.
  std::map<std::string, int> finished;
  RunRecord runs;
};

}  // namespace fuchsiadrum::gateway
