#include "platform/config_codec.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,
 "routes":[
  {"name":"r1","host":"Choir.example","path_prefix":"/a/","kind":"streaming",
   "timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"s1",
   "max_attempts":2,"anonymous":false,"affinity":true,"resumable":true,
   "target_gap_ms":500},
  {"name":"r2","host":"choir.example","path_prefix":"/a/b/","kind":"unsafe",
   "timeout_ms":800,"max_attempts":1,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
 "services":[
  {"name":"s1","max_connections":370,"engine":{"slots":64,
   "kv_capacity_tokens":410063,"stride":5}},
  {"name":"s2","max_connections":110}],
 "limits":{"max_header_bytes":8192,"idle_timeout_ms":9000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,
  "prepaid":7152663}]})";

class ConfigCodecTest : public testing::Test {
 protected:
  std::string reason;
};

TEST_F(ConfigCodecTest, Config_IsDecodedIntoItsFields) {
  const serving::ServingConfigPtr config = DecodeConfig(kConfig, this->reason);
  ASSERT_TRUE(config) << this->reason;

  EXPECT_EQ(config->version, 7U);
  EXPECT_EQ(config->Match("choir.example", "/a/x")->name, "r1");
  EXPECT_EQ(config->Match("choir.example", "/a/b/x")->name, "r2");
  EXPECT_EQ(config->Match("choir.example", "/c/"), nullptr);
  EXPECT_EQ(config->FindOrganisationByKey("k2")->name, "t1");
  EXPECT_EQ(config->FindOrganisationByKey("k3"), nullptr);
  EXPECT_EQ(config->organisations[0].prepaid, Tokens(7152663));
  EXPECT_EQ(config->FindService("s1")->engine->tokens_per_event, 5);
  EXPECT_FALSE(config->FindService("s2")->engine);
  EXPECT_EQ(config->limits.header_bytes, 8192U);
  EXPECT_EQ(config->limits.body_bytes, 4194304U);
  EXPECT_TRUE(config->routes[0].IsIdempotent());
  EXPECT_FALSE(config->routes[1].IsIdempotent());
}

TEST_F(ConfigCodecTest, UnreadableConfig_IsRefusedWithAReason) {
  for (const char* bad :
       {"", "{", "[]", "{}", R"({"version":1,"routes":[],"services":{}})",
        R"({"version":"1","routes":[],"services":[]})",
        R"({"version":1,"routes":[{"name":"r"}],"services":[]})"}) {
    EXPECT_FALSE(DecodeConfig(bad, this->reason)) << bad;
    EXPECT_FALSE(this->reason.empty()) << bad;
  }
}

// A route would lose its service to an empty list of shares, and each of its
// requests would be refused.
TEST_F(ConfigCodecTest, EmptySplit_LeavesTheRouteItsService) {
  const serving::ServingConfigPtr config = DecodeConfig(
      R"({"version":1,"services":[{"name":"s1"}],"routes":[
          {"name":"r1","host":"a.example","path_prefix":"/","kind":"safe",
           "timeout_ms":800,"service":"s1","traffic_split":[]}]})",
      this->reason);
  ASSERT_TRUE(config) << this->reason;
  ASSERT_EQ(config->routes[0].services.size(), 1U);
  EXPECT_EQ(config->routes[0].services[0].service, "s1");
}

TEST_F(ConfigCodecTest, OlderVersion_DoesNotReplaceANewerOne) {
  serving::CurrentConfig in_force;
  auto older = std::make_shared<serving::ServingConfig>();
  older->version = 6;
  EXPECT_TRUE(in_force.UpdateIfNewer(DecodeConfig(kConfig, this->reason)));
  EXPECT_FALSE(in_force.UpdateIfNewer(older));
  EXPECT_EQ(in_force.Get()->version, 7U);
}

TEST_F(ConfigCodecTest, UpstreamEntry_IsDecodedIntoItsFields) {
  const auto entry = DecodeUpstreamEntry(
      "i-1",
      R"({"service":"s1","address":"10.0.0.9:80","zone":"z","slots":64,
          "state":"draining","born":1700000000123,"cold_left_ms":0,
          "sequence":4})",
      this->reason);
  ASSERT_TRUE(entry) << this->reason;

  EXPECT_EQ(entry->id, "i-1");
  EXPECT_EQ(entry->started_unix_ms, 1700000000123);
  EXPECT_TRUE(entry->draining);
}

// FAILBACK: an upstream is taken for warm whose entry says that it is cold.
TEST_F(ConfigCodecTest, UpstreamEntry_SaysHowLongItIsCold) {
  const auto entry = DecodeUpstreamEntry(
      "i-1",
      R"({"service":"s1","address":"10.0.0.9:80","zone":"z","slots":64,
          "state":"ready","cold_left_ms":2750,"sequence":41})",
      this->reason);
  ASSERT_TRUE(entry) << this->reason;
  EXPECT_EQ(entry->cold_left, std::chrono::milliseconds(2750));
  EXPECT_EQ(entry->sequence, 41);
}

// A wrong time or rate of one service must not lose the configuration.
TEST_F(ConfigCodecTest, ColdTimes_InvalidOnesCountAsNeverCold) {
  const auto service = [this](const std::string& fields) {
    const std::string text = R"({"version":1,"routes":[],"services":[
        {"name":"s1","max_connections":1)" +
                             fields + "}]}";
    const serving::ServingConfigPtr config = DecodeConfig(text, this->reason);
    EXPECT_TRUE(config) << text << this->reason;
    return config->services[0];
  };
  const serving::Service cold = service(R"(,"cold_s":3.5,"cold_per_s":11)");
  EXPECT_EQ(cold.cold_time, std::chrono::milliseconds(3500));
  EXPECT_DOUBLE_EQ(cold.cold_requests_per_s, 11);

  EXPECT_EQ(service("").cold_time, Duration::zero());
  for (const char* bad : {"-3", "\"3\"", "[]", "null", "0"}) {
    EXPECT_EQ(
        service(std::string(R"(,"cold_per_s":11,"cold_s":)") + bad).cold_time,
        Duration::zero())
        << bad;
    EXPECT_EQ(service(std::string(R"(,"cold_s":3,"cold_per_s":)") + bad)
                  .cold_requests_per_s,
              0)
        << bad;
  }
  EXPECT_LT(service(R"(,"cold_s":1e300,"cold_per_s":1e300)").cold_time,
            std::chrono::hours(1000));
}

// The stream may hold entries of other writers in any format.
TEST_F(ConfigCodecTest, MalformedEntry_IsRefusedWithAReason) {
  for (const char* bad :
       {"", "\xff\xfe", R"({"service":"s1"})",
        R"({"service":1,"address":"a","zone":"z","state":"ready"})",
        R"({"service":"s","address":"a","zone":"z","state":"resting"})"}) {
    EXPECT_FALSE(DecodeUpstreamEntry("i", bad, this->reason)) << bad;
    EXPECT_FALSE(this->reason.empty()) << bad;
  }
}

}  // namespace
}  // namespace fuchsiadrum::platform
