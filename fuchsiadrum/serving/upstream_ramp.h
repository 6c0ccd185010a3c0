#pragma once

#include <optional>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/routing/adaptive_limit.h"

namespace fuchsiadrum::serving {

/// Options of an UpstreamRamp.
struct UpstreamRampOptions {
  /// Concurrent requests that the fleet may have at the upstream at first, as a
  /// fraction of its slots; at least one.
  double first_part = 0.125;
  /// Factors after a late answer, and after a refusal or failure.
  double late_factor = 0.7;
  double refused_factor = 0.5;
  /// At most one decrease in this time: bad answers come in bursts.
  Duration decrease_interval = std::chrono::milliseconds(300);
  /// Without news the limit doubles in this time. In a fleet of a hundred most
  /// VMs get no answer of a given upstream for seconds. With 2 s a fast upstream
  /// is used too late; with 0.5 s one that crashes under load crashes more often
  /// (UpstreamRampFleetTest).
  Duration silent_doubling = std::chrono::seconds(1);
  /// The limit does not grow without news for this long after a bad answer.
  Duration hold_after_bad = std::chrono::seconds(3);
};

/// What a ramp-up is decided by.
struct RampState {
  /// Requests of this VM at the upstream.
  int in_flight = 0;
  /// Requests of all VMs there by a recent load report; nullopt: none.
  std::optional<int> reported;
  /// Number of VMs in the fleet; at least 1.
  int vms = 1;
  /// Mean time for which a request is at the upstream.
  Duration hold = std::chrono::milliseconds(800);
};

/// Limits the requests that this VM sends to an upstream that has just started
/// or recovered. The limit is a number of concurrent requests of the whole
/// fleet, of which this VM uses an even part; a part below one request is a
/// rate. It grows with good answers, shrinks with late or refused ones, and
/// ends when it has reached the slots.
class UpstreamRamp {
 public:
  explicit UpstreamRamp(const UpstreamRampOptions& opts) : options(opts) {}

  /// The upstream with this number of slots has started or recovered. `chance`
  /// is random in [0, 1): it decides whether this VM is among those that may
  /// send at once.
  void Begin(TimePoint now, int slot_count, double chance);
  bool IsActive() const { return this->limit.IsSet(); }
  /// True if one more request may be sent; always, if no ramp-up is active.
  bool MaySend(TimePoint now, const RampState& state);
  void OnSend();
  /// A first token came within what was expected of the upstream.
  void OnGood(TimePoint now, const RampState& state);
  void OnLate(TimePoint now);
  /// The upstream refused or failed a request.
  void OnRefused(TimePoint now);

  /// Concurrent requests that the fleet may have there; 0 without a ramp-up.
  double Limit() const { return this->limit.Value(); }

 private:
  routing::AdaptiveLimitOptions LimitOptions() const;
  void Advance(TimePoint now, const RampState& state);
  void OnBad(TimePoint now, double factor);
  void End() { this->limit.Start(0); }

  UpstreamRampOptions options;
  routing::AdaptiveLimit limit;
  int slots = 1;
  /// Requests that this VM may send now while its part is below one.
  double credit = 0;
  bool credit_is_drawn = false;
  double first_chance = 0;
  TimePoint advanced_at;
  TimePoint bad_at;
};

}  // namespace fuchsiadrum::serving
