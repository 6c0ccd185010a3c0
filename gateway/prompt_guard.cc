#include "gateway/prompt_guard.h"

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

using serving::QuarantineDecision;

PromptGuard::~PromptGuard() { this->core.Quarantines().End(this->check); }

std::optional<GatewayAnswer> PromptGuard::HoldBack(int runs) {
  if (this->parts.empty()) this->parts = this->active.SharedParts();
  // A request that runs alone or as a trial keeps that until its end.
  if (this->parts.empty() ||
      this->check.decision == QuarantineDecision::kTrial ||
      this->check.decision == QuarantineDecision::kRunAlone) {
    return std::nullopt;
  }
  const serving::QuarantineCheck result = this->core.Quarantines().Check(
      Now(), this->active.OrganisationHash(), this->parts);
  if (result.decision != QuarantineDecision::kRefuse) {
    this->check = result;
    return std::nullopt;
  }
  this->core.Metrics().CountHeldBack(this->active.route->name);
  GatewayAnswer answer;
  answer.reason = "prompt part held back: " + result.key;
  constexpr int kUnavailable = 503;
  constexpr int kBadGateway = 502;
  answer.status = runs == 0 ? kUnavailable : kBadGateway;
  if (runs == 0) answer.retry_after = result.retry_after;
  return answer;
}

void PromptGuard::OnSend() {
  this->mark = this->core.Quarantines().Mark();
  this->is_upstream_lost = false;
  this->may_have_crashed_upstream = false;
}

void PromptGuard::OnSound(const UpstreamAttempt& attempt) {
  if (this->parts.empty()) return;
  const serving::UpstreamEntry& entry = attempt.Upstream().entry;
  this->core.Quarantines().OnSound(
      Now(), {.id = entry.id, .started_unix_ms = entry.started_unix_ms},
      this->parts, this->mark);
  // What it held of a suspicion is settled.
  this->core.Quarantines().End(this->check);
  this->check = {};
}

void PromptGuard::OnBroken(const UpstreamAttempt& attempt,
                           const HttpConnection& connection,
                           const AttemptProgress& progress) {
  const bool is_sound = progress.events >= serving::kEventsOfSoundPrompt;
  if (this->parts.empty() || is_sound) return;
  if (!connection.WasEndedByPeer() && !this->is_upstream_lost) return;
  this->may_have_crashed_upstream = progress.has_head;
  this->core.Crashes().OnLostRun(
      attempt.Choice().upstream,
      {.request = Hash64(this->active.request.id),
       .organisation = this->active.OrganisationHash(),
       .has_begun = progress.has_head,
       .parts = this->parts});
}

bool PromptGuard::MayRepeat() const {
  return this->core.Quarantines().MayRepeat(this->parts,
                                            this->may_have_crashed_upstream);
}

}  // namespace fuchsiadrum::gateway
