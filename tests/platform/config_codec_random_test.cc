#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/rng.h"
#include "platform/config_codec.h"

namespace fuchsiadrum::platform {
namespace {

using Json = nlohmann::json;

/// Times are decoded in whole microseconds; milliseconds.
constexpr double kTimeTolerance = 2e-3;

/// Makes random documents that the platform's description of a configuration
/// allows.
class ConfigDocuments {
 public:
  explicit ConfigDocuments(uint64_t seed) : rng(seed) {}

  Json Make() {
    Json document = {{"version", this->Version()},
                     {"routes", Json::array()},
                     {"services", Json::array()}};
    const uint64_t services = this->rng.Below(5);
    for (uint64_t i = 0; i < services; ++i) {
      document["services"].push_back(this->Service(this->Name()));
    }
    const uint64_t routes = this->rng.Below(12);
    for (uint64_t i = 0; i < routes; ++i) {
      document["routes"].push_back(
          this->Route(document["services"], document["routes"]));
    }
    if (this->rng.Chance(0.8)) {
      document["tenants"] = Json::array();
      const uint64_t tenants = this->rng.Below(6);
      for (uint64_t i = 0; i < tenants; ++i) {
        document["tenants"].push_back(this->Tenant());
      }
    }
    if (this->rng.Chance(0.8)) document["limits"] = this->Limits();
    this->AddUnknown(document);
    return document;
  }

  /// Text of the document, with or without escapes and white space.
  std::string Write(const Json& document) {
    const int indent = this->rng.Chance(0.3) ? 2 : -1;
    return document.dump(indent, ' ', this->rng.Chance(0.5));
  }

 private:
  Json Version() {
    const auto version = static_cast<uint64_t>(this->rng.Between(
        1, this->rng.Chance(0.2) ? int64_t{9007199254740992} : 1000));
    if (this->rng.Chance(0.1)) return static_cast<double>(version);
    return version;
  }

  /// A name that no other call returns.
  std::string Name() {
    static constexpr std::array<const char*, 8> kParts = {
        "choir",
        "x",
        "a b",
        "\xc3\xa9t\xc3\xa9",                   // two-byte characters
        "\xe6\xb0\xb4",                        // a three-byte character
        "\xf0\x9f\xa5\x81",                    // outside the basic plane
        "quote\"back\\slash/\n\x01",           // characters that need escapes
        "e\xcc\x81\xe2\x80\xae\xef\xbb\xbf"};  // combining and invisible ones
    return std::string(kParts[this->rng.Below(kParts.size())]) +
           std::to_string(++this->names);
  }

  /// A positive number: whole or with a fraction, small or very large.
  Json Number(int64_t max) {
    switch (this->rng.Below(8)) {
      case 0:
        return this->rng.Unit() * static_cast<double>(max);
      case 1:
        return std::floor(this->rng.Unit() * static_cast<double>(max));
      case 2:
        return 18446744073709551615U;
      case 3:
        return 1e300;
      case 4:
        return 9007199254740993;
      default:
        return this->rng.Between(0, max);
    }
  }

  void AddOptional(Json& json, const char* name, int64_t max) {
    if (this->rng.Chance(0.6)) json[name] = this->Number(max);
  }

  void AddFlag(Json& json, const char* name) {
    if (this->rng.Chance(0.5)) json[name] = this->rng.Chance(0.5);
  }

  void AddUnknown(Json& json) {
    static const std::vector<Json> kValues = {
        nullptr,        true,
        "\xe6\xb0\xb4", "",
        -1e308,         5e-324,
        INT64_MIN,      0,
        Json::array(),  {{}, 1},
        Json::object(), {{"name", 7}, {"routes", {{"version", nullptr}}}}};
    while (this->rng.Chance(0.3)) {
      json["x-" + this->Name()] = kValues[this->rng.Below(kValues.size())];
    }
  }

  Json Service(const std::string& name) {
    Json service = {{"name", name}};
    this->AddOptional(service, "max_connections", 500);
    this->AddOptional(service, "cold_s", 10);
    this->AddOptional(service, "cold_per_s", 20);
    if (this->rng.Chance(0.5)) service["health_path"] = "/health";
    if (this->rng.Chance(0.5)) {
      service["engine"] = Json::object();
      this->AddOptional(service["engine"], "slots", 64);
      this->AddOptional(service["engine"], "kv_capacity_tokens", 500000);
      this->AddOptional(service["engine"], "stride", 8);
      this->AddUnknown(service["engine"]);
    }
    this->AddUnknown(service);
    return service;
  }

  /// Name of one of the services, or of another one if there are none.
  std::string ServiceOf(const Json& services) {
    if (services.empty()) return this->Name();
    return services[this->rng.Below(services.size())]["name"];
  }

  /// A prefix that no route before has; it may begin with that of another.
  std::string Prefix(const Json& before) {
    if (before.empty() && this->rng.Chance(0.3)) return "/";
    std::string prefix = "/";
    if (!before.empty() && this->rng.Chance(0.4)) {
      prefix = before.back()["path_prefix"];
    }
    if (this->rng.Chance(0.05)) prefix += std::string(2000, 'p') + "/";
    return prefix + this->Name() + "/";
  }

  Json Route(const Json& services, const Json& before) {
    static constexpr std::array<const char*, 3> kKinds = {"safe", "unsafe",
                                                          "streaming"};
    static constexpr std::array<const char*, 3> kHosts = {"ficu95.example",
                                                          "Ficu95.Example",
                                                          "b\xc3\xbc"
                                                          "cher.example"};
    Json route = {{"name", this->Name()},
                  {"host", kHosts[this->rng.Below(kHosts.size())]},
                  {"path_prefix", this->Prefix(before)},
                  {"kind", kKinds[this->rng.Below(kKinds.size())]},
                  {"timeout_ms", this->Number(60000)}};
    if (this->rng.Chance(0.6)) {
      route["service"] = this->ServiceOf(services);
      if (this->rng.Chance(0.1)) route["traffic_split"] = Json::array();
    } else {
      route["traffic_split"] = Json::array();
      const uint64_t shares = 1 + this->rng.Below(3);
      for (uint64_t i = 0; i < shares; ++i) {
        Json share = {{"service", this->ServiceOf(services)},
                      {"weight", this->Number(100)}};
        this->AddUnknown(share);
        route["traffic_split"].push_back(share);
      }
    }
    this->AddOptional(route, "target_latency_ms", 5000);
    this->AddOptional(route, "target_gap_ms", 1000);
    this->AddOptional(route, "priority", 9);
    this->AddOptional(route, "max_attempts", 4);
    this->AddFlag(route, "anonymous");
    this->AddFlag(route, "resumable");
    this->AddFlag(route, "affinity");
    this->AddUnknown(route);
    return route;
  }

  Json Tenant() {
    Json tenant = {{"name", this->Name()}};
    if (this->rng.Chance(0.9)) {
      tenant["api_keys"] = Json::array();
      const uint64_t keys = this->rng.Below(4);
      for (uint64_t i = 0; i < keys; ++i) {
        tenant["api_keys"].push_back(this->Name());
      }
    }
    this->AddOptional(tenant, "priority", 9);
    this->AddOptional(tenant, "prepaid", 100000000);
    this->AddUnknown(tenant);
    return tenant;
  }

  Json Limits() {
    Json limits = Json::object();
    this->AddOptional(limits, "max_header_bytes", 16384);
    this->AddOptional(limits, "max_body_bytes", 4194304);
    this->AddOptional(limits, "header_timeout_ms", 3000);
    this->AddOptional(limits, "idle_timeout_ms", 15000);
    this->AddUnknown(limits);
    return limits;
  }

  Rng rng;
  uint64_t names = 0;
};

class ConfigCodecRandomTest : public testing::TestWithParam<uint64_t> {
 protected:
  static int64_t WholeOr(const Json& json, const char* name, int64_t fallback,
                         int64_t max) {
    if (!json.contains(name)) return fallback;
    const auto number = json[name].get<double>();
    return static_cast<int64_t>(std::min(number, static_cast<double>(max)));
  }

  static double MillisecondsOr(const Json& json, const char* name,
                               double fallback) {
    return std::min(json.value(name, fallback), 1e9);
  }

  static std::string InLowerCase(std::string host) {
    for (char& c : host) {
      if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    }
    return host;
  }

  static void CheckRoute(const Json& json, const serving::Route& route) {
    EXPECT_EQ(route.name, json["name"]);
    EXPECT_EQ(route.host, InLowerCase(json["host"]));
    EXPECT_EQ(route.path_prefix, json["path_prefix"]);
    EXPECT_EQ(serving::RequestKindName(route.kind), json["kind"]);
    EXPECT_NEAR(ToMilliseconds(route.timeout),
                MillisecondsOr(json, "timeout_ms", 0), kTimeTolerance);
    EXPECT_NEAR(ToMilliseconds(route.target_latency),
                MillisecondsOr(json, "target_latency_ms", 1000),
                kTimeTolerance);
    EXPECT_NEAR(ToMilliseconds(route.target_gap),
                MillisecondsOr(json, "target_gap_ms", 1000), kTimeTolerance);
    EXPECT_EQ(route.priority, WholeOr(json, "priority", 5, 9));
    EXPECT_EQ(route.attempt_limit, WholeOr(json, "max_attempts", 1, 1000000));
    EXPECT_EQ(route.anonymous, json.value("anonymous", false));
    EXPECT_EQ(route.resumable, json.value("resumable", false));
    EXPECT_EQ(route.has_prompt, json.value("affinity", false));

    if (json.contains("service")) {
      ASSERT_EQ(route.services.size(), 1U);
      EXPECT_EQ(route.services[0].service, json["service"]);
      return;
    }
    ASSERT_EQ(route.services.size(), json["traffic_split"].size());
    for (size_t i = 0; i < route.services.size(); ++i) {
      const Json& share = json["traffic_split"][i];
      EXPECT_EQ(route.services[i].service, share["service"]);
      EXPECT_EQ(route.services[i].weight, share["weight"].get<double>());
    }
  }

  static void CheckService(const Json& json, const serving::Service& service) {
    EXPECT_EQ(service.name, json["name"]);
    EXPECT_EQ(service.max_connections,
              WholeOr(json, "max_connections", 100, 1000000));
    ASSERT_EQ(service.engine.has_value(), json.contains("engine"));
    if (!service.engine) return;
    const Json& engine = json["engine"];
    EXPECT_EQ(service.engine->slots,
              std::max(WholeOr(engine, "slots", 1, 1000000), int64_t{1}));
    EXPECT_EQ(service.engine->memory.count,
              WholeOr(engine, "kv_capacity_tokens", 0, 1000000000000000));
  }

  static void CheckTenant(const Json& json,
                          const serving::ServingConfig& config, size_t index) {
    const serving::Organisation& tenant = config.organisations[index];
    EXPECT_EQ(tenant.name, json["name"]);
    ASSERT_EQ(tenant.prepaid.has_value(), json.contains("prepaid"));
    if (tenant.prepaid) {
      EXPECT_EQ(tenant.prepaid->count,
                WholeOr(json, "prepaid", 0, 1000000000000000));
    }
    ASSERT_EQ(tenant.priority.has_value(), json.contains("priority"));
    if (tenant.priority) {
      EXPECT_EQ(*tenant.priority, WholeOr(json, "priority", 5, 9));
    }
    if (!json.contains("api_keys")) return;
    for (const Json& key : json["api_keys"]) {
      EXPECT_EQ(config.FindOrganisationByKey(key), &tenant) << key;
    }
  }

  static void Check(const Json& document,
                    const serving::ServingConfig& config) {
    EXPECT_EQ(config.version, document["version"].get<uint64_t>());
    ASSERT_EQ(config.routes.size(), document["routes"].size());
    for (size_t i = 0; i < config.routes.size(); ++i) {
      const serving::Route& route = config.routes[i];
      CheckRoute(document["routes"][i], route);
      EXPECT_EQ(config.Match(route.host, route.path_prefix + "x"), &route);
    }
    ASSERT_EQ(config.services.size(), document["services"].size());
    for (size_t i = 0; i < config.services.size(); ++i) {
      CheckService(document["services"][i], config.services[i]);
      EXPECT_EQ(config.FindService(config.services[i].name),
                &config.services[i]);
    }
    const Json tenants = document.value("tenants", Json::array());
    ASSERT_EQ(config.organisations.size(), tenants.size());
    for (size_t i = 0; i < tenants.size(); ++i) {
      CheckTenant(tenants[i], config, i);
    }
    const Json limits = document.value("limits", Json::object());
    EXPECT_EQ(config.limits.header_bytes,
              WholeOr(limits, "max_header_bytes", 16384, 1000000000));
    EXPECT_EQ(config.limits.body_bytes,
              WholeOr(limits, "max_body_bytes", 4194304, 1000000000));
    EXPECT_NEAR(ToMilliseconds(config.limits.header_timeout),
                MillisecondsOr(limits, "header_timeout_ms", 3000),
                kTimeTolerance);
    EXPECT_NEAR(ToMilliseconds(config.limits.idle_timeout),
                MillisecondsOr(limits, "idle_timeout_ms", 15000),
                kTimeTolerance);
  }
};

// One field that is refused at all VMs alike leaves an older version in force:
// its new routes are answered 404 and its new keys 401.
TEST_P(ConfigCodecRandomTest, AllowedDocument_IsDecodedInFull) {
  ConfigDocuments documents(GetParam());
  for (int i = 0; i < 20; ++i) {
    const Json document = documents.Make();
    const std::string text = documents.Write(document);
    std::string reason;
    const serving::ServingConfigPtr config = DecodeConfig(text, reason);
    ASSERT_TRUE(config) << reason << '\n' << text;
    Check(document, *config);
    ASSERT_FALSE(this->HasFailure()) << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigCodecRandomTest,
                         testing::Range<uint64_t>(1, 101));

}  // namespace
}  // namespace fuchsiadrum::platform
