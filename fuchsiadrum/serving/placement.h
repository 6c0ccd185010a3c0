#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/fleet_upstream.h"

namespace fuchsiadrum::serving {

/// Options of the choice of an upstream. The times are for an upstream of
/// ordinary speed; each upstream's own slowness is learned.
struct PlacementOptions {
  uint64_t seed = 1;
  std::string availability_zone;
  /// Time to a first token without a queue, and for each uncached token.
  double fixed_ms = 25.0;
  double ms_per_token = 0.02;
  /// Extra time for each request that runs beside.
  double ms_per_running = 1.0;
  /// Time that one request in the upstream's queue stands for.
  double ms_per_waiting = 40.0;
  /// Time of one request at a plain service.
  double service_ms = 40.0;
  /// Cost of leaving the availability zone: latency and priced traffic.
  double other_zone_ms = 6.0;
  /// Cost of a request that fails, times the upstream's failure ratio.
  double failure_ms = 1500.0;
  /// Cost of an upstream's silence, per millisecond of it.
  double silence_weight = 1.0;
  /// Upstreams with a preference for a prompt: they will have it cached by the
  /// requests of all gateways, which compute the same preference.
  size_t preferred = 2;
  /// Cost, as a part of the time saved, of reading a shared part at an upstream
  /// that is not preferred: it drops other prompts from the memory there.
  double displacement = 1.0;
  /// Random part of a cost, against all gateways choosing alike.
  double noise = 0.05;
};

/// What the choice depends on.
struct PlacementRequest {
  std::span<const PromptPart> parts;
  int64_t prompt_tokens = 0;
  /// True for model engines.
  bool has_prompt = false;
};

/// A chosen upstream and the inputs of the choice, for logs and learning.
struct PlacementChoice {
  FleetUpstreamPtr upstream;
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidates = 0;
};

/// Chooses the upstream with the least expected time to a first byte.
class Placement {
 public:
  explicit Placement(const PlacementOptions& opts)
      : options(opts), rng(opts.seed) {}

  /// nullopt: see LastReason(). `candidates` may all get requests.
  std::optional<PlacementChoice> Choose(
      TimePoint now, std::span<const FleetUpstreamPtr> candidates,
      const PlacementRequest& request);
  const Reason& LastReason() const { return this->reason; }

 private:
  double ExpectedMs(TimePoint now, const FleetUpstream& upstream,
                    const PlacementRequest& request, int64_t uncached) const;

  PlacementOptions options;
  Rng rng;
  Reason reason;
};

namespace detail {
/// Rank of an upstream for a prompt: the highest is preferred. Equal on all
/// gateways (rendezvous hashing).
uint64_t Preference(uint64_t part, std::string_view upstream);
}  // namespace detail

}  // namespace fuchsiadrum::serving
