#include "fuchsiadrum/routing/cost_router.h"

#include <algorithm>

namespace fuchsiadrum::routing {

CostRouter::CostRouter(upstream::UpstreamTable& table,
                       const CostRouterOptions& options)
    : BaseRouter(table, options.base),
      options(options),
      engine_speed(table, options.speed),
      service_speed(table, options.speed),
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
  this->AddPending(dispatch, 1);
  return dispatch;
}

void CostRouter::OnFailed(TimePoint now, const Dispatch& dispatch,
                          FailureKind kind) {
  if (!dispatch.first_token_seen) this->AddPending(dispatch, -1);
  BaseRouter::OnFailed(now, dispatch, kind);
}

void CostRouter::AddPending(const Dispatch& dispatch, int sign) {
  if (!this->IsCurrent(dispatch)) return;
  if (this->pending.size() <= dispatch.upstream) {
    this->pending.resize(this->table.Slots());
  }
  int64_t& tokens = this->pending[dispatch.upstream];
  tokens = std::max<int64_t>(
      0, tokens + sign * (dispatch.prompt_tokens - dispatch.cached_tokens));
}

void CostRouter::OnFirstToken(TimePoint now, Dispatch& dispatch) {
  const bool first = !dispatch.first_token_seen && this->IsCurrent(dispatch);
  BaseRouter::OnFirstToken(now, dispatch);
  if (!first) return;
  this->AddPending(dispatch, -1);
  const double uncached =
      static_cast<double>(dispatch.prompt_tokens - dispatch.cached_tokens);
  this->SpeedOf(dispatch.upstream)
      .OnFirstToken(dispatch.upstream,
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
  return this->SpeedOf(dispatch.upstream)
      .Expected(dispatch.upstream, this->Factors(dispatch.upstream, uncached));
}

void CostRouter::Consider(UpstreamIndex index, const RequestFeatures& request,
                          std::optional<upstream::ZoneIndex> zone, Best& best) {
  if (!this->IsEligible(index, request)) return;
  const upstream::UpstreamState& state = this->table.At(index);

  const double uncached =
      static_cast<double>(request.prompt_bound.count) -
      this->options.cached_weight *
          static_cast<double>(this->CachedTokens(index, request));
  const double waiting = index < this->pending.size()
                             ? this->options.pending_factor *
                                   static_cast<double>(this->pending[index])
                             : 0.0;
  const FirstTokenFactors factors = this->Factors(index, uncached + waiting);
  double cost = this->SpeedOf(index).Expected(index, factors);
  cost += this->options.load_square_us * factors.requests * factors.requests;
  cost *= 1.0 + this->options.noise * this->rng.Unit();
  if (zone != state.zone) {
    cost += static_cast<double>(this->options.zone_distance.count());
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

SpeedEstimator& CostRouter::SpeedOf(UpstreamIndex index) {
  return this->table.At(index).service.empty() ? this->engine_speed
                                               : this->service_speed;
}

const SpeedEstimator& CostRouter::SpeedOf(UpstreamIndex index) const {
  return this->table.At(index).service.empty() ? this->engine_speed
                                               : this->service_speed;
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

  // A sequence that goes back is another process of the upstream.
  const auto events_here =
      static_cast<int64_t>(events.stored.size() + events.evicted.size());
  if (cursor.started && events.first_sequence >= cursor.next) {
    cursor.missed += static_cast<int64_t>(events.first_sequence - cursor.next);
  }
  const bool restarted = cursor.started && events.first_sequence < cursor.next;
  if (restarted ||
      static_cast<double>(cursor.missed) >
          this->options.most_missed * static_cast<double>(cursor.held)) {
    this->prefixes.Invalidate(upstream);
    cursor.held = 0;
    cursor.missed = 0;
  }
  cursor.started = true;
  cursor.next = events.first_sequence + static_cast<uint64_t>(events_here);
  cursor.held += static_cast<int64_t>(events.stored.size()) -
                 static_cast<int64_t>(events.evicted.size());

  for (const uint64_t hash : events.evicted) {
    this->prefixes.Remove(hash, upstream);
  }
  for (const uint64_t hash : events.stored) {
    this->prefixes.Add(hash, upstream);
  }
}

}  // namespace fuchsiadrum::routing
