#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/routing/first_token_model.h"
#include "fuchsiadrum/routing/prefix_index.h"
#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/service_model.h"

namespace fuchsiadrum::serving {

/// Options of the cost model by which an upstream is chosen. The times hold for
/// an upstream of average speed until they are learned from answers, and are
/// scaled by each upstream's measured slowness.
struct PlacementOptions {
  uint64_t seed = 1;
  std::string availability_zone;
  /// Time to the first token without a queue, and the additional time for each
  /// uncached token.
  double fixed_ms = 25.0;
  double ms_per_token = 0.02;
  /// Additional time for each request that the upstream runs concurrently.
  double ms_per_running = 1.0;
  /// Time for which a request holds a slot of a model engine.
  double hold_ms = 800.0;
  /// Time of one request at a service that is not a model engine.
  double service_ms = 40.0;
  /// Weight of these times against what is learned: as much as twenty
  /// observations. A VM sees few requests, and their times have a long tail.
  double prior_observations = 20.0;
  /// One time counts as at most this multiple of the expected one, and as at
  /// least the inverse: the latest answers must not dominate.
  double max_ratio = 3.0;
  /// Cost of an upstream in another availability zone: latency and the price of
  /// traffic between zones.
  double other_zone_ms = 6.0;
  /// Cost of a failed request; it is multiplied by the upstream's failure
  /// ratio.
  double failure_ms = 1500.0;
  /// Cost of an upstream above its ramp-up. It is as bad as a failure, but
  /// better than none.
  double ramp_ms = 1500.0;
  /// Cost for each millisecond of an upstream's silence.
  double silence_weight = 1.0;
  /// Number of preferred upstreams for each prompt. All gateways compute the
  /// same preference, so these upstreams have the prompt cached by requests of
  /// the whole fleet. It grows with the demand for the shared part, so that
  /// these requests take no more than the two fractions of an upstream's
  /// prefill time and slots. With 0.3 and 0.5 preferred upstreams are full at
  /// bursts while others idle (PlacementFleetTest); each more costs one prefill
  /// of the shared part.
  size_t min_preferred = 2;
  size_t max_preferred = 128;
  double prefill_use = 0.1;
  double slot_use = 0.25;
  /// Cost of processing shared tokens at an upstream that is not preferred, as
  /// a fraction of their processing time: they evict other prompts from its
  /// cache.
  double displacement = 1.0;
  /// Up to this many candidates are all compared; of more only samples, so that
  /// VMs that act on the same stale report do not meet at one upstream.
  size_t full_scan = 24;
  size_t preferred_samples = 4;
  size_t other_samples = 3;
  /// Maximum random fraction added to each cost, so that the gateways do not
  /// all choose the same upstream. It is up to five times as large where the
  /// load is only guessed.
  double noise = 0.05;
  /// An upstream that appears later than this after the first request of its
  /// service has just started.
  Duration settle_time = std::chrono::seconds(5);
};

/// The step of LastReason if the memory of all candidates is in use.
constexpr std::string_view kMemoryStep = "memory";

/// The properties of a request that the choice depends on.
struct PlacementRequest {
  std::string_view service;
  std::span<const PromptPart> parts;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  /// Tokens that an upstream can hold; 0: unknown.
  int64_t memory_tokens = 0;
  /// True for requests to model engines.
  bool has_prompt = false;
};

/// The chosen upstream and the inputs of the choice, which are logged and later
/// compared with the observed time.
struct PlacementChoice {
  FleetUpstreamPtr upstream;
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  /// Tokens of the prompt and its output, which the upstream has to hold.
  int64_t held_tokens = 0;
  size_t candidates = 0;
  /// Number of preferred upstreams of the prompt, and whether this is one.
  size_t preferred = 0;
  bool is_preferred = false;
  /// What is learned from the answer: the model of the service, the inputs of
  /// the expected time, and the part of its slowness that was reported.
  ServiceModel* model = nullptr;
  routing::FirstTokenFactors factors;
  double work = 1;
  /// Tokens of shared parts that this VM has not sent to the upstream, and how
  /// many of them are expected to be cached there by requests of other VMs.
  double unseen_tokens = 0;
  double unseen_cached = 0;
};

/// Chooses the upstream with the lowest expected cost, which is mainly the
/// expected time to the first byte, and learns from the answers.
class Placement {
 public:
  explicit Placement(const PlacementOptions& opts);

  /// Chooses among `candidates`, all of which must be eligible for requests. If
  /// it returns nullopt, LastReason() says why.
  std::optional<PlacementChoice> Choose(
      TimePoint now, std::span<const FleetUpstreamPtr> candidates,
      const PlacementRequest& request);
  const Reason& LastReason() const { return this->reason; }
  /// Upstreams that ramp up, of the services that have requests.
  size_t Ramping() const;
  /// Choices that failed because the memory of all candidates was in use.
  uint64_t MemoryRefusals() const { return this->memory_refusals; }

  /// Number of VMs that send requests to the same upstreams.
  void SetFleetSize(size_t vms) { this->vms = vms > 0 ? vms : 1; }
  /// The request is sent to the chosen upstream.
  void OnSend(TimePoint now, const PlacementChoice& choice,
              std::span<const PromptPart> parts);
  /// The first token, or the whole of another answer, came after this time.
  void OnFirstToken(TimePoint now, const PlacementChoice& choice,
                    Duration observed);
  /// The request has ended without a first token after this time.
  void OnOverdue(TimePoint now, const PlacementChoice& choice, Duration waited);
  /// An answer was complete. `after_first` is the time from its first token to
  /// its end.
  void OnComplete(const PlacementChoice& choice, Duration after_first);
  /// The mean interval between events of an answer with enough of them.
  void OnEventInterval(const PlacementChoice& choice, Duration interval);

 private:
  /// The inputs of one choice that are the same for all candidates.
  struct Context;
  struct Ranked {
    uint64_t preference = 0;
    uint32_t index = 0;
  };
  struct Service {
    ServiceModel model;
    TimePoint first_choice;
    /// Upstreams that ramped up at the last choice.
    size_t ramping = 0;
  };
  struct Best {
    std::optional<PlacementChoice> choice;
    double cost = 0;
    bool is_above_ramp = false;
  };

  Service& ServiceOf(TimePoint now, const PlacementRequest& request,
                     const FleetUpstream& upstream);
  /// Gives numbers to new upstreams and begins ramp-ups. Returns the number of
  /// upstreams that ramp up.
  size_t Introduce(TimePoint now, const Service& service,
                   std::span<const FleetUpstreamPtr> candidates);
  void Prepare(Context& context) const;
  size_t PreferredCount(const Context& context, double demand) const;
  /// Brings the preferred candidates to the front of `order`.
  void Rank(Context& context);
  void ConsiderAll(const Context& context, Best& best);
  void ConsiderSamples(const Context& context, Best& best);
  /// Compares the candidate at this place of `order` with the best one.
  void Consider(const Context& context, size_t place, Best& best);
  /// Fills in what the choice of this upstream means for the request.
  PlacementChoice Assess(const Context& context,
                         const FleetUpstreamPtr& upstream, bool is_preferred,
                         const LoadEstimate& load) const;
  bool ExceedsMemory(const Context& context, const FleetUpstream& upstream,
                     const LoadEstimate& load) const;
  RampState RampStateOf(TimePoint now, const ServiceModel& model,
                        const FleetUpstream& upstream) const;

  PlacementOptions options;
  Rng rng;
  Reason reason;
  uint64_t memory_refusals = 0;
  size_t vms = 1;
  uint32_t last_number = 0;
  std::map<std::string, Service, std::less<>> services;
  /// Which upstreams have got a prompt with the same parts from this VM.
  routing::PrefixIndex prefixes;
  /// The candidates of the present choice; kept to reuse the memory.
  std::vector<Ranked> order;
};

namespace detail {
/// Returns the rendezvous hash of a prompt part and an upstream's id_hash. The
/// upstreams with the highest values are preferred; all gateways compute the
/// same values.
uint64_t Preference(uint64_t part, uint64_t upstream);
}  // namespace detail

}  // namespace fuchsiadrum::serving
