#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/gateway_process.h"
#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

using std::chrono::milliseconds;

/// A gateway process on a link of a few Mbit/s, which gets requests of 9.2 KB
/// and of 600 bytes.
class HeadAdmissionTest : public PlatformFixture {
 protected:
  static constexpr size_t kDigestBytes = 9200;
  static constexpr size_t kCallBytes = 600;
  /// A digest takes 19 ms of it in each direction.
  static constexpr double kLinkMbps = 4;

  void StartProcess(double link_mbps) {
    this->upstream = std::make_unique<LoopbackServer>(
        [this](const HttpRequest& request, Tcp::socket&) {
          {
            const std::lock_guard lock(this->mutex);
            this->ran.insert(std::string(request["Attempt-Id"]));
          }
          HttpAnswer answer = Signed(request);
          answer.body() = "done";
          return std::optional(answer);
        });
    nlohmann::json digest = RouteOfKind("digest", "safe", 5000);
    digest["target_latency_ms"] = 800;
    nlohmann::json call = RouteOfKind("call", "unsafe", 1500, 1);
    call["target_latency_ms"] = 150;
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back(digest);
    routes.push_back(call);
    this->PutRoutes(routes);
    this->PutUpstream("u1", *this->upstream);
    this->process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        .store_address = this->store.Address(), .link_mbps = link_mbps});
    this->WaitReady(this->process->ReadinessPort());
  }

  HttpRequest Digest() { return this->Make("/digest/x", kDigestBytes); }
  HttpRequest SmallCall() { return this->Make("/call/x", kCallBytes); }
  HttpRequest Make(const std::string& target, size_t bytes) {
    HttpRequest request = Request(target);
    request.set("Attempt-Id", "r" + std::to_string(++this->made));
    request.set("Deadline-Ms", "4000");
    request.body() = std::string(bytes, 'x');
    request.prepare_payload();
    return request;
  }
  HttpAnswer Ask(const HttpRequest& request) {
    return this->Call(this->process->CallersPort(), request);
  }
  bool Ran(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    return this->ran.contains(std::string(request["Attempt-Id"]));
  }
  /// Value of a counter on the metrics page; 0: it is not there.
  double Counter(const std::string& name) {
    const std::string page =
        this->Get(this->process->MetricsPort(), "/metrics").body();
    const size_t at = page.find("fuchsiadrum_gateway_" + name + " ");
    if (at == std::string::npos) return 0;
    return std::stod(page.substr(page.find(' ', at) + 1));
  }
  double Refused(const std::string& size) {
    return this->Counter("admission_total{result=\"link\",size=\"" + size +
                         "\"}");
  }

  /// Sends digests from several threads until StopDigests.
  void StartDigests() {
    for (int i = 0; i < 4; ++i) {
      this->senders.emplace_back([this] {
        while (!this->stopping) {
          this->Ask(this->Digest());
          std::this_thread::sleep_for(milliseconds(5));
        }
      });
    }
    // The senders are running once the first digest has been refused.
    for (int i = 0; i < 200 && this->Refused("large") == 0; ++i) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  void StopDigests() {
    this->stopping = true;
    for (std::thread& sender : this->senders) sender.join();
    this->senders.clear();
  }

  /// Sends the head of a digest and waits for an answer. If there is none, the
  /// digest was admitted, and its body is sent. Returns the status of an answer
  /// that came without the body, else 0.
  unsigned int AskWithHeadOnly(const HttpRequest& request) {
    asio::io_context context;
    ErrorCode error;
    Tcp::socket socket(context);
    socket.connect(
        {asio::ip::address_v4::loopback(), this->process->CallersPort()},
        error);
    HttpRequest sent = request;
    http::request_serializer<http::string_body> serializer(sent);
    serializer.split(true);
    http::write_header(socket, serializer, error);
    for (int i = 0; i < 30 && socket.available(error) == 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    const bool was_answered = socket.available(error) > 0;
    boost::beast::flat_buffer buffer;
    HttpAnswer answer;
    if (!was_answered) {
      asio::write(socket, asio::buffer(request.body()), error);
      http::read(socket, buffer, answer, error);
      return 0;
    }
    http::response_parser<http::string_body> parser;
    http::read_header(socket, buffer, parser, error);
    this->head_only_answer = parser.get();
    return parser.get().result_int();
  }

  std::unique_ptr<LoopbackServer> upstream;
  std::unique_ptr<GatewayProcess> process;
  HttpAnswer head_only_answer;

 private:
  std::mutex mutex;
  /// Ids of requests that reached the upstream.
  std::set<std::string> ran;
  std::atomic<int> made{0};
  std::atomic<bool> stopping{false};
  std::vector<std::thread> senders;
};

// Guards against a full link that refuses settlements of 600 bytes like
// digests, and against digests that are read before they are refused.
TEST_F(HeadAdmissionTest, SaturatedLink_ServesCallsAndRefusesDigestsUnread) {
  this->StartProcess(kLinkMbps);
  this->StartDigests();

  int served = 0;
  int refused_unread = 0;
  for (int i = 0; i < 20; ++i) {
    if (this->Ask(this->SmallCall()).result_int() == 200) ++served;
    const HttpRequest digest = this->Digest();
    if (this->AskWithHeadOnly(digest) == 503) {
      ++refused_unread;
      EXPECT_FALSE(this->head_only_answer.keep_alive());
      EXPECT_EQ(this->head_only_answer["Attempt-Id"], digest["Attempt-Id"]);
      EXPECT_LE(std::stod(std::string(this->head_only_answer["Retry-After"])),
                0.15);
      EXPECT_FALSE(this->Ran(digest));
    }
  }
  this->StopDigests();

  EXPECT_EQ(served, 20);
  EXPECT_GT(refused_unread, 0);
  EXPECT_GT(this->Refused("large"), 0);
  EXPECT_EQ(this->Refused("small"), 0);
}

// Guards against bytes that a caller would not have sent: one that waits for
// 100 Continue is refused in its place.
TEST_F(HeadAdmissionTest, RefusedDigestThatWaitsForContinue_IsNotSent) {
  this->StartProcess(kLinkMbps);
  this->StartDigests();

  bool was_refused = false;
  for (int i = 0; i < 50 && !was_refused; ++i) {
    HttpRequest digest = this->Digest();
    digest.set("Expect", "100-continue");
    const unsigned int status = this->AskWithHeadOnly(digest);
    was_refused = status == 503;
    EXPECT_TRUE(status == 503 || status == 100) << status;
  }
  this->StopDigests();
  EXPECT_TRUE(was_refused);
}

// A gateway whose link has room, or is not known, decides nothing.
TEST_F(HeadAdmissionTest, LinkWithRoomOrUnknown_RefusesNothing) {
  for (const double link_mbps : {0.0, 10000.0}) {
    this->StartProcess(link_mbps);
    for (int i = 0; i < 100; ++i) {
      const HttpAnswer digest = this->Ask(this->Digest());
      EXPECT_EQ(digest.result_int(), 200U);
      EXPECT_TRUE(digest.keep_alive());
      EXPECT_EQ(this->Ask(this->SmallCall()).result_int(), 200U);
    }
    EXPECT_EQ(this->Refused("large"), 0);
    EXPECT_EQ(this->Refused("small"), 0);
    EXPECT_EQ(this->Counter("load_closes_total"), 0);
  }
}

}  // namespace
}  // namespace fuchsiadrum::gateway
