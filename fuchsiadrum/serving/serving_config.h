#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// What may be repeated.
enum class RequestKind {
  kSafe,       // idempotent
  kUnsafe,     // at most one run
  kStreaming,  // at most one run, unless its route is resumable
};

/// Name of a kind, for log lines.
std::string_view RequestKindName(RequestKind kind);

/// One of the services among which a route splits its requests.
struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

/// Where requests for a host and path go, and what the operators allow them.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<ServiceShare> services;
  RequestKind kind = RequestKind::kUnsafe;
  /// Longest time in which a request gets its final answer.
  Duration timeout = std::chrono::seconds(60);
  /// Time to the first byte of the answer that callers expect.
  Duration target_latency = std::chrono::seconds(1);
  /// Longest pause between events that callers expect.
  Duration target_gap = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int priority = 5;
  /// Upstreams on which one request may run.
  int attempt_limit = 1;
  /// No key is needed.
  bool anonymous = false;
  /// A stream that broke off may go on at another upstream.
  bool resumable = false;
  /// Requests name the parts of their prompt, which upstreams cache.
  bool has_prompt = false;

  /// True if the request may run again after a failure.
  bool IsIdempotent() const {
    return this->kind == RequestKind::kSafe ||
           (this->kind == RequestKind::kStreaming && this->resumable);
  }
};

/// What is known of the model engines behind a service.
struct EngineTraits {
  int slots = 1;
  Tokens memory;
  /// Output tokens in one event of a stream, at most.
  int tokens_per_event = 1;
};

/// A group of upstreams of one kind.
struct Service {
  std::string name;
  /// Connections that one upstream accepts from all callers together.
  int max_connections = 100;
  /// Empty for plain services.
  std::optional<EngineTraits> engine;
};

/// Who pays.
struct Organisation {
  std::string name;
  /// Takes precedence over the priority of the route.
  std::optional<int> priority;
  /// Tokens bought in advance; empty: not limited.
  std::optional<Tokens> prepaid;
  std::vector<std::string> keys;
};

/// Bounds on what callers send.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration. Not changed after Index.
class ServingConfig {
 public:
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;

  /// Builds the lookup tables; call it once, after the fields are filled.
  void Index();

  /// The route with the longest prefix of the path among those of the host;
  /// nullptr: none.
  const Route* Match(std::string_view host, std::string_view path) const;
  /// The organisation that holds the key; nullptr: none.
  const Organisation* OwnerOf(const std::string& key) const;
  /// nullptr: no such service.
  const Service* FindService(std::string_view name) const;

 private:
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host;
  std::unordered_map<std::string, size_t> organisation_of_key;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// Picks one of the route's services by weight.
const std::string& ChooseService(const Route& route, Rng& rng);

/// The configuration in force. Versions never go back.
class ConfigInForce {
 public:
  /// Takes the version over; false if it is not newer.
  bool Offer(ServingConfigPtr config);
  /// nullptr until the first version.
  const ServingConfigPtr& Get() const { return this->current; }

 private:
  ServingConfigPtr current;
};

}  // namespace fuchsiadrum::serving
