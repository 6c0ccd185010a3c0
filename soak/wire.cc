#include "soak/wire.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::soak {
namespace {

constexpr std::string_view kHost = "choir.example";
constexpr std::string_view kService = "engine";
constexpr int kTimeoutMs = 1000;
constexpr int kLongTimeoutMs = 20000;

constexpr std::array<RouteTraits, kRouteCount> kRoutes = {
    RouteTraits{.name = "book", .kind = "unsafe", .max_attempts = 2},
    RouteTraits{.name = "list", .kind = "safe", .max_attempts = 3},
    RouteTraits{.name = "draft",
                .kind = "streaming",
                .max_attempts = 3,
                .is_stream = true,
                .is_resumable = true},
    RouteTraits{.name = "ask",
                .kind = "streaming",
                .max_attempts = 1,
                .is_stream = true},
    RouteTraits{.name = "letter",
                .kind = "streaming",
                .max_attempts = 1,
                .is_stream = true,
                .is_long = true},
    RouteTraits{.name = "tale",
                .kind = "streaming",
                .max_attempts = 3,
                .is_stream = true,
                .is_resumable = true,
                .is_long = true},
    RouteTraits{.name = "added", .kind = "safe", .max_attempts = 3}};

/// Start of the paths of a route.
std::string PathPrefix(SoakRoute route, int added) {
  std::string prefix = "/" + std::string(TraitsOf(route).name);
  if (route == SoakRoute::kAdded) prefix += "-" + std::to_string(added);
  return prefix + "/";
}

std::string Field(std::string_view name, std::string_view value) {
  return std::string(name) + ": " + std::string(value) + "\r\n";
}

/// The parts of the request's prompt: one of its route, one that some requests
/// share, the bad one if it has that, and its own.
std::string EncodeParts(SoakRoute route, const std::string& id) {
  constexpr uint64_t kMiddleParts = 8;
  const uint64_t hash = Hash64(StreamOf(id));
  std::string parts = "f" + std::to_string(static_cast<int>(route)) + ":60,a" +
                      std::to_string(hash % kMiddleParts) + ":20";
  if (HasBadPart(id)) parts += ",bad:10";
  std::ostringstream own;
  own << std::hex << hash;
  return parts + "," + own.str() + ":10";
}

}  // namespace

const RouteTraits& TraitsOf(SoakRoute route) {
  return kRoutes[static_cast<size_t>(route)];
}

SoakRoute RouteOfPath(std::string_view path) {
  for (size_t i = 0; i < kRoutes.size(); ++i) {
    if (path.substr(1).starts_with(kRoutes[i].name)) {
      return static_cast<SoakRoute>(i);
    }
  }
  return SoakRoute::kUnsafe;
}

std::string EncodeConfig(int version) {
  nlohmann::json routes = nlohmann::json::array();
  // The routes that each version adds follow the other ones.
  for (int i = 0; i < kRouteCount - 1 + version; ++i) {
    const auto kind = static_cast<SoakRoute>(std::min(i, kRouteCount - 1));
    const RouteTraits& route = TraitsOf(kind);
    const std::string prefix = PathPrefix(kind, i - kRouteCount + 2);
    routes.push_back(
        {{"name", prefix.substr(1, prefix.size() - 2)},
         {"host", kHost},
         {"path_prefix", prefix},
         {"kind", route.kind},
         {"timeout_ms", route.is_long ? kLongTimeoutMs : kTimeoutMs},
         // Budgets are closed before the end of a stop.
         {"anonymous", route.is_long},
         {"service", kService},
         {"max_attempts", route.max_attempts},
         {"resumable", route.is_resumable}});
  }
  constexpr int64_t kPrepaid = 1000000000;
  return nlohmann::json{
      {"version", version},
      {"routes", routes},
      {"services", {{{"name", kService}, {"max_connections", 1000}}}},
      {"limits", nlohmann::json::object()},
      {"tenants",
       {{{"name", "parish"}, {"api_keys", {"k1"}}, {"prepaid", kPrepaid}}}}}
      .dump();
}

std::string EncodeEntry(const std::string& address, int64_t sequence, int start,
                        const std::string& version) {
  constexpr int64_t kFirstStart = 1700000000000;
  return nlohmann::json{{"service", kService},
                        {"address", address},
                        {"zone", "a"},
                        {"slots", 32},
                        {"born", kFirstStart + start},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"sequence", sequence},
                        {"version", version}}
      .dump();
}

std::string StreamOf(const std::string& id) {
  return id.substr(0, id.find('+'));
}

std::string TakeUpId(const std::string& stream, int number) {
  return stream + "+" + std::to_string(number);
}

std::string EncodeTakeUp(const std::string& stream, uint64_t last_event) {
  return Field(kFieldLastEvent, std::to_string(last_event)) +
         Field("Resumes", stream);
}

uint64_t LastEvent(std::string_view body) {
  constexpr std::string_view kStart = "id: ";
  const size_t end = body.rfind("\n\n");
  if (end == std::string_view::npos) return 0;
  const size_t at = body.rfind(kStart, end);
  if (at == std::string_view::npos) return 0;
  return std::strtoull(body.substr(at + kStart.size()).data(), nullptr, 10);
}

std::set<std::string> VersionsIn(std::string_view body) {
  std::set<std::string> versions;
  for (size_t end = body.find("\n\n"); end != std::string_view::npos;
       end = body.find("\n\n")) {
    const std::string_view event = body.substr(0, end);
    if (event.find("\ndata: ") != std::string_view::npos) {
      versions.emplace(event.substr(event.rfind(' ') + 1));
    }
    body.remove_prefix(end + 2);
  }
  return versions;
}

std::string EncodeRequestHead(SoakRoute route, const std::string& id,
                              int added) {
  const RouteTraits& traits = TraitsOf(route);
  std::string head = "POST " + PathPrefix(route, added) + "x HTTP/1.1\r\n" +
                     Field("Host", kHost) + Field(kFieldId, id);
  if (traits.is_long) {
    // Half of the requests say how long their answer may get.
    const bool states_tokens = Hash64(id + "/tokens") % 2 == 0;
    return states_tokens ? head + Field("Token-Counts", "100,200") : head;
  }
  head += Field("Key", "k1") +
          Field("Deadline-Ms", std::to_string(kCallerTimeoutMs));
  if (traits.is_stream) {
    head += Field("Token-Counts", "100,50") +
            Field("Prompt-Prefix", EncodeParts(route, id));
  }
  return head;
}

bool HasBadPart(const std::string& id) {
  constexpr uint64_t kOneIn = 25;
  return Hash64(StreamOf(id) + "/bad") % kOneIn == 0;
}

std::string RequestBody(const std::string& id, size_t bytes) {
  std::string body;
  body.reserve(bytes + id.size() + 1);
  while (body.size() < bytes) body += id + ";";
  return body + "end";
}

bool IsRequestBody(const std::string& id, std::string_view body) {
  if (!body.ends_with("end")) return false;
  body.remove_suffix(std::string_view("end").size());
  const std::string unit = id + ";";
  while (!body.empty()) {
    if (!body.starts_with(unit)) return false;
    body.remove_prefix(unit.size());
  }
  return true;
}

std::string AnswerBody(SoakRoute route, const std::string& id,
                       const std::string& version, uint64_t last_event) {
  const std::string stream = StreamOf(id);
  const uint64_t hash = Hash64(stream);
  std::string body;
  if (!TraitsOf(route).is_stream) {
    constexpr uint64_t kMaxLines = 40;
    for (uint64_t i = 0; i <= hash % kMaxLines; ++i) body += id + "\n";
    return body;
  }
  constexpr uint64_t kMaxEvents = 8;
  uint64_t events = 1 + hash % kMaxEvents;
  if (TraitsOf(route).is_long && Hash64(stream + "/long") % 5 == 0) {
    events *= 20;
  }
  const std::string data = "\ndata: " + stream + " " + version + "\n\n";
  for (uint64_t i = last_event + 1; i <= events; ++i) {
    body.append("id: ").append(std::to_string(i)).append(data);
  }
  return body;
}

std::string EncodeAnswerHead(std::string_view status, const std::string& id,
                             const std::string& signature) {
  std::string head = "HTTP/1.1 " + std::string(status) + "\r\n";
  if (!id.empty()) head += Field(kFieldId, id);
  if (!signature.empty()) head += Field(kFieldSignature, signature);
  return head;
}

std::string EncodeRefusal(std::string_view status, const std::string& id) {
  return EncodeAnswerHead(status, id, "") + std::string(NotRunField()) +
         "Content-Length: 0\r\n\r\n";
}

std::string_view NotRunField() { return "Not-Executed: 1\r\n"; }

std::string EncodeChunk(std::string_view bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

bool IsDenial(unsigned int status) {
  return status == 401 || status == 403 || status == 404;
}

bool IsPromise(unsigned int status) {
  constexpr std::array<unsigned int, 4> kPromises = {408, 421, 429, 503};
  for (const unsigned int promise : kPromises) {
    if (status == promise) return true;
  }
  return false;
}

}  // namespace fuchsiadrum::soak
