#include "fuchsiadrum/serving/retry_allowance.h"

namespace fuchsiadrum::serving {

void RetryAllowance::OnRequest(TimePoint now, const std::string& service) {
  Window& window = this->windows[service];
  this->Expire(now, window);
  window.requests.push_back(now);
}

bool RetryAllowance::Take(TimePoint now, const std::string& service,
                          RetryPurpose purpose) {
  Window& window = this->windows[service];
  this->Expire(now, window);
  const double usable = purpose == RetryPurpose::kConfirmation
                            ? this->options.confirmation_fraction
                            : 1.0;
  const double allowed =
      usable * this->options.margin *
      (this->options.ratio * static_cast<double>(window.requests.size()) +
       this->options.slack / static_cast<double>(this->fleet_size));
  if (static_cast<double>(window.retries.size()) + 1 > allowed) return false;
  window.retries.push_back(now);
  return true;
}

void RetryAllowance::Expire(TimePoint now, Window& window) const {
  const TimePoint oldest = now - this->options.window;
  while (!window.requests.empty() && window.requests.front() < oldest) {
    window.requests.pop_front();
  }
  while (!window.retries.empty() && window.retries.front() < oldest) {
    window.retries.pop_front();
  }
}

}  // namespace fuchsiadrum::serving
