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

/// Options of the cost model by which an upstream is chosen. The times hold for
/// an upstream of average speed and are scaled by each upstream's measured
/// slowness.
struct PlacementOptions {
  uint64_t seed = 1;
  std::string availability_zone;
  /// Time to the first token without a queue, and the additional time for each
  /// uncached token.
  double fixed_ms = 25.0;
  double ms_per_token = 0.02;
  /// Additional time for each request that the upstream runs concurrently.
  double ms_per_running = 1.0;
  /// Additional time for each request in the upstream's queue.
  double ms_per_waiting = 40.0;
  /// Time of one request at a service that is not a model engine.
  double service_ms = 40.0;
  /// Cost of an upstream in another availability zone: latency and the price of
  /// traffic between zones.
  double other_zone_ms = 6.0;
  /// Cost of a failed request; it is multiplied by the upstream's failure
  /// ratio.
  double failure_ms = 1500.0;
  /// Cost for each millisecond of an upstream's silence.
  double silence_weight = 1.0;
  /// Number of preferred upstreams for each prompt. All gateways compute the
  /// same preference, so these upstreams have the prompt cached by requests of
  /// the whole fleet.
  size_t preferred = 2;
  /// Cost of processing uncached tokens at an upstream that is not preferred,
  /// as a fraction of their processing time: they evict other prompts from its
  /// cache.
  double displacement = 1.0;
  /// Maximum random fraction added to each cost, so that the gateways do not
  /// all choose the same upstream.
  double noise = 0.05;
};

/// The properties of a request that the choice depends on.
struct PlacementRequest {
  std::span<const PromptPart> parts;
  int64_t prompt_tokens = 0;
  /// True for requests to model engines.
  bool has_prompt = false;
};

/// The chosen upstream and the inputs of the choice, which are logged and later
/// compared with the observed time.
struct PlacementChoice {
  FleetUpstreamPtr upstream;
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidates = 0;
};

/// Chooses the upstream with the lowest expected cost, which is mainly the
/// expected time to the first byte.
class Placement {
 public:
  explicit Placement(const PlacementOptions& opts)
      : options(opts), rng(opts.seed) {}

  /// Chooses among `candidates`, all of which must be eligible for requests. If
  /// it returns nullopt, LastReason() says why.
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
/// Returns the rendezvous hash of a prompt part and an upstream. The upstreams
/// with the highest values are preferred; all gateways compute the same values.
uint64_t Preference(uint64_t part, std::string_view upstream);
}  // namespace detail

}  // namespace fuchsiadrum::serving
