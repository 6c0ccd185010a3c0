#include "daemon/load_report.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

#include "fuchsiadrum/core/bounded_json.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/core/json_number.h"

namespace fuchsiadrum::daemon {
namespace {

using nlohmann::json;

/// Larger counts of requests would overflow where they are added up.
constexpr WholeRange kRequests = {.max = 1000000};
constexpr WholeRange kCacheSequence = {.max = int64_t{1} << 53U};
constexpr double kMaxTokensPerSecond = 1e9;
constexpr size_t kMaxModels = 64;
constexpr size_t kMaxPrefixes = 4096;

int Count(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end()) return 0;
  return static_cast<int>(ClampedNumber(*found, kRequests).value_or(0));
}

}  // namespace

node::UpstreamReport ParseLoadReport(const std::string& text) {
  node::UpstreamReport out;
  const json body = ParseBoundedJson(text);
  if (!body.is_object()) return out;

  out.reachable = true;
  out.running = Count(body, "running");
  out.queued = Count(body, "queued");
  const auto speed = body.find("tokens_per_second");
  if (speed != body.end() && speed->is_number()) {
    out.tokens_per_second =
        std::clamp(speed->get<double>(), 0.0, kMaxTokensPerSecond);
  }
  const auto version = body.find("version");
  if (version != body.end() && version->is_string()) out.version = *version;
  const auto role = body.find("role");
  if (role != body.end() && role->is_string()) out.role = *role;
  const auto leaving = body.find("leaving");
  out.leaving = leaving != body.end() && *leaving == true;
  const auto sequence = body.find("cache_sequence");
  if (sequence != body.end()) {
    const auto number = WholeNumber(*sequence, kCacheSequence);
    if (number) out.cache_sequence = static_cast<uint64_t>(*number);
  }

  const auto models = body.find("models");
  if (models != body.end() && models->is_array()) {
    for (const json& model : *models) {
      if (model.is_string() && out.models.size() < kMaxModels) {
        out.models.push_back(model);
      }
    }
  }
  const auto prefixes = body.find("cached_prefixes");
  if (prefixes == body.end() || !prefixes->is_array()) return out;
  for (const json& prefix : *prefixes) {
    if (!prefix.is_string() || out.cached_prefixes.size() >= kMaxPrefixes) {
      continue;
    }
    // Eight bytes in the order of memory of a little-endian machine.
    const std::string bytes = FromHex(prefix.get_ref<const std::string&>());
    uint64_t hash = 0;
    if (bytes.size() != sizeof hash) continue;
    std::memcpy(&hash, bytes.data(), sizeof hash);
    out.cached_prefixes.push_back(hash);
  }
  return out;
}

std::string PlacementOrderJson(const upstream::PlacementOrder& order) {
  const json body = {{"fencing", order.fencing},
                     {"models", order.models},
                     {"adapters", order.adapters},
                     {"version", order.version},
                     {"role", order.role}};
  return body.dump();
}

}  // namespace fuchsiadrum::daemon
