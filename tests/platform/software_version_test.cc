#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <string>
#include <thread>

#include "gateway/version_records.h"
#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Upstream whose events tell the version of its software.
class VersionedUpstream {
 public:
  static constexpr int kEvents = 6;

  explicit VersionedUpstream(std::string software_version)
      : version(std::move(software_version)) {}

  /// Number of events after which it breaks its streams off; 0: it does not.
  std::atomic<int> break_after{0};
  /// Time between those events and the break, in milliseconds.
  std::atomic<int> hold_ms{0};
  /// While set, it refuses requests, which it has not run.
  std::atomic<bool> refuses{false};
  /// The same for requests that begin a stream.
  std::atomic<bool> refuses_begins{false};
  const std::string version;

  std::string Address() const { return this->server.Address(); }

 private:
  std::string EventText(int id) const {
    return "id: " + std::to_string(id) + "\ndata: " + this->version + "\n\n";
  }
  std::optional<HttpAnswer> Serve(const HttpRequest& request,
                                  Tcp::socket& socket) {
    const bool begins = request["Last-Event-Id"].empty();
    if (this->refuses || (this->refuses_begins && begins)) {
      HttpAnswer refusal(http::status::service_unavailable, 11);
      refusal.set("Attempt-Id", request["Attempt-Id"]);
      refusal.set("Not-Executed", "1");
      return refusal;
    }
    int first = 1;
    if (!begins) {
      first = std::stoi(std::string(request["Last-Event-Id"])) + 1;
    }
    const int broken = this->break_after;
    const int last = broken > 0 ? broken : kEvents;
    std::string events;
    for (int id = first; id <= last; ++id) events += this->EventText(id);
    if (broken == 0) {
      HttpAnswer answer(http::status::ok, 11);
      answer.set("Attempt-Id", request["Attempt-Id"]);
      answer.set("Runner-Signature", "s1");
      answer.set("Content-Type", "text/event-stream");
      answer.body() = events;
      return answer;
    }
    std::ostringstream text;
    text << "HTTP/1.1 200 OK\r\nAttempt-Id: " << request["Attempt-Id"]
         << "\r\nRunner-Signature: s1\r\nContent-Type: text/event-stream\r\n"
         << "Transfer-Encoding: chunked\r\n\r\n";
    if (!events.empty()) {
      text << std::hex << events.size() << "\r\n" << events << "\r\n";
    }
    ErrorCode ignored;
    asio::write(socket, asio::buffer(text.str()), ignored);
    std::this_thread::sleep_for(std::chrono::milliseconds(this->hold_ms));
    return std::nullopt;
  }

  LoopbackServer server{
      [this](const auto& r, auto& s) { return this->Serve(r, s); }};
};

class SoftwareVersionTest : public PlatformFixture {
 protected:
  void PutVersioned(const std::string& id, const VersionedUpstream& upstream,
                    const std::string& state = "ready") {
    nlohmann::json entry = {
        {"service", "engine"},   {"address", upstream.Address()},
        {"zone", "a"},           {"slots", 8},
        {"born", 1700000000000}, {"state", state},
        {"cold_left_ms", 0},     {"sequence", ++this->sequence}};
    if (!upstream.version.empty()) entry["version"] = upstream.version;
    this->store.Put(kTopicUpstreams, id, entry.dump());
  }
  void PutStreamRoute() {
    this->PutRoutes(
        nlohmann::json::array({RouteOfKind("ask", "resumable", 2000)}));
  }

  static HttpRequest Ask(const std::string& attempt, int last_event = 0,
                         const std::string& resumes = "") {
    HttpRequest request = Request("/ask/x");
    request.set("Attempt-Id", attempt);
    request.set("Connection", "close");
    if (last_event > 0) {
      request.set("Last-Event-Id", std::to_string(last_event));
    }
    if (!resumes.empty()) request.set("Resumes", resumes);
    return request;
  }
  /// All bytes that the caller gets.
  std::string Read(const HttpRequest& request) {
    asio::io_context context;
    ErrorCode error;
    Tcp::socket socket =
        Send(context, this->gateway->CallersPort(), request, error);
    std::string bytes;
    asio::read(socket, asio::dynamic_buffer(bytes), error);
    return bytes;
  }
  static int Status(const std::string& answer) {
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
  }
  /// The versions whose events are in the answer.
  static std::set<std::string> VersionsIn(const std::string& answer) {
    std::set<std::string> versions;
    const std::string mark = "data: ";
    for (size_t at = answer.find(mark); at != std::string::npos;
         at = answer.find(mark, at + 1)) {
      const size_t begin = at + mark.size();
      versions.insert(answer.substr(begin, answer.find('\n', begin) - begin));
    }
    return versions;
  }
  static bool IsWhole(const std::string& answer) {
    return Status(answer) == 200 && answer.ends_with("0\r\n\r\n");
  }
  /// Waits until a stream begins at that version, and returns the attempt's id.
  std::string BeginAt(const VersionedUpstream& upstream) {
    this->old_version.refuses = &upstream != &this->old_version;
    this->new_version.refuses = &upstream != &this->new_version;
    std::string begun;
    for (int i = 0; i < 200; ++i) {
      const std::string attempt = "begin" + std::to_string(++this->attempts);
      if (VersionsIn(this->Read(Ask(attempt))).contains(upstream.version)) {
        begun = attempt;
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_NE(begun, "") << "no stream began at version " << upstream.version;
    this->old_version.refuses = false;
    this->new_version.refuses = false;
    // Longer than an upstream that has refused is passed over.
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    return begun;
  }
  /// Replaces the gateway by a new process, which remembers nothing.
  void ReplaceGateway() {
    this->StopVm(this->gateway);
    this->gateway = this->StartVm("vm-" + std::to_string(++this->starts + 1));
  }

  int sequence = 0;
  int attempts = 0;
  int starts = 0;
  VersionedUpstream old_version{"v1"};
  VersionedUpstream new_version{"v2"};
};

// A stream that broke off went on at an upstream of another software version,
// and its caller got text that was joined from both.
TEST_F(SoftwareVersionTest, BrokenStream_GoesOnAtItsOwnVersionOnly) {
  VersionedUpstream old_sound{"v1"};
  this->old_version.break_after = 2;
  this->new_version.refuses_begins = true;
  old_sound.refuses_begins = true;
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->PutVersioned("u2", this->new_version);
  this->StartGateway();
  for (int i = 0; i < 10; ++i) {
    const std::string answer = this->Read(Ask("x" + std::to_string(i)));
    EXPECT_EQ(VersionsIn(answer), std::set<std::string>({"v1"})) << answer;
    EXPECT_FALSE(IsWhole(answer));
  }

  // With a second upstream of its version the stream is completed.
  this->PutVersioned("u3", old_sound);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  int completed = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string answer = this->Read(Ask("y" + std::to_string(i)));
    EXPECT_EQ(VersionsIn(answer), std::set<std::string>({"v1"})) << answer;
    if (IsWhole(answer)) ++completed;
  }
  EXPECT_GT(completed, 10);
}

// The client's second try went on at any version.
TEST_F(SoftwareVersionTest, TakeUp_GoesOnAtTheVersionThatBeganTheStream) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  const std::string old_attempt = this->BeginAt(this->old_version);
  this->PutVersioned("u2", this->new_version);
  const std::string new_attempt = this->BeginAt(this->new_version);

  for (int i = 0; i < 10; ++i) {
    const std::string n = std::to_string(i);
    EXPECT_EQ(VersionsIn(this->Read(Ask("o" + n, 2, old_attempt))),
              std::set<std::string>({"v1"}));
    EXPECT_EQ(VersionsIn(this->Read(Ask("n" + n, 2, new_attempt))),
              std::set<std::string>({"v2"}));
  }
}

// After all gateways were killed at once, nobody remembered which version had
// begun a stream.
TEST_F(SoftwareVersionTest, TakeUpAfterAllGatewaysWereKilled_KeepsItsVersion) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  const std::string old_attempt = this->BeginAt(this->old_version);
  this->PutVersioned("u2", this->new_version);
  const std::string new_attempt = this->BeginAt(this->new_version);

  this->ReplaceGateway();
  for (int i = 0; i < 10; ++i) {
    const std::string n = std::to_string(i);
    EXPECT_EQ(VersionsIn(this->Read(Ask("o" + n, 2, old_attempt))),
              std::set<std::string>({"v1"}));
    EXPECT_EQ(VersionsIn(this->Read(Ask("n" + n, 2, new_attempt))),
              std::set<std::string>({"v2"}));
  }
}

// The servers of the old version had just left when the gateways came back.
TEST_F(SoftwareVersionTest, TakeUpOfAVersionThatHasLeft_IsRefused) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  const std::string old_attempt = this->BeginAt(this->old_version);
  this->PutVersioned("u2", this->new_version);
  this->BeginAt(this->new_version);
  this->PutVersioned("u1", this->old_version, "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));

  this->ReplaceGateway();
  const std::string answer = this->Read(Ask("o", 2, old_attempt));
  EXPECT_EQ(Status(answer), 503) << answer;
  EXPECT_EQ(VersionsIn(answer).size(), 0U);
  EXPECT_EQ(VersionsIn(this->Read(Ask("fresh"))),
            std::set<std::string>({"v2"}));
}

// A take-up that does not tell which stream it means may be of either version.
TEST_F(SoftwareVersionTest, TakeUpThatNamesNoAttempt_IsRefusedWhileTwoServe) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  this->BeginAt(this->old_version);
  EXPECT_EQ(Status(this->Read(Ask("a", 2))), 200)
      << "one version serves, so that it began the stream";

  this->PutVersioned("u2", this->new_version);
  this->BeginAt(this->new_version);
  EXPECT_EQ(Status(this->Read(Ask("b", 2))), 503);
  HttpRequest twice = Ask("c", 2, "x");
  twice.insert("Resumes", "y");
  EXPECT_EQ(Status(this->Read(twice)), 503);
}

// Deployments whose upstreams name no version are served as before.
TEST_F(SoftwareVersionTest, UpstreamsWithoutVersions_GoOnWithAnyStream) {
  VersionedUpstream broken{""};
  VersionedUpstream sound{""};
  broken.break_after = 2;
  this->PutStreamRoute();
  this->PutVersioned("u1", broken);
  this->PutVersioned("u2", sound);
  this->StartGateway();
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(IsWhole(this->Read(Ask("x" + std::to_string(i)))));
  }
  EXPECT_TRUE(IsWhole(this->Read(Ask("t", 3, "x0"))));
}

// ORDER: a gateway that was out of step knew no upstream with a version, and a
// stream that had begun at one through another gateway went on at any.
TEST_F(SoftwareVersionTest, TakeUpWhereNoVersionIsKnown_GoesByItsRecord) {
  VersionedUpstream unversioned{""};
  this->PutStreamRoute();
  this->PutVersioned("u1", unversioned);
  this->StartGateway();
  const store::KeyedRecord record =
      EncodeStreamStart(serving::StreamVersions::StreamName("elsewhere"),
                        {.service = "engine", .version = "v2"});
  this->store.Put("keyed.fuchsiadrum-versions", record.key, *record.value);
  for (int i = 0; i < 5; ++i) {
    const std::string n = std::to_string(i);
    EXPECT_EQ(Status(this->Read(Ask("a" + n, 2, "elsewhere"))), 503);
    EXPECT_TRUE(IsWhole(this->Read(Ask("b" + n, 2, "unknown"))));
  }
}

// ORDER: a stream that had begun where no upstream named a version went on at
// one that had joined meanwhile and named its own.
TEST_F(SoftwareVersionTest, VersionThatJoinsMeanwhile_GetsNoRestOfAStream) {
  VersionedUpstream unversioned{""};
  unversioned.break_after = 2;
  unversioned.hold_ms = 1500;
  this->new_version.refuses_begins = true;
  this->PutStreamRoute();
  this->PutVersioned("u1", unversioned);
  this->StartGateway();
  std::string answer;
  std::thread caller([&] { answer = this->Read(Ask("a")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  this->PutVersioned("u2", this->new_version);
  caller.join();
  EXPECT_EQ(VersionsIn(answer), std::set<std::string>({""})) << answer;
  EXPECT_FALSE(IsWhole(answer));
}

// A stream whose version can't be recorded could be taken up at another one.
TEST_F(SoftwareVersionTest, StoreThatIsAway_LeavesTheBaseVersionServing) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  this->BeginAt(this->old_version);
  this->PutVersioned("u2", this->new_version);
  this->BeginAt(this->new_version);

  this->store.refusing = true;
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string answer = this->Read(Ask("z" + std::to_string(i)));
    EXPECT_FALSE(VersionsIn(answer).contains("v2"));
    if (IsWhole(answer)) ++served;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_GT(served, 20);
}

// All events and the end of the answer came at once, and the end counted
// although no event was forwarded for want of the stream's record.
TEST_F(SoftwareVersionTest, StreamThatCanNotBeRecorded_IsNoWholeAnswer) {
  this->PutStreamRoute();
  this->PutVersioned("u1", this->old_version);
  this->StartGateway();
  this->BeginAt(this->old_version);
  this->PutVersioned("u2", this->new_version);
  this->BeginAt(this->new_version);

  this->old_version.refuses = true;
  // Longer than a stream waits for its record.
  this->store.append_ms = 1500;
  const std::string answer = this->Read(Ask("unrecorded"));
  this->store.append_ms = 0;
  EXPECT_NE(Status(answer), 200) << answer;
  EXPECT_TRUE(VersionsIn(answer).empty()) << answer;
}

}  // namespace
}  // namespace fuchsiadrum::gateway
