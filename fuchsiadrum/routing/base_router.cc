#include "fuchsiadrum/routing/base_router.h"

#include <algorithm>

namespace fuchsiadrum::routing {

BaseRouter::BaseRouter(upstream::UpstreamTable& table,
                       const BaseRouterOptions& options)
    : table(table),
      rng(options.seed),
      ejector(table, options.ejector),
      limiter(table, options.limiter) {}

std::optional<UpstreamIndex> BaseRouter::Choose(
    TimePoint now, const RequestFeatures& request) {
  const upstream::CandidateGroup* group = this->Candidates(request);
  if (group == nullptr || group->all.empty()) {
    this->Fail("no upstream that accepts work serves it", request);
    return std::nullopt;
  }

  std::optional<UpstreamIndex> choice = this->Pick(now, *group, request);
  if (choice) return choice;

  // An ejected or unreachable upstream is better than a refusal; a limit that
  // is reached is not, because the work would only be queued there.
  this->last_resort = true;
  choice = this->Pick(now, *group, request);
  this->last_resort = false;
  if (!choice) {
    this->Fail("every upstream is excluded or at its concurrency limit",
               request);
  }
  return choice;
}

Dispatch BaseRouter::OnDispatch(TimePoint now, UpstreamIndex upstream,
                                const RequestFeatures& request) {
  this->table.AddInFlight(now, upstream);
  const upstream::UpstreamState& state = this->table.At(upstream);
  return {.upstream = upstream,
          .epoch = state.epoch,
          .at = now,
          .prompt_tokens = request.prompt_bound.count,
          .in_flight = state.in_flight};
}

void BaseRouter::OnFirstToken(TimePoint now, Dispatch& dispatch) {
  if (!this->IsCurrent(dispatch) || dispatch.first_token_seen) return;
  dispatch.first_token_seen = true;
  const double expected = this->ExpectedFirstToken(dispatch);
  const double observed = static_cast<double>((now - dispatch.at).count());
  this->ejector.OnSuccess(now, dispatch.upstream,
                          expected > 0 ? observed / expected : 1.0);
}

void BaseRouter::OnFinished(TimePoint now, const Dispatch& dispatch,
                            Tokens /*output*/) {
  if (!this->IsCurrent(dispatch)) return;
  this->table.RemoveInFlight(now, dispatch.upstream);
  this->limiter.OnCompleted(dispatch.upstream, dispatch.in_flight);
}

void BaseRouter::OnFailed(TimePoint now, const Dispatch& dispatch,
                          FailureKind kind) {
  if (!this->IsCurrent(dispatch)) return;
  const UpstreamIndex index = dispatch.upstream;
  this->table.RemoveInFlight(now, index);

  switch (kind) {
    case FailureKind::kCancelled:
      break;
    case FailureKind::kRejected:
      this->limiter.OnRefused(now, index);
      break;
    case FailureKind::kLeaving:
      this->table.SetLeaving(now, this->table.At(index).name,
                             upstream::LeavingSource::kOwnAnswer, true);
      break;
    case FailureKind::kNotSent:
    case FailureKind::kBroken:
    case FailureKind::kSilent:
      this->ejector.OnFailure(now, index);
      break;
  }
}

void BaseRouter::OnReport(TimePoint /*now*/, UpstreamIndex /*upstream*/,
                          const CacheEvents& /*events*/) {}

void BaseRouter::OnTick(TimePoint now) { this->ejector.OnTick(now); }

bool BaseRouter::IsEligible(UpstreamIndex index,
                            const RequestFeatures& request) const {
  const upstream::UpstreamState& state = this->table.At(index);
  if ((state.ejected || !state.reachable) && !this->last_resort) return false;
  if (state.learned_limit > 0 && state.in_flight >= state.learned_limit) {
    return false;
  }
  if (state.max_concurrency > 0 && state.in_flight >= state.max_concurrency) {
    return false;
  }
  return std::find(request.excluded.begin(), request.excluded.end(), index) ==
         request.excluded.end();
}

bool BaseRouter::IsCurrent(const Dispatch& dispatch) const {
  return this->table.At(dispatch.upstream).epoch == dispatch.epoch;
}

const upstream::CandidateGroup* BaseRouter::Candidates(
    const RequestFeatures& request) const {
  return request.service.empty() ? this->table.ForModel(request.model)
                                 : this->table.ForService(request.service);
}

void BaseRouter::Fail(const char* text, const RequestFeatures& request) {
  this->reason.step = "route";
  this->reason.peer = request.service.empty() ? request.model : request.service;
  this->reason.text = text;
}

}  // namespace fuchsiadrum::routing
