#include "tests/flood/client_crowd.h"

#include <unistd.h>

#include <fstream>

#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

using flood::ClientCrowd;
using flood::Clock;
using flood::CrowdOptions;
using flood::milliseconds;

/// Crowds of clients that make the daemon hold as much as it lets them, at both
/// of its addresses. The time limits are longer than a test.
class ClientCrowdTest : public DaemonFixture {
 protected:
  static constexpr size_t kHeaderBytes = 16384;
  static constexpr size_t kBodyBytes = 4194304;
  static constexpr size_t kRequestMemory = 16777216;
  /// What the process may grow by: the memory of the settings, and as much for
  /// the allocator and the test.
  static constexpr size_t kMaxGrowth = 2 * kRequestMemory;
  static constexpr int kTimeoutMs = 30000;
  static constexpr milliseconds kRetryTime{8000};

  void StartFor(uint32_t max_connections) {
    pb::FrontSettings& front = *this->settings.mutable_front();
    front.set_max_header_bytes(kHeaderBytes);
    front.set_max_body_bytes(kBodyBytes);
    front.set_header_timeout_ms(kTimeoutMs);
    front.set_body_timeout_ms(kTimeoutMs);
    front.set_max_connections(max_connections);
    front.set_request_memory_bytes(kRequestMemory);
    pb::AdminSettings& admin = *this->settings.mutable_admin();
    admin.set_max_connections(max_connections);
    admin.set_request_memory_bytes(kRequestMemory);
    this->Start([](const std::string&, Tcp::socket& socket) {
      return Put(socket,
                 StreamHead() + TokenEvent("a") + UsageEvent() + EndOfStream());
    });
    this->memory_before = ResidentBytes();
  }
  uint16_t AdminPort() const { return this->daemon->AdminAddress().port; }

  static size_t ResidentBytes() {
    size_t total = 0;
    size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
  }
  static std::string Head(const std::string& fields) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: "
           "Bearer k\r\n" +
           fields;
  }
  static std::string ShortFields(size_t bytes) {
    std::string fields;
    while (fields.size() + 4 <= bytes) fields += "a:\r\n";
    return fields;
  }
  /// Status of a request, repeated for a while until it is 200.
  static int StatusOf(uint16_t port, const std::string& text) {
    const auto end = Clock::now() + kRetryTime;
    int status = 0;
    while (status != 200 && Clock::now() < end) {
      status = flood::StatusOf(port, text, milliseconds(2000));
    }
    return status;
  }
  void ExpectServedBeside(const CrowdOptions& options) {
    const ClientCrowd crowd(options);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(StatusOf(this->Port(), this->ChatText(true)), 200);
    EXPECT_EQ(
        StatusOf(this->AdminPort(), "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n"),
        200);
    const size_t now = ResidentBytes();
    const size_t growth =
        now > this->memory_before ? now - this->memory_before : 0;
    std::printf("  memory grew by %.1f MB\n",
                static_cast<double>(growth) / 1e6);
    EXPECT_LT(growth, kMaxGrowth);
  }

  size_t memory_before = 0;
};

// All connections beyond the limit were refused, while silent ones stayed.
TEST_F(ClientCrowdTest, SilentConnections_LeaveRoomForOthers) {
  this->StartFor(16);
  this->ExpectServedBeside({.port = this->Port(), .clients = 64, .bytes = ""});
}

// The same at the operators' address, which had no limit.
TEST_F(ClientCrowdTest, SilentConnectionsToAdmin_LeaveRoomForOthers) {
  this->StartFor(16);
  this->ExpectServedBeside(
      {.port = this->AdminPort(), .clients = 300, .bytes = "GET"});
}

// A head of very many short fields took 35 times its size.
TEST_F(ClientCrowdTest, ManyFields_LeaveRoomForOthers) {
  this->StartFor(400);
  this->ExpectServedBeside({.port = this->Port(),
                            .clients = 300,
                            .bytes = Head(ShortFields(kHeaderBytes - 400))});
}

// The same at the operators' address.
TEST_F(ClientCrowdTest, ManyFieldsAtAdmin_LeaveRoomForOthers) {
  this->StartFor(400);
  this->ExpectServedBeside({.port = this->AdminPort(),
                            .clients = 300,
                            .bytes = Head(ShortFields(kHeaderBytes - 400))});
}

// A head that arrives in pieces had no limit at all.
TEST_F(ClientCrowdTest, HeadsFarOverTheLimit_LeaveRoomForOthers) {
  this->StartFor(400);
  this->ExpectServedBeside({.port = this->Port(),
                            .clients = 24,
                            .bytes = Head(ShortFields(500000)),
                            .piece_bytes = 1400});
}

// Bodies below their limit that stop short of their end added up to any size.
TEST_F(ClientCrowdTest, BodiesStoppingShort_LeaveRoomForOthers) {
  this->StartFor(400);
  this->ExpectServedBeside(
      {.port = this->Port(),
       .clients = 40,
       .bytes =
           Head("Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n") +
           std::string(kBodyBytes - 100, 'x')});
}

}  // namespace
}  // namespace fuchsiadrum::daemon
