#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

#include "tests/flood/client_crowd.h"
#include "tests/platform/gateway_process.h"
#include "tests/platform/platform_fixture.h"
#include "tests/platform/raw_messages.h"
#include "tests/platform/scripted_upstream.h"

namespace fuchsiadrum::gateway {
namespace {

using flood::ClientCrowd;
using flood::Clock;
using flood::CrowdOptions;
using flood::milliseconds;

// The bounds are the target itself: a process stays within the memory of its VM
// and has descriptors left. The VM is small, so that small crowds exceed it.
constexpr int kMemoryMb = 64;
constexpr int kSmallestMemoryMb = 112;
constexpr int kFewDescriptors = 400;
constexpr int kManyDescriptors = 2000;
/// More clients than kFewDescriptors.
constexpr int kCrowd = 600;
/// Time limits of the configuration: connections that do nothing last longer
/// than a test.
constexpr int kCallerTimeoutMs = 30000;
/// For how long an ordinary request is repeated. Less than the time after which
/// the pages close connections.
constexpr milliseconds kRetryTime{8000};

constexpr size_t kHeaderBytes = 16384;
constexpr size_t kBodyBytes = 4194304;
/// A legal path, and one without a route.
constexpr char kServed[] = "/safe/x";
constexpr char kNoRoute[] = "/nowhere/x";

std::string Post(const std::string& path, const std::string& fields) {
  return RawPost(path, "f", fields);
}

/// As many short fields as make `bytes` bytes.
std::string ShortFields(size_t bytes) {
  std::string fields;
  while (fields.size() + 4 <= bytes) fields += "a:\r\n";
  return fields;
}

std::string PostWithLength(const std::string& path, size_t length,
                           const std::string& body,
                           const std::string& fields = "") {
  return Post(path, fields + "Content-Length: " + std::to_string(length) +
                        "\r\n\r\n") +
         body;
}

std::string PostInChunks(const std::string& path, const std::string& chunks) {
  return Post(path, "Transfer-Encoding: chunked\r\n\r\n") + chunks;
}

std::string Chunks(size_t chunk_bytes, size_t count) {
  std::ostringstream chunk;
  chunk << std::hex << chunk_bytes << "\r\n"
        << std::string(chunk_bytes, 'x') << "\r\n";
  std::string chunks;
  for (size_t i = 0; i < count; ++i) chunks += chunk.str();
  return chunks;
}

/// A gateway process with little memory or few descriptors, one upstream, and
/// clients that make the process hold as much as it lets them. Each test runs
/// one crowd and, while its connections are open, checks the bounds, an
/// ordinary request and a readiness question.
class CallerFloodTest : public PlatformFixture {
 protected:
  void Start(int descriptors, int memory_mb = kMemoryMb,
             int caller_timeout_ms = kCallerTimeoutMs) {
    this->memory_bytes = static_cast<size_t>(memory_mb) * 1000000;
    this->descriptors = static_cast<size_t>(descriptors);
    const nlohmann::json config = {
        {"version", 1},
        {"routes",
         {RouteOfKind("safe", "safe", 4000), RouteOfKind("big", "safe", 4000),
          RouteOfKind("stream", "stream", 4000)}},
        {"services", {{{"name", "engine"}, {"max_connections", 1000}}}},
        {"limits",
         {{"max_header_bytes", kHeaderBytes},
          {"max_body_bytes", kBodyBytes},
          {"header_timeout_ms", caller_timeout_ms},
          {"idle_timeout_ms", caller_timeout_ms}}}};
    this->store.Put(kTopicOperators, "config", config.dump());
    this->upstream = std::make_unique<ScriptedUpstream>(this->runs, Answer);
    this->PutEntry("u1", this->upstream->Address(), 1000);
    this->process = std::make_unique<GatewayProcess>(
        GatewayProcessOptions{.store_address = this->store.Address(),
                              .memory_mb = memory_mb,
                              .descriptors = descriptors});
    this->WaitReady(this->process->ReadinessPort());
  }

  static void Answer(ScriptedExchange& exchange) {
    constexpr size_t kBigAnswerBytes = 900000;
    exchange.ReadBody();
    const std::string target(exchange.Request().target());
    const std::string head = RawSignedHead(exchange.Id());
    if (target.starts_with("/big")) {
      exchange.Write(head +
                     "Content-Length: " + std::to_string(kBigAnswerBytes) +
                     "\r\n\r\n" + std::string(kBigAnswerBytes, 'x'));
    } else if (target.starts_with("/stream")) {
      exchange.Write(head + "Transfer-Encoding: chunked\r\n\r\n");
      constexpr int kEvents = 400;
      const std::string data(4000, 'x');
      for (int i = 1; i <= kEvents; ++i) {
        exchange.Write(
            Chunk("id: " + std::to_string(i) + "\ndata: " + data + "\n\n"));
      }
      exchange.Write("0\r\n\r\n");
    } else {
      exchange.Write(head + "Content-Length: 4\r\n\r\ndone");
    }
  }

  uint16_t Callers() const { return this->process->CallersPort(); }
  uint16_t Readiness() const { return this->process->ReadinessPort(); }
  uint16_t Metrics() const { return this->process->MetricsPort(); }

  /// Status of an ordinary request, repeated for a while until it is 200.
  int OrdinaryStatus(size_t body_bytes = 5) {
    const auto end = Clock::now() + kRetryTime;
    int status = 0;
    for (int i = 0; status != 200 && Clock::now() < end; ++i) {
      const std::string length =
          "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
      const std::string request =
          RawPost("/safe/x", "o" + std::to_string(i),
                  RawDeadline(3000) + length + std::string(body_bytes, 'b'));
      status = flood::StatusOf(this->Callers(), request, milliseconds(3000));
      if (status != 200) std::this_thread::sleep_for(milliseconds(50));
    }
    return status;
  }
  /// Status of a page, asked for until any answer comes.
  int PageStatus(uint16_t port) {
    const auto end = Clock::now() + kRetryTime;
    int status = 0;
    while (status == 0 && Clock::now() < end) {
      status = flood::StatusOf(port, "GET /metrics HTTP/1.1\r\nHost: b\r\n\r\n",
                               milliseconds(1000));
    }
    return status;
  }

  void ExpectServed() {
    // The process has taken what the crowd has sent.
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(this->OrdinaryStatus(), 200);
    EXPECT_NE(this->PageStatus(this->Readiness()), 0);
    EXPECT_NE(this->PageStatus(this->Metrics()), 0);
    EXPECT_FALSE(this->process->AwaitEnd(milliseconds(0)).has_value());
    const size_t peak = this->process->PeakMemoryBytes();
    const size_t open = this->process->OpenDescriptors();
    std::printf("  peak memory %.1f MB, %zu descriptors\n",
                static_cast<double>(peak) / 1e6, open);
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, this->memory_bytes);
    EXPECT_LT(open, this->descriptors);
  }
  /// Runs one crowd and checks the process while it is there.
  void ExpectServedBeside(const CrowdOptions& options) {
    const ClientCrowd crowd(options);
    this->ExpectServed();
  }

  void TearDown() override {
    this->process.reset();
    this->upstream.reset();
    PlatformFixture::TearDown();
  }

  RunRecord runs;
  std::unique_ptr<ScriptedUpstream> upstream;
  std::unique_ptr<GatewayProcess> process;
  size_t memory_bytes = 0;
  size_t descriptors = 0;
};

// Bodies of legal size that stop just short of their end held memory, and the
// others were refused for as long as they stayed.
TEST_F(CallerFloodTest, WholeBodiesStoppingShort_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  const std::string body(kBodyBytes - 100, 'x');
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 60,
       .bytes = PostWithLength(kServed, kBodyBytes, body)});
}

// The same at a path without a route.
TEST_F(CallerFloodTest, WholeBodiesWithoutRoute_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  const std::string body(kBodyBytes - 100, 'x');
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 60,
       .bytes = PostWithLength(kNoRoute, kBodyBytes, body)});
}

// The same for many bodies in small pieces.
TEST_F(CallerFloodTest, BodiesInSmallPieces_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  const std::string body(400000, 'x');
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 300,
       .bytes = PostWithLength(kServed, body.size() + 100, body),
       .piece_bytes = 1400});
}

// Chunks do not say how much will come.
TEST_F(CallerFloodTest, BodiesInSmallChunks_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = 300,
                            .bytes = PostInChunks(kServed, Chunks(64, 6000)),
                            .piece_bytes = 4096});
}

// Large chunks grow the body in steps, each of which copies it.
TEST_F(CallerFloodTest, BodiesInLargeChunks_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 60,
       .bytes = PostInChunks(kNoRoute, Chunks(65536, 63))});
}

// Bodies far over the limit are not read, whatever frames them.
TEST_F(CallerFloodTest, BodiesFarOverTheLimit_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  const std::string body(1000000, 'x');
  const ClientCrowd with_length(
      {.port = this->Callers(),
       .clients = 150,
       .bytes = PostWithLength(kServed, 100 * kBodyBytes, body)});
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 30,
       .bytes = PostInChunks(kServed, Chunks(65536, 120))});
}

// A head of legal size of very many short fields took 35 times its size, once
// as parsed and once as decoded.
TEST_F(CallerFloodTest, ManyFieldsWithUnfinishedBody_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = kCrowd,
       .bytes = PostWithLength(kServed, 1000, "x",
                               ShortFields(kHeaderBytes - 400))});
}

// The same for heads that never end.
TEST_F(CallerFloodTest, ManyFieldsWithoutEnd_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = kCrowd,
       .bytes = Post(kServed, ShortFields(kHeaderBytes - 400))});
}

// The parser compares its limit with what it has not consumed yet, so that a
// head of complete fields had no limit at all.
TEST_F(CallerFloodTest, HeadsFarOverTheLimit_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = 24,
                            .bytes = Post(kServed, ShortFields(500000)),
                            .piece_bytes = 1400});
}

// Heads of legal size of few fields that stop short of their end.
TEST_F(CallerFloodTest, LongHeadsWithoutEnd_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = kCrowd,
       .bytes = Post(kNoRoute, "X-More: " + std::string(16000, 'x'))});
}

// A trailer is read like a head, with a far higher bound.
TEST_F(CallerFloodTest, TrailersWithoutEnd_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(),
       .clients = 400,
       .bytes =
           PostInChunks(kServed, "5\r\nhello\r\n0\r\n" + ShortFields(250000))});
}

// Requests sent ahead are read one at a time; unread answers hold up only their
// own connection.
TEST_F(CallerFloodTest, RequestsSentAhead_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  std::string ahead;
  while (ahead.size() < 1000000) {
    ahead +=
        PostWithLength(ahead.size() % 2 == 0 ? kServed : kNoRoute, 4, "body");
  }
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = 100,
                            .bytes = ahead,
                            .receive_buffer = 4096});
}

// Each request with an id that was used before opens a connection to an
// upstream, which is kept for seconds, so that descriptors run short.
TEST_F(CallerFloodTest, RepeatedIds_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  std::string ahead;
  while (ahead.size() < 100000) ahead += PostWithLength(kServed, 4, "body");
  this->ExpectServedBeside(
      {.port = this->Callers(), .clients = 40, .bytes = ahead});
}

// Clients that send a byte now and then hold connections for long.
TEST_F(CallerFloodTest, SlowSenders_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = kCrowd,
                            .bytes = PostWithLength(kServed, 1000, "x"),
                            .piece_bytes = 1,
                            .pause = milliseconds(20)});
}

// Connections that send nothing used up all descriptors.
TEST_F(CallerFloodTest, SilentConnections_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  this->ExpectServedBeside(
      {.port = this->Callers(), .clients = kCrowd, .bytes = ""});
}

// The same after one whole request: connections that are kept open.
TEST_F(CallerFloodTest, KeptConnections_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = kCrowd,
                            .bytes = PostWithLength(kNoRoute, 4, "body")});
}

// Callers that read nothing of a long stream.
TEST_F(CallerFloodTest, UnreadStreams_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = 150,
                            .bytes = PostWithLength("/stream/x", 4, "body"),
                            .receive_buffer = 4096});
}

// Callers that read nothing of a large answer: it is held whole.
TEST_F(CallerFloodTest, UnreadAnswers_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside({.port = this->Callers(),
                            .clients = 150,
                            .bytes = PostWithLength("/big/x", 4, "body"),
                            .receive_buffer = 4096});
}

// An answer that was ready and not read was held without end.
TEST_F(CallerFloodTest, UnreadAnswers_AreGivenUpInTheEnd) {
  this->Start(kManyDescriptors, kMemoryMb, 1500);
  const ClientCrowd crowd({.port = this->Callers(),
                           .clients = 40,
                           .bytes = PostWithLength("/big/x", 4, "body"),
                           .receive_buffer = 4096});
  bool given_up = false;
  const auto end = Clock::now() + std::chrono::seconds(20);
  while (!given_up && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(200));
    given_up = this->Get(this->Metrics(), "/metrics")
                   .body()
                   .find("gateway_callers 0\n") != std::string::npos;
  }
  EXPECT_TRUE(given_up);
  this->ExpectServed();
}

// Connections to the readiness address used up all descriptors.
TEST_F(CallerFloodTest, ConnectionsToReadiness_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  this->ExpectServedBeside(
      {.port = this->Readiness(), .clients = kCrowd, .bytes = "GET"});
}

// The same for the metrics address.
TEST_F(CallerFloodTest, ConnectionsToMetrics_LeaveDescriptorsForOthers) {
  this->Start(kFewDescriptors);
  this->ExpectServedBeside(
      {.port = this->Metrics(), .clients = kCrowd, .bytes = ""});
}

// Heads of short fields at the readiness address, which never end.
TEST_F(CallerFloodTest, FieldsAtReadiness_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  this->ExpectServedBeside(
      {.port = this->Readiness(),
       .clients = kCrowd,
       .bytes = "GET /ready HTTP/1.1\r\nHost: b\r\n" + ShortFields(30000),
       .piece_bytes = 1400});
}

// Questions sent ahead without reading the pages.
TEST_F(CallerFloodTest, UnreadPages_LeaveRoomForOthers) {
  this->Start(kManyDescriptors);
  std::string ahead;
  while (ahead.size() < 200000) {
    ahead += "GET /metrics HTTP/1.1\r\nHost: b\r\n\r\n";
  }
  this->ExpectServedBeside({.port = this->Metrics(),
                            .clients = kCrowd,
                            .bytes = ahead,
                            .receive_buffer = 4096});
}

// In calm, a request of the largest legal size is served on the smallest VM.
TEST_F(CallerFloodTest, LargestLegalRequest_IsServedOnSmallestVm) {
  this->Start(kManyDescriptors, kSmallestMemoryMb);
  EXPECT_EQ(this->OrdinaryStatus(kBodyBytes), 200);
  this->ExpectServed();
}

}  // namespace
}  // namespace fuchsiadrum::gateway
