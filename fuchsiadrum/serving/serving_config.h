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

/// Which requests of a route may run more than once.
enum class RequestKind {
  kSafe,       // idempotent
  kUnsafe,     // at most one run
  kStreaming,  // at most one run, unless its route is resumable
};

/// Returns the name of a kind as used in log lines.
std::string_view RequestKindName(RequestKind kind);

/// One of the services among which a route splits its requests.
struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

/// Maps requests for a host and path prefix to services, with the limits that
/// the operators set for them.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<ServiceShare> services;
  RequestKind kind = RequestKind::kUnsafe;
  /// Maximum time until a request has its complete answer.
  Duration timeout = std::chrono::seconds(60);
  /// Time to the first byte of the answer that callers expect.
  Duration target_latency = std::chrono::seconds(1);
  /// Maximum time between two events that callers expect.
  Duration target_gap = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int priority = 5;
  /// Maximum number of upstreams on which one request may run.
  int attempt_limit = 1;
  /// True if requests need no key.
  bool anonymous = false;
  /// True if a stream that broke off may be resumed at another upstream.
  bool resumable = false;
  /// True if requests list the parts of their prompt, which upstreams cache.
  bool has_prompt = false;

  /// Returns true if a request may run again after a failure.
  bool IsIdempotent() const {
    return this->kind == RequestKind::kSafe ||
           (this->kind == RequestKind::kStreaming && this->resumable);
  }
};

/// Properties of the model engines of a service.
struct EngineTraits {
  int slots = 1;
  Tokens memory;
  /// Maximum number of output tokens in one event of a stream.
  int tokens_per_event = 1;
};

/// A group of interchangeable upstreams.
struct Service {
  std::string name;
  /// Maximum number of connections that one upstream accepts in total.
  int max_connections = 100;
  /// How long an upstream is cold after its start, and how many requests per
  /// second it takes meanwhile; 0: it is never cold.
  Duration cold_time = Duration::zero();
  double cold_requests_per_s = 0;
  /// Empty if the upstreams are not model engines.
  std::optional<EngineTraits> engine;
};

/// A customer: holds keys and pays for the requests made with them.
struct Organisation {
  std::string name;
  /// Overrides the priority of the route.
  std::optional<int> priority;
  /// Prepaid tokens; empty if there is no limit.
  std::optional<Tokens> prepaid;
  std::vector<std::string> keys;
};

/// Limits on the size of requests and on the time that callers take to send
/// them.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration. Immutable after Index.
class ServingConfig {
 public:
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;

  /// Builds the lookup tables. To be called once, after all fields are set.
  void Index();

  /// Returns the route of the host with the longest matching path prefix, or
  /// nullptr if there is none.
  const Route* Match(std::string_view host, std::string_view path) const;
  /// Returns the organisation that holds the key, or nullptr if there is none.
  const Organisation* FindOrganisationByKey(const std::string& key) const;
  /// Returns nullptr if there is no such service.
  const Service* FindService(std::string_view name) const;

 private:
  /// Indexes of the routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host;
  std::unordered_map<std::string, size_t> organisation_of_key;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// Chooses one of the route's services at random in proportion to the weights.
const std::string& ChooseService(const Route& route, Rng& rng);

/// Holds the current configuration. Its version never decreases.
class CurrentConfig {
 public:
  /// Replaces the configuration; returns false and keeps the current one if
  /// `config` is not newer.
  bool UpdateIfNewer(ServingConfigPtr config);
  /// Returns nullptr until a first version was set.
  const ServingConfigPtr& Get() const { return this->current; }

 private:
  ServingConfigPtr current;
};

}  // namespace fuchsiadrum::serving
