#pragma once

#include <cstddef>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::store {

/// Options of a CallPacer.
struct CallPacerOptions {
  /// Number of calls that the whole fleet may make each second.
  double fleet_calls_per_s = 800;
  /// Fraction of them that paced calls may use; the rest is for other calls and
  /// for retries.
  double share = 0.4;
  /// Number of gateways that is assumed to share the rate while the size of the
  /// fleet is unknown.
  size_t assumed_fleet_size = 100;
  /// Burst size: a gateway may make as many calls at once as its rate allows in
  /// this time.
  Duration burst = std::chrono::seconds(2);
  /// Fraction of the burst that is reserved for urgent calls.
  double urgent_fraction = 0.5;
  /// When the store rejects a call because of its rate limit, this gateway's
  /// rate is halved; it recovers linearly, from zero to full rate in this time.
  Duration recovery = std::chrono::seconds(4);
  /// The rate is never reduced below this fraction of the full rate.
  double min_rate_fraction = 0.1;
};

/// Token bucket for a gateway's calls to the store. It keeps a fleet whose
/// gateways start, or reach the store again, at the same moment below the rate
/// limits of the store: calls above the limit are rejected but still charged,
/// and they displace calls that are needed.
class CallPacer {
 public:
  explicit CallPacer(const CallPacerOptions& opts);

  /// Sets the number of gateways that share the rate.
  void SetFleetSize(size_t size) { this->fleet_size = size; }
  /// Takes one call from the bucket; returns false if the call must wait.
  /// `urgent` means that a request waits for the call.
  bool Take(TimePoint now, bool urgent);
  /// The store rejected a call because of its rate limit.
  void OnRateLimited(TimePoint now);

 private:
  double Rate() const;
  void Advance(TimePoint now);

  CallPacerOptions options;
  size_t fleet_size;
  /// Fraction of this gateway's full rate that is used, 0 to 1.
  double rate_fraction = 1;
  double available_calls = 0;
  TimePoint updated_at;
  bool started = false;
};

}  // namespace fuchsiadrum::store
