#include <gtest/gtest.h>

#include <string>

#include "gateway/clock.h"
#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// A gateway whose operators' stream holds other keys than the configuration.
class OperatorsStreamTest : public PlatformFixture {
 protected:
  static std::string Config(int version) {
    const nlohmann::json config = {
        {"version", version},
        {"routes", {RouteOfKind("book", "unsafe", 1000, 1)}},
        {"services", {{{"name", "engine"}, {"max_connections", 100}}}},
        {"limits", nlohmann::json::object()}};
    return config.dump();
  }

  /// Waits until this version is in force; false if it is not within 4 s.
  bool AwaitVersion(int version) {
    const std::string line =
        "fuchsiadrum_gateway_config_version " + std::to_string(version) + "\n";
    const TimePoint end = Now() + std::chrono::seconds(4);
    while (Now() < end) {
      const HttpAnswer page = this->Get(this->gateway->MetricsPort(), "/");
      if (page.body().find(line) != std::string::npos) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }
};

// CONFIG: the record of another key that comes last in the first read replaces
// the configuration, and the gateway never becomes ready.
TEST_F(OperatorsStreamTest, OtherKeyInTheFirstRead_LeavesTheConfiguration) {
  this->store.Put(kTopicOperators, "config", Config(3));
  this->store.Put(kTopicOperators, "evacuate/elsewhere", "{}");
  this->StartGateway();

  EXPECT_TRUE(this->AwaitVersion(3));
}

// CONFIG: the record of another key in the same read of the tail replaces a
// newer configuration, and the former one stays in force.
TEST_F(OperatorsStreamTest, OtherKeyInALaterRead_LeavesTheConfiguration) {
  this->store.holds_reads = true;
  this->store.Put(kTopicOperators, "config", Config(3));
  this->StartGateway();
  ASSERT_TRUE(this->AwaitVersion(3));
  this->store.PutTogether(kTopicOperators, {{"evacuate/elsewhere", "{}"},
                                            {"config", Config(4)},
                                            {"note", "x"},
                                            {"evacuate/elsewhere", ""}});

  EXPECT_TRUE(this->AwaitVersion(4));
}

}  // namespace
}  // namespace fuchsiadrum::gateway
