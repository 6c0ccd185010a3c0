#include "fuchsiadrum/serving/upstream_ramp.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {

routing::AdaptiveLimitOptions UpstreamRamp::LimitOptions() const {
  return {.least = 1,
          .most = static_cast<double>(this->slots),
          .decrease = this->options.late_factor,
          .decrease_interval = this->options.decrease_interval};
}

void UpstreamRamp::Begin(TimePoint now, int slot_count, double chance) {
  this->slots = std::max(2, slot_count);
  this->limit.Start(std::max(1.0, this->options.first_part * this->slots));
  this->credit = 0;
  this->credit_is_drawn = false;
  this->first_chance = chance;
  this->advanced_at = now;
  this->bad_at = TimePoint();
}

void UpstreamRamp::Advance(TimePoint now, const RampState& state) {
  const double part = this->limit.Value() / state.vms;
  if (!this->credit_is_drawn) {
    // As many VMs begin with one request as the fleet may have there.
    this->credit_is_drawn = true;
    this->credit = this->first_chance < part ? 1 : 0;
  }
  if (now <= this->advanced_at) return;
  const double elapsed = ToSeconds(now - this->advanced_at);
  this->advanced_at = now;
  const double hold = std::max(ToSeconds(state.hold), 0.01);
  this->credit = std::min(1.0, this->credit + part * elapsed / hold);

  if (this->bad_at.us != 0 &&
      now - this->bad_at < this->options.hold_after_bad) {
    return;
  }
  const double doublings = elapsed / ToSeconds(this->options.silent_doubling);
  const double value = this->limit.Value();
  this->limit.Increase(value * (std::exp2(std::min(doublings, 8.0)) - 1),
                       this->LimitOptions());
}

bool UpstreamRamp::MaySend(TimePoint now, const RampState& state) {
  if (!this->IsActive()) return true;
  this->Advance(now, state);
  if (this->limit.Value() >= this->slots) {
    this->End();
    return true;
  }
  if (state.reported && *state.reported >= this->limit.Value()) return false;
  const double part = this->limit.Value() / state.vms;
  if (part >= 1) return state.in_flight < part;
  return state.in_flight == 0 && this->credit >= 1;
}

void UpstreamRamp::OnSend() { this->credit = std::max(0.0, this->credit - 1); }

void UpstreamRamp::OnGood(TimePoint /*now*/, const RampState& state) {
  if (!this->IsActive()) return;
  // One answer here stands for as many in the fleet as there are VMs; a round
  // of as many answers as the limit doubles it.
  const double value = this->limit.Value();
  double step = std::min(value, static_cast<double>(state.vms));
  if (state.reported) step = std::max(step, *state.reported + 1 - value);
  this->limit.Increase(step, this->LimitOptions());
  if (this->limit.Value() >= this->slots) this->End();
}

void UpstreamRamp::OnLate(TimePoint now) {
  this->OnBad(now, this->options.late_factor);
}

void UpstreamRamp::OnRefused(TimePoint now) {
  this->OnBad(now, this->options.refused_factor);
}

void UpstreamRamp::OnBad(TimePoint now, double factor) {
  if (!this->IsActive()) return;
  this->bad_at = now;
  this->limit.Decrease(now, this->limit.Value(), factor, this->LimitOptions());
}

}  // namespace fuchsiadrum::serving
