#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/gateway_process.h"
#include "tests/platform/platform_fixture.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const std::string& Filler() {
  static const std::string kFiller(65536, 'x');
  return kFiller;
}

/// Bytes that an upstream sends without end: first `head`, then `piece`.
struct Flood {
  const char* name;
  std::string head;
  std::string piece;
};

/// A gateway process with little memory among peers that send bytes without
/// end.
class FloodTest : public PlatformFixture {
 protected:
  static constexpr size_t kFloodKinds = 14;
  static constexpr int kMemoryMb = 195;
  /// What the process may have at most: it also holds code and libraries.
  static constexpr size_t kMaxBytes = 64U << 20U;
  /// What socket buffers and the gateway take of bytes without end.
  static constexpr size_t kMaxBytesTaken = 16U << 20U;

  /// Every place of an answer that may have no end. `id`: of the request.
  static std::vector<Flood> FloodsFor(const std::string& id) {
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string named =
        "Attempt-Id: " + id + "\r\nRunner-Signature: s1\r\n";
    const std::string chunked =
        status + named + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string event = "id: 1\ndata: x\n\n";
    return {
        {"noise", "", Filler()},
        {"status line", "HTTP/1.1 200 ", Filler()},
        {"one field", status + "X-More: ", Filler()},
        {"many fields", status, "X-More: 1\r\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"answers to others", "",
         status + "Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx"},
        {"body with length",
         status + named + "Content-Length: 1000000000000\r\n\r\n", Filler()},
        {"body in chunks", chunked, Chunk(Filler())},
        {"body without length", status + named + "\r\n", Filler()},
        {"chunk extension", chunked + "5;", Filler()},
        {"trailers", chunked + "0\r\nX-More: ", Filler()},
        {"one event", chunked + Chunk(event) + Chunk("id: 2\ndata: "),
         Chunk(Filler())},
        {"body of a refusal",
         "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
             "\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         Chunk(Filler())},
        {"bytes after an answer",
         status + named + "Content-Length: 4\r\n\r\ndone", Filler()},
    };
  }
  void PutRoutesOfKinds() {
    this->PutRoutes({RouteOfKind("safe", "safe", 4000, 3),
                     RouteOfKind("unsafe", "unsafe", 4000, 3),
                     RouteOfKind("streaming", "resumable", 4000, 3)});
  }
  void AddUpstream(ScriptedUpstream::Script script) {
    this->upstreams.push_back(
        std::make_unique<ScriptedUpstream>(this->runs, std::move(script)));
    this->PutEntry("u" + std::to_string(this->upstreams.size()),
                   this->upstreams.back()->Address(), 400);
  }
  void AddSoundUpstream() {
    this->AddUpstream([](ScriptedExchange& exchange) {
      exchange.ReadBody();
      exchange.Run();
      const std::string head =
          "HTTP/1.1 200 OK\r\nAttempt-Id: " + exchange.Id() +
          "\r\nRunner-Signature: s1\r\n";
      exchange.Write(exchange.Id().starts_with("streaming")
                         ? head + "Transfer-Encoding: chunked\r\n\r\n" +
                               Chunk("id: 1\ndata: x\n\nid: 2\ndata: y\n\n") +
                               "0\r\n\r\n"
                         : head + "Content-Length: 4\r\n\r\ndone");
    });
  }
  /// An upstream that answers each request with this kind of flood.
  void AddFloodingUpstream(size_t kind) {
    this->AddUpstream([this, kind](ScriptedExchange& exchange) {
      exchange.ReadBody();
      ++this->floods;
      const Flood flood = FloodsFor(exchange.Id())[kind];
      RaiseTo(this->written[kind],
              WriteUntilClosed(exchange.Socket(), flood.head, flood.piece));
      exchange.Close();
    });
  }
  /// Writes `head`, then `piece` until the connection is closed, or for 3 s.
  /// Returns the number of bytes written.
  static size_t WriteUntilClosed(Tcp::socket& socket, const std::string& head,
                                 const std::string& piece) {
    ErrorCode error;
    size_t bytes = asio::write(socket, asio::buffer(head), error);
    const auto end = Clock::now() + std::chrono::seconds(3);
    while (!error && Clock::now() < end) {
      bytes += asio::write(socket, asio::buffer(piece), error);
    }
    return bytes;
  }
  static void RaiseTo(std::atomic<size_t>& most, size_t value) {
    size_t known = most;
    while (value > known && !most.compare_exchange_weak(known, value)) {
    }
  }
  void StartProcess(const std::string& store_address) {
    this->process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        .store_address = store_address, .memory_mb = kMemoryMb});
  }
  void StartReady() {
    this->PutRoutesOfKinds();
    this->StartProcess(this->store.Address());
    this->WaitReady(this->process->ReadinessPort());
  }
  /// Makes requests of all kinds side by side. Counts them by status, 0 for a
  /// connection that ended without a whole answer.
  void MakeRequests(int threads, int each) {
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(threads));
    for (int i = 0; i < threads; ++i) {
      callers.emplace_back([this, i, each] {
        static const std::array<std::string, 3> kKinds = {"safe", "unsafe",
                                                          "streaming"};
        for (int j = 0; j < each; ++j) {
          const std::string& kind = kKinds[static_cast<size_t>(i + j) % 3];
          HttpRequest request = Request("/" + kind + "/x");
          request.set("Attempt-Id",
                      kind + "." + std::to_string(i) + "." + std::to_string(j));
          request.keep_alive(false);
          const unsigned status =
              this->Call(this->process->CallersPort(), request).result_int();
          const std::lock_guard lock(this->mutex);
          ++this->statuses[status];
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
  }
  /// Sends `head` and then filler on a new connection until it is closed.
  /// Returns the number of bytes written.
  size_t FloodPort(uint16_t port, const std::string& head) {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    return WriteUntilClosed(socket, head, Filler());
  }
  /// Expects that no request waited for its deadline.
  void ExpectNoneTimedOut() {
    for (const auto& [status, count] : this->statuses) {
      std::printf("  status %u: %d\n", status, count);
    }
    EXPECT_EQ(this->statuses[504], 0);
  }
  void ExpectSmallAndAlive() {
    const size_t peak = this->process->PeakMemoryBytes();
    std::printf("  peak memory %.1f MB\n", static_cast<double>(peak) / 1e6);
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, kMaxBytes);
    EXPECT_FALSE(this->process->AwaitEnd(milliseconds(0)).has_value());
  }
  void TearDown() override {
    this->process.reset();
    this->upstreams.clear();
    PlatformFixture::TearDown();
  }

  RunRecord runs;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  std::unique_ptr<GatewayProcess> process;
  std::atomic<size_t> floods{0};
  std::array<std::atomic<size_t>, kFloodKinds> written{};
  std::mutex mutex;
  std::map<unsigned, int> statuses;
};

// The process ran out of memory with all that a faulty upstream had sent, and
// the requests of others ended with it.
TEST_F(FloodTest, FloodsOfAllUpstreams_AreLeftAndTold) {
  for (size_t kind = 0; kind < kFloodKinds; ++kind) {
    this->AddFloodingUpstream(kind);
  }
  this->StartReady();
  this->MakeRequests(20, 20);

  this->ExpectSmallAndAlive();
  const std::vector<Flood> kinds = FloodsFor("");
  for (size_t kind = 0; kind < kFloodKinds; ++kind) {
    EXPECT_GT(this->written[kind], 0U) << kinds[kind].name;
    EXPECT_LT(this->written[kind], kMaxBytesTaken) << kinds[kind].name;
  }
  this->ExpectNoneTimedOut();
  // The kinds that exceed a bound; the others are no HTTP or no answer at all.
  const std::string metrics =
      this->Get(this->process->MetricsPort(), "/metrics").body();
  for (const char* limit : {"head", "body", "event", "answers"}) {
    EXPECT_NE(metrics.find("oversized_answers_total{limit=\"" +
                           std::string(limit) + "\"}"),
              std::string::npos)
        << limit;
  }
}

// Sound upstreams go on serving beside faulty ones.
TEST_F(FloodTest, FloodsOfSomeUpstreams_LeaveRequestsOfOthersAlone) {
  for (size_t kind = 0; kind < kFloodKinds; ++kind) {
    this->AddFloodingUpstream(kind);
  }
  for (size_t i = 0; i < 2 * kFloodKinds; ++i) this->AddSoundUpstream();
  this->StartReady();
  this->MakeRequests(12, 100);

  this->ExpectSmallAndAlive();
  this->ExpectNoneTimedOut();
  EXPECT_GE(this->floods, 1U);
  EXPECT_GE(this->statuses[200], 12 * 100 * 95 / 100);
}

// Many answers, each just below its bound, may not add up to more than the
// memory for all bodies.
TEST_F(FloodTest, ManyAnswersBelowTheirBound_StayWithinTheSum) {
  this->AddUpstream([this](ScriptedExchange& exchange) {
    exchange.ReadBody();
    std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + exchange.Id() +
                         "\r\nRunner-Signature: s1\r\n"
                         "Content-Length: 1048576\r\n\r\n";
    answer.append(1000000, 'x');
    exchange.Write(answer);
    ++this->floods;
    exchange.AwaitClose();
  });
  this->StartReady();
  this->MakeRequests(150, 1);
  EXPECT_GE(this->floods, 100U);
  const size_t peak = this->process->PeakMemoryBytes();
  std::printf("  peak memory %.1f MB\n", static_cast<double>(peak) / 1e6);
  EXPECT_LT(peak, size_t{kMemoryMb} * 1000000);
  EXPECT_EQ(this->statuses[0], 0);
  EXPECT_TRUE(this->IsReady(this->process->ReadinessPort()));
}

// The same for heads and events, which are held for the parser.
TEST_F(FloodTest, ManyHeadsBelowTheirBound_StayWithinMemory) {
  this->AddUpstream([this](ScriptedExchange& exchange) {
    exchange.ReadBody();
    exchange.Write("HTTP/1.1 200 OK\r\nX-More: " + std::string(60000, 'x'));
    ++this->floods;
    exchange.AwaitClose();
  });
  this->StartReady();
  this->MakeRequests(300, 1);
  EXPECT_GE(this->floods, 200U);
  const size_t peak = this->process->PeakMemoryBytes();
  std::printf("  peak memory %.1f MB\n", static_cast<double>(peak) / 1e6);
  EXPECT_LT(peak, size_t{kMemoryMb} * 1000000);
  EXPECT_TRUE(this->IsReady(this->process->ReadinessPort()));
}

// Callers, and clients of the pages, may send bytes without end, too.
TEST_F(FloodTest, FloodsOfCallers_EndTheirConnections) {
  this->AddSoundUpstream();
  this->StartReady();
  const std::string post =
      "POST /safe/x HTTP/1.1\r\nHost: choir.example\r\nAttempt-Id: f\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> heads = {
      "",
      "POST /",
      post + "X-More: ",
      post + chunked + "5;",
      post + chunked + "0\r\nX-More: ",
      post + "Content-Length: 1000000000000\r\n\r\n",
  };
  std::vector<std::thread> threads;
  std::atomic<size_t> most{0};
  const auto flood = [this, &most](uint16_t port, const std::string& head) {
    const size_t bytes = this->FloodPort(port, head);
    RaiseTo(most, bytes);
    EXPECT_LT(bytes, kMaxBytesTaken) << "port " << port << " " << head;
  };
  for (const uint16_t port :
       {this->process->CallersPort(), this->process->ReadinessPort(),
        this->process->MetricsPort()}) {
    for (const std::string& head : heads) {
      threads.emplace_back(flood, port, head);
    }
  }
  this->MakeRequests(4, 30);
  for (std::thread& thread : threads) thread.join();
  std::printf("  most bytes taken %.1f MB\n", static_cast<double>(most) / 1e6);
  this->ExpectSmallAndAlive();
  EXPECT_EQ(this->statuses[200], 4 * 30);
}

// The store's answers are read with the same bounds.
TEST_F(FloodTest, FloodsOfTheStore_LeaveMemoryAlone) {
  ScriptedUpstream faulty(this->runs, [this](ScriptedExchange& exchange) {
    const size_t kind = this->floods++ % kFloodKinds;
    const Flood flood = FloodsFor("")[kind];
    WriteUntilClosed(exchange.Socket(), flood.head, flood.piece);
    exchange.Close();
  });
  this->StartProcess(faulty.Address());
  std::this_thread::sleep_for(std::chrono::seconds(3));
  EXPECT_GE(this->floods, kFloodKinds);
  this->ExpectSmallAndAlive();
  this->process.reset();
}

}  // namespace
}  // namespace fuchsiadrum::gateway
