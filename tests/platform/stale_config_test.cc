#include <gtest/gtest.h>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

class StaleConfigTest : public PlatformFixture {
 protected:
  StaleConfigTest() { this->store.holds_reads = true; }

  void PutVersion(int version) {
    const nlohmann::json config = {
        {"version", version},
        {"routes", {RouteOfKind("known", "safe", 1000)}},
        {"services", {{{"name", "engine"}, {"max_connections", 100}}}},
        {"limits", nlohmann::json::object()}};
    this->store.Put(kTopicOperators, "config", config.dump());
  }
  unsigned StatusOfUnknownRoute() {
    return this->Call(Request("/unknown/x")).result_int();
  }
  /// Number of requests on an unknown route, sent for this time, that are
  /// answered with another status.
  int CountOthers(unsigned status, Duration time) {
    int others = 0;
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      if (this->StatusOfUnknownRoute() != status) ++others;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return others;
  }
  /// True if a request on an unknown route is answered with this status within
  /// the time.
  bool IsAnswered(unsigned status, Duration time) {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      if (this->StatusOfUnknownRoute() == status) return true;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  LoopbackServer upstream{[](const auto& request, auto& /*socket*/) {
    HttpAnswer answer = Signed(request);
    answer.body() = "done";
    return std::optional(answer);
  }};
};

// DENIED: an answer that had been made 3 s before it arrived counted as the
// present configuration, so that an added route was refused with 404.
TEST_F(StaleConfigTest, LateAnswers_ProveNoPresentConfiguration) {
  this->store_timeout_ms = 4000;
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->StartGateway();
  EXPECT_TRUE(this->IsAnswered(404, milliseconds(2000)));

  this->store.config_answer_delay_ms = 3000;
  std::this_thread::sleep_for(milliseconds(3000));
  EXPECT_EQ(this->CountOthers(503, milliseconds(5000)), 0);
  EXPECT_EQ(this->Call(Request("/known/x")).result_int(), 200U);

  this->store.config_answer_delay_ms = 0;
  EXPECT_TRUE(this->IsAnswered(404, milliseconds(5000)));
}

// A bound on the age of what is proven must not turn sound refusals into 503,
// nor cost more reads.
TEST_F(StaleConfigTest, CalmStore_KeepsTheConfigurationCurrent) {
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->StartGateway();
  const int reads_before = this->store.config_tail_reads;

  EXPECT_EQ(this->CountOthers(404, milliseconds(4500)), 0);
  EXPECT_LE(this->store.config_tail_reads - reads_before, 5);
}

// A read that ends with a record right before the end of its wait proves only
// its beginning; a further held read would end 2 s after that.
TEST_F(StaleConfigTest, ChangesLateInAHeldRead_KeepTheConfigurationCurrent) {
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->StartGateway();
  const int reads_before = this->store.config_tail_reads;

  for (int version = 2; version <= 6; ++version) {
    this->PutVersion(version);
    EXPECT_EQ(this->CountOthers(404, milliseconds(930)), 0);
  }
  EXPECT_LE(this->store.config_tail_reads - reads_before, 12);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
