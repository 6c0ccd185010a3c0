#include <gtest/gtest.h>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

class RestoredStoreTest : public PlatformFixture {
 protected:
  static constexpr auto kApplyTime = std::chrono::milliseconds(2000);

  /// Writes a version with the routes /r1/ to /r<version>/.
  void PutVersion(int version) {
    nlohmann::json routes = nlohmann::json::array();
    for (int i = 1; i <= version; ++i) {
      routes.push_back(RouteOfKind("r" + std::to_string(i), "safe", 1000));
    }
    const nlohmann::json config = {
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "engine"}, {"max_connections", 100}}}},
        {"limits", nlohmann::json::object()}};
    this->store.Put(kTopicOperators, "config", config.dump());
  }

  /// Status of a request on the route that this version added.
  unsigned StatusOn(int version) {
    return this->Call(Request("/r" + std::to_string(version) + "/x"))
        .result_int();
  }
  /// True once the route that this version added is served.
  bool IsServed(int version) {
    const auto end = std::chrono::steady_clock::now() + kApplyTime;
    while (std::chrono::steady_clock::now() < end) {
      if (this->StatusOn(version) == 200) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  LoopbackServer upstream{[](const auto& request, auto& /*socket*/) {
    HttpAnswer answer = Signed(request);
    answer.body() = "done";
    return std::optional(answer);
  }};
};

// Routes were answered 404 until the offsets of the restored store had caught
// up with those known from before.
TEST_F(RestoredStoreTest, RouteAddedAfterTheStoreLostVersions_IsServed) {
  this->store.holds_reads = true;
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->store.TakeCopy();
  this->StartGateway();
  for (int version = 2; version <= 6; ++version) this->PutVersion(version);
  ASSERT_TRUE(this->IsServed(6));

  this->store.RestoreCopy();
  this->PutVersion(7);
  EXPECT_TRUE(this->IsServed(7));
}

// No read fails if the restored store has grown past the reader's position
// before its next read: only the era tells that records were skipped.
TEST_F(RestoredStoreTest, OffsetsThatCaughtUpUnseen_SkipNoVersion) {
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->store.TakeCopy();
  this->StartGateway();
  for (int version = 2; version <= 4; ++version) this->PutVersion(version);
  ASSERT_TRUE(this->IsServed(4));

  this->store.refusing = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  this->store.RestoreCopy();
  this->PutVersion(5);
  for (int i = 0; i < 6; ++i) {
    this->store.Put(kTopicOperators, "other", std::to_string(i));
  }
  this->store.refusing = false;
  EXPECT_TRUE(this->IsServed(5));
}

// While the operators have not yet written again what the store lost, a route
// that the gateway lacks may be in force.
TEST_F(RestoredStoreTest, UnknownRouteRightAfterARestore_IsRefusedWith503) {
  this->store.holds_reads = true;
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->store.TakeCopy();
  this->StartGateway();
  ASSERT_TRUE(this->IsServed(1));
  EXPECT_EQ(this->StatusOn(9), 404U);

  this->store.RestoreCopy();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(this->StatusOn(9), 503U);
  EXPECT_EQ(this->StatusOn(1), 200U);
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  EXPECT_EQ(this->StatusOn(9), 404U);
}

// After a restore every heartbeat counted as unproven, because its offset was
// lower than that of the one before; without heartbeats no tokens are granted.
TEST_F(RestoredStoreTest, Heartbeats_GoOnAtLowerOffsets) {
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->store.TakeCopy();
  this->StartGateway();
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  this->store.RestoreCopy();
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));

  const std::string key = "member/vm-1";
  const std::string before = this->store.Newest("keyed.fuchsiadrum", key);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_NE(before, "");
  EXPECT_NE(this->store.Newest("keyed.fuchsiadrum", key), before);
}

// A gateway's grant that the store lost must be counted again before another
// one is made from the same budget.
TEST_F(RestoredStoreTest, LostGrant_IsWrittenAgain) {
  this->PutUpstream("u1", this->upstream);
  this->PutConfig(1, 100000);
  this->StartGateway();
  this->store.TakeCopy();
  const std::string topic = "keyed.fuchsiadrum-accounts";
  const HttpRequest call = Request("/book/x", "100,10");
  for (int i = 0; i < 100 && this->Call(call).result_int() != 200; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const std::string book = this->store.Newest(topic, "book");
  ASSERT_NE(book, "");

  this->store.RestoreCopy();
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  EXPECT_NE(this->store.Newest(topic, "book"), "");
  EXPECT_EQ(this->Call(call).result_int(), 200U)
      << "tokens that the gateway holds stay in use";
}

// An older version in the restored store must not replace the one in force.
TEST_F(RestoredStoreTest, OlderVersionInTheCopy_DoesNotReplaceTheOneInForce) {
  this->store.holds_reads = true;
  this->PutUpstream("u1", this->upstream);
  this->PutVersion(1);
  this->store.TakeCopy();
  this->StartGateway();
  this->PutVersion(2);
  ASSERT_TRUE(this->IsServed(2));

  this->store.RestoreCopy();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->StatusOn(2), 200U);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

}  // namespace
}  // namespace fuchsiadrum::gateway
