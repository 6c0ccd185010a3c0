#include "fuchsiadrum/serving/placement.h"

#include <algorithm>
#include <limits>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {

namespace detail {

uint64_t Preference(uint64_t part, std::string_view upstream) {
  return Hash64(upstream, part);
}

}  // namespace detail

namespace {

/// A candidate and its rendezvous hash for the prompt.
struct Ranked {
  const FleetUpstreamPtr* upstream = nullptr;
  uint64_t preference = 0;
};

/// Returns the id of the last part that other requests may share; it identifies
/// the shared prefix and is the input of the preference. The last part of a
/// prompt belongs to one request or session.
uint64_t SharedPart(std::span<const PromptPart> parts) {
  if (parts.empty()) return 0;
  return parts.size() == 1 ? parts[0].id : parts[parts.size() - 2].id;
}

}  // namespace

std::optional<PlacementChoice> Placement::Choose(
    TimePoint now, std::span<const FleetUpstreamPtr> candidates,
    const PlacementRequest& request) {
  std::vector<Ranked> usable;
  usable.reserve(candidates.size());
  for (const FleetUpstreamPtr& candidate : candidates) {
    usable.push_back({.upstream = &candidate});
  }
  if (usable.empty()) {
    this->reason = {.step = "place", .text = "no upstream of the service"};
    return std::nullopt;
  }

  // Sort by preference, so that the same prompt is sent to the same caches.
  if (request.has_prompt) {
    const uint64_t shared = SharedPart(request.parts);
    for (Ranked& candidate : usable) {
      candidate.preference =
          detail::Preference(shared, (*candidate.upstream)->entry.id);
    }
    std::ranges::sort(usable, std::greater<>(), &Ranked::preference);
  }

  std::optional<PlacementChoice> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (size_t rank = 0; rank < usable.size(); ++rank) {
    const FleetUpstreamPtr& candidate = *usable[rank].upstream;
    const int64_t uncached =
        request.prompt_tokens - candidate->cache.CachedTokens(request.parts);
    const double expected =
        this->ExpectedMs(now, *candidate, request, uncached);

    double cost = expected;
    if (request.has_prompt && rank >= this->options.preferred) {
      cost += this->options.displacement * this->options.ms_per_token *
              static_cast<double>(uncached);
    }
    if (candidate->entry.availability_zone != this->options.availability_zone) {
      cost += this->options.other_zone_ms;
    }
    cost += this->options.failure_ms * candidate->FailureRatio();
    cost +=
        this->options.silence_weight * ToMilliseconds(candidate->Silence(now));
    cost *= 1 + this->options.noise * this->rng.Unit();
    if (cost >= best_cost) continue;

    best_cost = cost;
    best = PlacementChoice{.upstream = candidate,
                           .expected_ms = expected,
                           .uncached_tokens = uncached};
  }
  if (!best) {
    this->reason = {.step = "place", .text = "no upstream has a finite cost"};
    return std::nullopt;
  }
  best->candidates = usable.size();
  return best;
}

double Placement::ExpectedMs(TimePoint now, const FleetUpstream& upstream,
                             const PlacementRequest& request,
                             int64_t uncached) const {
  const int running = upstream.Running(now);
  const int waiting = upstream.Waiting(now);
  const double slowness = upstream.Slowness() * upstream.WorkFactor(now);
  if (!request.has_prompt) {
    const int slots = std::max(1, upstream.entry.slots);
    const double rounds = static_cast<double>(running + waiting) / slots;
    return slowness * this->options.service_ms * (1 + rounds);
  }

  const auto tokens = static_cast<double>(uncached + upstream.pending_tokens);
  const double work = this->options.fixed_ms +
                      this->options.ms_per_token * tokens +
                      this->options.ms_per_running * running +
                      this->options.ms_per_waiting * waiting;
  return slowness * work;
}

}  // namespace fuchsiadrum::serving
