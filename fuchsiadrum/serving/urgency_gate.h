#pragma once

#include <map>
#include <optional>

#include "fuchsiadrum/core/decaying_rate.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/permit_bucket.h"

namespace fuchsiadrum::serving {

/// Options of UrgencyGate.
struct UrgencyGateOptions {
  /// Time constant of the demand of each priority.
  Duration demand_time_constant = std::chrono::seconds(5);
};

/// Decides which requests get scarce permits: each priority gets what the
/// demand of more urgent ones leaves. Requests do not wait, so a permit must be
/// there when an urgent request arrives.
class UrgencyGate {
 public:
  explicit UrgencyGate(const UrgencyGateOptions& opts) : options(opts) {}

  /// A request of this priority has arrived; 0 is the most urgent.
  void OnRequest(TimePoint now, int priority);
  /// True if there is no demand of more urgent requests.
  bool IsMostUrgent(TimePoint now, int priority);
  /// True if a request of this priority may take one of `permits_per_s`.
  bool Allows(TimePoint now, int priority, double permits_per_s);
  /// A request of this priority has taken a permit.
  void OnTaken(TimePoint now, int priority);
  /// When a request of this priority will be allowed; nullopt while more
  /// urgent ones need all permits.
  std::optional<TimePoint> NextAllowed(TimePoint now, int priority,
                                       double permits_per_s);
  /// Requests per second of all priorities.
  double Demand(TimePoint now);

 private:
  struct Class {
    explicit Class(Duration time_constant)
        : demand(time_constant), left(PermitBucketOptions()) {}
    DecayingRate demand;
    /// Permits that more urgent requests leave to this priority.
    PermitBucket left;
  };

  Class& ClassOf(int priority);
  double MoreUrgentDemand(TimePoint now, int priority);

  UrgencyGateOptions options;
  /// By priority.
  std::map<int, Class> classes;
};

}  // namespace fuchsiadrum::serving
