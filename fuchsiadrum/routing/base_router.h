#pragma once

#include <string>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/routing/concurrency_limiter.h"
#include "fuchsiadrum/routing/outlier_ejector.h"
#include "fuchsiadrum/routing/router.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

/// Options that all policies share.
struct BaseRouterOptions {
  /// Seed of the random choices.
  uint64_t seed = 1;
  OutlierEjectorOptions ejector;
  ConcurrencyLimiterOptions limiter;
};

/// What all policies have in common: candidates, limits, ejection and the
/// count of requests in flight. A policy only ranks the candidates.
class BaseRouter : public Router {
 public:
  BaseRouter(upstream::UpstreamTable& table, const BaseRouterOptions& options);

  std::optional<UpstreamIndex> Choose(TimePoint now,
                                      const RequestFeatures& request) final;
  const Reason& LastReason() const final { return this->reason; }
  Dispatch OnDispatch(TimePoint now, UpstreamIndex upstream,
                      const RequestFeatures& request) override;
  void OnFirstToken(TimePoint now, Dispatch& dispatch) override;
  void OnFinished(TimePoint now, const Dispatch& dispatch,
                  Tokens output) override;
  void OnFailed(TimePoint now, const Dispatch& dispatch,
                FailureKind kind) override;
  void OnReport(TimePoint now, UpstreamIndex upstream,
                const CacheEvents& events) override;
  void OnTick(TimePoint now) override;

 protected:
  /// Ranks the eligible candidates of a group that is not empty; nullopt: none
  /// is eligible.
  virtual std::optional<UpstreamIndex> Pick(
      TimePoint now, const upstream::CandidateGroup& group,
      const RequestFeatures& request) = 0;
  /// Expected time to first token of a dispatch, microseconds; 0: unknown.
  virtual double ExpectedFirstToken(const Dispatch& /*dispatch*/) const {
    return 0;
  }

  /// True if new work may be sent there: not excluded, not ejected, reachable
  /// at the last poll and below its limits. An upstream that could not be
  /// reached may have begun to leave meanwhile, so it waits for a poll that
  /// succeeds. While `last_resort` is set, ejection and reachability do not
  /// count.
  bool IsEligible(UpstreamIndex index, const RequestFeatures& request) const;
  /// True if the dispatch belongs to the present use of its slot.
  bool IsCurrent(const Dispatch& dispatch) const;

  upstream::UpstreamTable& table;
  Rng rng;
  OutlierEjector ejector;

 private:
  const upstream::CandidateGroup* Candidates(
      const RequestFeatures& request) const;
  void Fail(const char* text, const RequestFeatures& request);

  ConcurrencyLimiter limiter;
  bool last_resort = false;
  Reason reason;
};

}  // namespace fuchsiadrum::routing
