#include "fuchsiadrum/serving/urgency_gate.h"

#include <algorithm>

namespace fuchsiadrum::serving {
namespace {

/// Demand in requests per second below which more urgent priorities do not
/// count.
constexpr double kNegligibleDemand = 0.01;

}  // namespace

void UrgencyGate::OnRequest(TimePoint now, int priority) {
  this->ClassOf(priority).demand.Add(now, 1);
}

bool UrgencyGate::IsMostUrgent(TimePoint now, int priority) {
  return this->MoreUrgentDemand(now, priority) < kNegligibleDemand;
}

bool UrgencyGate::Allows(TimePoint now, int priority, double permits_per_s) {
  if (this->IsMostUrgent(now, priority)) return true;
  const double urgent = this->MoreUrgentDemand(now, priority);
  PermitBucket& left = this->ClassOf(priority).left;
  left.SetRate(now, std::max(0.0, permits_per_s - urgent));
  return left.Has(now);
}

void UrgencyGate::OnTaken(TimePoint now, int priority) {
  this->ClassOf(priority).left.Take(now);
}

std::optional<TimePoint> UrgencyGate::NextAllowed(TimePoint now, int priority,
                                                  double permits_per_s) {
  if (this->Allows(now, priority, permits_per_s)) return now;
  return this->ClassOf(priority).left.NextPermit(now);
}

double UrgencyGate::Demand(TimePoint now) {
  double sum = 0;
  for (auto& [priority, entry] : this->classes) {
    entry.demand.Advance(now);
    sum += entry.demand.PerSecond();
  }
  return sum;
}

UrgencyGate::Class& UrgencyGate::ClassOf(int priority) {
  return this->classes.try_emplace(priority, this->options.demand_time_constant)
      .first->second;
}

double UrgencyGate::MoreUrgentDemand(TimePoint now, int priority) {
  double sum = 0;
  for (auto& [other, entry] : this->classes) {
    if (other >= priority) break;
    entry.demand.Advance(now);
    sum += entry.demand.PerSecond();
  }
  return sum;
}

}  // namespace fuchsiadrum::serving
