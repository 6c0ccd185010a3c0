#include "gateway/active_request.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

using serving::AttemptOutcome;

ActiveRequest::ActiveRequest(serving::CallerRequest caller_request,
                             serving::ServingConfigPtr current_config)
    : shared_request(std::make_shared<const serving::CallerRequest>(
          std::move(caller_request))),
      request(*shared_request),
      config(std::move(current_config)),
      arrived(Now()),
      deadline(arrived) {}

void ActiveRequest::SetService(const std::string& name) {
  this->service = name;
  const serving::Service* known = this->config->FindService(name);
  this->engine = known == nullptr ? std::nullopt : known->engine;
}

int ActiveRequest::Priority() const {
  const bool is_set =
      this->organisation != nullptr && this->organisation->priority.has_value();
  return is_set ? *this->organisation->priority : this->route->priority;
}

Duration ActiveRequest::TimeLeft() const {
  const TimePoint now = Now();
  TimePoint end = this->deadline;
  if (this->request.caller_timeout) {
    end = std::min(end, this->arrived + *this->request.caller_timeout);
  }
  return end > now ? end - now : Duration::zero();
}

std::vector<uint64_t> ActiveRequest::SharedParts() const {
  std::vector<uint64_t> shared;
  for (size_t i = 0; i + 1 < this->request.parts.size(); ++i) {
    shared.push_back(this->request.parts[i].id);
  }
  return shared;
}

uint64_t ActiveRequest::OrganisationHash() const {
  return this->organisation == nullptr ? 0 : Hash64(this->organisation->name);
}

AttemptOutcome ActiveRequest::BrokenOutcome(bool has_begun) const {
  if (this->caller_gone) return AttemptOutcome::kCallerGone;
  if (has_begun) return AttemptOutcome::kBrokenMidway;
  return this->timed_out ? AttemptOutcome::kTimedOut : AttemptOutcome::kBroken;
}

}  // namespace fuchsiadrum::gateway
