#include "fuchsiadrum/routing/cost_router.h"

#include <algorithm>

namespace fuchsiadrum::routing {

CostRouter::CostRouter(upstream::UpstreamTable& table,
                       const CostRouterOptions& options)
    : BaseRouter(table, options.base),
      options(options),
      speed(table, options.speed),
      prefixes(options.prefixes) {}

std::optional<UpstreamIndex> CostRouter::Pick(
    TimePoint /*now*/, const upstream::CandidateGroup& group,
    const RequestFeatures& request) {
  this->prefixes.Match(request.prefix_hashes, this->match);
  const auto zone = this->table.FindZone(request.zone);
  Best best;

  if (group.all.size() <= this->options.full_scan) {
    for (const UpstreamIndex index : group.all) {
      this->Consider(index, request, zone, best);
    }
    return best.index;
  }

  // Holders of the prefix, then the better of a few random candidates.
  for (size_t i = 0; i < this->match.count; ++i) {
    const UpstreamIndex holder = this->match.holders[i].upstream;
    if (this->table.At(holder).AcceptsWork()) {
      this->Consider(holder, request, zone, best);
    }
  }
  if (zone && *zone < group.by_zone.size()) {
    this->Sample(group.by_zone[*zone], this->options.own_zone_samples, request,
                 zone, best);
  }
  this->Sample(group.all, this->options.other_samples, request, zone, best);
  if (best.index) return best.index;

  // None of the samples was eligible: look at all.
  for (const UpstreamIndex index : group.all) {
    this->Consider(index, request, zone, best);
  }
  return best.index;
}

Dispatch CostRouter::OnDispatch(TimePoint now, UpstreamIndex upstream,
                                const RequestFeatures& request) {
  Dispatch dispatch = BaseRouter::OnDispatch(now, upstream, request);
  this->prefixes.Match(request.prefix_hashes, this->match);
  dispatch.cached_tokens = this->CachedTokens(upstream, request);
  for (const uint64_t hash : request.prefix_hashes) {
    this->prefixes.Add(hash, upstream);
  }
  return dispatch;
}

void CostRouter::OnFirstToken(TimePoint now, Dispatch& dispatch) {
  const bool first = !dispatch.first_token_seen && this->IsCurrent(dispatch);
  BaseRouter::OnFirstToken(now, dispatch);
  if (!first) return;
  const double uncached =
      static_cast<double>(dispatch.prompt_tokens - dispatch.cached_tokens);
  this->speed.OnFirstToken(dispatch.upstream,
                           this->Factors(dispatch.upstream, uncached),
                           now - dispatch.at);
}

void CostRouter::OnReport(TimePoint now, UpstreamIndex upstream,
                          const CacheEvents& events) {
  BaseRouter::OnReport(now, upstream, events);
  if (this->table.At(upstream).reachable) {
    this->FollowCacheEvents(upstream, events);
  }
}

double CostRouter::ExpectedFirstToken(const Dispatch& dispatch) const {
  const double uncached =
      static_cast<double>(dispatch.prompt_tokens - dispatch.cached_tokens);
  return this->speed.Expected(dispatch.upstream,
                              this->Factors(dispatch.upstream, uncached));
}

void CostRouter::Consider(UpstreamIndex index, const RequestFeatures& request,
                          std::optional<upstream::ZoneIndex> zone, Best& best) {
  if (!this->IsEligible(index, request)) return;
  const upstream::UpstreamState& state = this->table.At(index);

  const double uncached =
      static_cast<double>(request.prompt_bound.count) -
      this->options.cached_weight *
          static_cast<double>(this->CachedTokens(index, request));
  double cost = this->speed.Expected(index, this->Factors(index, uncached));
  cost *= 1.0 + this->options.noise * this->rng.Unit();
  if (zone != state.zone) {
    cost += static_cast<double>(this->options.zone_distance.count());
  }
  if (!state.reachable) {
    cost += static_cast<double>(this->options.unreachable_cost.count());
  }
  if (!best.index || cost < best.cost) best = {index, cost};
}

void CostRouter::Sample(const std::vector<UpstreamIndex>& from, size_t samples,
                        const RequestFeatures& request,
                        std::optional<upstream::ZoneIndex> zone, Best& best) {
  if (from.empty()) return;
  for (size_t i = 0; i < samples; ++i) {
    this->Consider(from[this->rng.Below(from.size())], request, zone, best);
  }
}

int64_t CostRouter::CachedTokens(UpstreamIndex index,
                                 const RequestFeatures& request) const {
  const int64_t tokens = this->options.prefix_block *
                         static_cast<int64_t>(this->match.DepthOf(index));
  return std::min(tokens, request.prompt_bound.count);
}

FirstTokenFactors CostRouter::Factors(UpstreamIndex index,
                                      double uncached) const {
  const upstream::UpstreamState& state = this->table.At(index);
  // What happened since the moment of the report: own dispatches less own
  // ends, and as much from each other daemon.
  const double since =
      static_cast<double>(state.in_flight - state.in_flight_at_report);
  const double reported = state.running + state.queued;
  const double now = reported + this->options.fleet_factor * since;
  return {.uncached_tokens = uncached,
          .requests = std::max(now, static_cast<double>(state.in_flight)),
          .queued = static_cast<double>(state.queued)};
}

void CostRouter::FollowCacheEvents(UpstreamIndex upstream,
                                   const CacheEvents& events) {
  if (this->cursors.size() <= upstream) {
    this->cursors.resize(this->table.Slots());
  }
  CacheCursor& cursor = this->cursors[upstream];
  const uint32_t epoch = this->table.At(upstream).epoch;
  if (cursor.epoch != epoch) cursor = CacheCursor{.epoch = epoch};

  // After a gap it is unknown which prefixes were evicted meanwhile.
  if (cursor.started && events.first_sequence != cursor.next) {
    this->prefixes.Invalidate(upstream);
  }
  cursor.started = true;
  cursor.next =
      events.first_sequence + events.stored.size() + events.evicted.size();

  for (const uint64_t hash : events.evicted) {
    this->prefixes.Remove(hash, upstream);
  }
  for (const uint64_t hash : events.stored) {
    this->prefixes.Add(hash, upstream);
  }
}

}  // namespace fuchsiadrum::routing
