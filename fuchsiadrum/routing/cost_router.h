#pragma once

#include <vector>

#include "fuchsiadrum/routing/base_router.h"
#include "fuchsiadrum/routing/prefix_index.h"
#include "fuchsiadrum/routing/speed_estimator.h"

namespace fuchsiadrum::routing {

/// Options of the policy `cost`.
struct CostRouterOptions {
  BaseRouterOptions base;
  SpeedEstimatorOptions speed;
  PrefixIndexOptions prefixes;
  /// Prompt tokens that each further prefix hash covers.
  int64_t prefix_block = 256;
  /// Missed cache events, as a share of the prefixes held, that void all hints
  /// of an upstream. Each missed event makes at most one hint wrong, so a
  /// small gap costs less than forgetting everything.
  double most_missed = 0.25;
  /// Groups up to this size are compared as a whole; larger ones by samples.
  size_t full_scan = 64;
  /// Samples from the own zone and from all zones.
  size_t own_zone_samples = 6;
  size_t other_samples = 4;
  /// Cost of leaving the zone, besides the learned time: latency and traffic.
  Duration zone_distance = std::chrono::milliseconds(2);
  /// Requests that the fleet sends for each own one, since the report. With
  /// nine daemons, 5 to 9 give the same figures; 1 lets all daemons rush to the
  /// upstream that looked idle 2 s ago.
  double fleet_factor = 6.0;
  /// A cached token counts as this many: a hit also keeps the caches of other
  /// upstreams free.
  double cached_weight = 1.5;
  /// Own uncached prompt tokens that wait at an upstream for their first token
  /// count this many times: the other daemons' waiting prompts are unknown.
  double pending_factor = 1.0;
  /// Cost of the square of the requests at an upstream, microseconds. A convex
  /// cost keeps a reserve on the fast upstreams, whose queues grow unseen for
  /// the time that reports lag.
  double load_square_us = 70;
  /// Random part of a cost, as a share of it, against herding: daemons that see
  /// the same report must not all choose the same upstream.
  double noise = 0.1;
};

/// Chooses the upstream with the least expected time to first token: learned
/// speed, queue, own dispatches since the lagged report, cached prefix and zone
/// distance.
class CostRouter final : public BaseRouter {
 public:
  CostRouter(upstream::UpstreamTable& table, const CostRouterOptions& options);

  Dispatch OnDispatch(TimePoint now, UpstreamIndex upstream,
                      const RequestFeatures& request) override;
  void OnFirstToken(TimePoint now, Dispatch& dispatch) override;
  void OnFailed(TimePoint now, const Dispatch& dispatch,
                FailureKind kind) override;
  void OnReport(TimePoint now, UpstreamIndex upstream,
                const CacheEvents& events) override;

 protected:
  std::optional<UpstreamIndex> Pick(TimePoint now,
                                    const upstream::CandidateGroup& group,
                                    const RequestFeatures& request) override;
  double ExpectedFirstToken(const Dispatch& dispatch) const override;

 private:
  /// The best candidate so far.
  struct Best {
    std::optional<UpstreamIndex> index;
    double cost = 0;
  };
  /// Sequence of the next cache event of an upstream.
  struct CacheCursor {
    uint32_t epoch = 0;
    uint64_t next = 0;
    bool started = false;
    /// Prefixes that the events say are held, and events that were missed.
    int64_t held = 0;
    int64_t missed = 0;
  };

  void Consider(UpstreamIndex index, const RequestFeatures& request,
                std::optional<upstream::ZoneIndex> zone, Best& best);
  void Sample(const std::vector<UpstreamIndex>& from, size_t samples,
              const RequestFeatures& request,
              std::optional<upstream::ZoneIndex> zone, Best& best);
  int64_t CachedTokens(UpstreamIndex index,
                       const RequestFeatures& request) const;
  SpeedEstimator& SpeedOf(UpstreamIndex index);
  const SpeedEstimator& SpeedOf(UpstreamIndex index) const;
  FirstTokenFactors Factors(UpstreamIndex index, double uncached) const;
  /// Adds (1) or removes (-1) the tokens of a dispatch.
  void AddPending(const Dispatch& dispatch, int sign);
  void FollowCacheEvents(UpstreamIndex upstream, const CacheEvents& events);

  CostRouterOptions options;
  /// Engines and plain services share no cost function.
  SpeedEstimator engine_speed;
  SpeedEstimator service_speed;
  PrefixIndex prefixes;
  std::vector<CacheCursor> cursors;
  /// Own uncached prompt tokens without a first token, by upstream.
  std::vector<int64_t> pending;
  /// Holders of the prefix of the request that is being placed.
  PrefixMatch match;
};

}  // namespace fuchsiadrum::routing
