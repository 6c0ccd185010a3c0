#include "fuchsiadrum/serving/cold_upstreams.h"

#include <algorithm>

namespace fuchsiadrum::serving {
namespace {

/// The bound holds for any period of this length.
constexpr Duration kPeriod = std::chrono::seconds(1);
/// Two requests that are exactly one period apart must not count as within it,
/// with clocks that differ by parts per million.
constexpr Duration kClockSlack = std::chrono::milliseconds(10);

bool IsSet(TimePoint time) { return time.us != 0; }

}  // namespace

void ColdUpstreams::OnConfig(const ServingConfig& config) {
  this->services.clear();
  if (this->options.overage <= 0 && this->options.slack <= 0) return;
  for (const Service& service : config.services) {
    if (service.cold_time <= Duration::zero()) continue;
    if (service.cold_requests_per_s <= 0) continue;
    this->services[service.name] = {
        .cold_time = service.cold_time,
        .bound = service.cold_requests_per_s * this->options.overage +
                 this->options.slack};
  }
}

void ColdUpstreams::OnEntry(TimePoint now, const UpstreamEntry& entry,
                            bool is_replacement) {
  const auto [it, is_first] = this->states.try_emplace(entry.id);
  State& state = it->second;
  // A process that starts numbers its entries anew, and some do not name the
  // start time.
  const bool is_other = is_replacement ||
                        entry.started_unix_ms != state.incarnation ||
                        entry.sequence < state.sequence;
  const bool is_start = is_first ? this->entries_were_read : is_other;
  const bool is_repeated =
      !is_first && !is_start && entry.sequence == state.sequence;
  state.incarnation = entry.started_unix_ms;
  state.sequence = entry.sequence;
  if (is_repeated) return;
  if (is_start) {
    state.doubt_since = now;
    state.answered_at = TimePoint();
  }
  this->OnStatement(now, state, entry.cold_left);
}

void ColdUpstreams::OnStatement(TimePoint now, State& state,
                                Duration cold_left) const {
  if (IsSet(state.doubt_since) &&
      now - state.doubt_since >= this->options.entry_delay) {
    state.doubt_since = TimePoint();
  }
  // The entry may have been written before the answer was given: of the two the
  // one that says "cold" for longer holds.
  const bool may_be_older = IsSet(state.answered_at) &&
                            now - state.answered_at < this->options.entry_delay;
  if (may_be_older && state.stated_at + state.cold_left > now + cold_left) {
    return;
  }
  state.cold_left = cold_left;
  state.stated_at = now;
}

void ColdUpstreams::OnAnswer(TimePoint now, const std::string& id,
                             Duration cold_left) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  State& state = found->second;
  state.cold_left = cold_left;
  state.stated_at = now;
  state.answered_at = now;
  state.doubt_since = TimePoint();
}

void ColdUpstreams::OnDoubt(TimePoint now, const std::string& id) {
  const auto found = this->states.find(id);
  if (found != this->states.end()) found->second.doubt_since = now;
}

bool ColdUpstreams::OnClock(TimePoint now, TimePoint boot_now) {
  const bool has_paused = this->last_clock && boot_now - *this->last_clock >
                                                  this->options.max_pause;
  this->last_clock = boot_now;
  if (!has_paused) return false;
  for (auto& [id, state] : this->states) state.doubt_since = now;
  return true;
}

void ColdUpstreams::DropUnknown(
    TimePoint now, const std::function<bool(const std::string&)>& is_known) {
  for (auto it = this->states.begin(); it != this->states.end();) {
    State& state = it->second;
    if (is_known(it->first)) {
      state.unknown_since = TimePoint();
    } else if (!IsSet(state.unknown_since)) {
      state.unknown_since = now;
    }
    const bool is_over = IsSet(state.unknown_since) &&
                         now - state.unknown_since >= this->options.retention;
    it = is_over ? this->states.erase(it) : std::next(it);
  }
}

bool ColdUpstreams::IsCold(TimePoint now, const UpstreamEntry& entry) const {
  const Terms* terms = this->TermsOf(entry.service);
  if (terms == nullptr) return false;
  const auto found = this->states.find(entry.id);
  return found != this->states.end() && now < ColdEnd(found->second, *terms);
}

bool ColdUpstreams::HasPermit(TimePoint now, const UpstreamEntry& entry) const {
  const auto found = this->states.find(entry.id);
  if (found == this->states.end() || found->second.permit_is_out) return false;
  return this->IsPermitValid(now, entry);
}

bool ColdUpstreams::TakePermit(TimePoint now, const UpstreamEntry& entry) {
  if (!this->HasPermit(now, entry)) return false;
  this->states.at(entry.id).permit_is_out = true;
  return true;
}

void ColdUpstreams::ReturnPermit(const std::string& id) {
  const auto found = this->states.find(id);
  if (found != this->states.end()) found->second.permit_is_out = false;
}

bool ColdUpstreams::IsPermitValid(TimePoint now,
                                  const UpstreamEntry& entry) const {
  const auto found = this->states.find(entry.id);
  if (found == this->states.end()) return false;
  const Duration interval = this->MinInterval(now, entry);
  if (interval == Duration::zero()) return false;
  const TimePoint sent_at = found->second.sent_at;
  return !IsSet(sent_at) || now - sent_at >= interval;
}

void ColdUpstreams::OnSend(TimePoint now, const std::string& id,
                           bool has_permit) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  State& state = found->second;
  if (has_permit) state.permit_is_out = false;
  state.sent_before_at = state.sent_at;
  state.sent_at = now;
}

void ColdUpstreams::OnMisdirected(const std::string& id, TimePoint sent_at) {
  const auto found = this->states.find(id);
  if (found == this->states.end() || found->second.sent_at != sent_at) return;
  found->second.sent_at = found->second.sent_before_at;
}

TimePoint ColdUpstreams::NextChance(TimePoint now,
                                    const UpstreamEntry& entry) const {
  const Terms* terms = this->TermsOf(entry.service);
  const auto found = this->states.find(entry.id);
  if (terms == nullptr || found == this->states.end()) return now;
  const State& state = found->second;
  const TimePoint warm_at = std::max(now, ColdEnd(state, *terms));
  const Duration interval = this->MinInterval(now, entry);
  if (interval == Duration::zero()) return warm_at;
  const TimePoint last = state.permit_is_out ? now : state.sent_at;
  const TimePoint permit_at = IsSet(last) ? last + interval : now;
  return std::min(warm_at, std::max(now, permit_at));
}

const ColdUpstreams::Terms* ColdUpstreams::TermsOf(
    const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second;
}

TimePoint ColdUpstreams::ColdEnd(const State& state, const Terms& terms) {
  // An upstream is cold for the time of its service at most; a longer time in
  // an entry is wrong.
  const TimePoint stated =
      state.stated_at + std::min(state.cold_left, terms.cold_time);
  if (!IsSet(state.doubt_since)) return stated;
  return std::max(stated, state.doubt_since + terms.cold_time);
}

Duration ColdUpstreams::MinInterval(TimePoint now,
                                    const UpstreamEntry& entry) const {
  const Terms* terms = this->TermsOf(entry.service);
  if (terms == nullptr) return Duration::zero();
  const int requests =
      this->share.RequestsPerPeriod(now, entry.id, terms->bound);
  if (requests == 0) return Duration::zero();
  // Requests that are sent this far apart arrive in any period at most that
  // often, however long each of them travels.
  return (kPeriod + this->options.transit_spread + kClockSlack) / requests;
}

}  // namespace fuchsiadrum::serving
