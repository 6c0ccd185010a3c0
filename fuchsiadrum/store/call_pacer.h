#pragma once

#include <cstddef>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::store {

/// Options of a pacer.
struct CallPacerOptions {
  /// Calls that the whole fleet may make each second.
  double fleet_calls_per_s = 800;
  /// Part of them that the paced calls may take; the rest is for other calls
  /// and for repeats.
  double share = 0.4;
  /// Gateways that share the rate while the fleet is not known.
  size_t assumed_fleet = 100;
  /// Time of its rate that a gateway may use at once.
  Duration burst = std::chrono::seconds(2);
  /// Part of the burst that is kept for urgent calls.
  double urgent_part = 0.5;
  /// After the store turned a call away for its rate, the own rate is halved;
  /// it comes back over this time.
  Duration recovery = std::chrono::seconds(4);
  /// Least part of the own rate that is kept.
  double least_part = 0.1;
};

/// Spreads a gateway's calls to the store, so that a fleet that starts, or
/// regains the store, at the same moment stays below the store's rates: calls
/// beyond them are turned away, priced, and keep the needed ones out.
class CallPacer {
 public:
  explicit CallPacer(const CallPacerOptions& opts);

  /// Gateways that share the rate.
  void SetFleetSize(size_t size) { this->fleet_size = size; }
  /// Takes one call; false: not now. A request waits for an urgent call.
  bool Take(TimePoint now, bool urgent);
  /// The store turned a call away for its rate.
  void OnTurnedAway(TimePoint now);

 private:
  double Rate() const;
  void Advance(TimePoint now);

  CallPacerOptions options;
  size_t fleet_size;
  /// Part of the own rate that is used, 0 to 1.
  double part = 1;
  double calls = 0;
  TimePoint at;
  bool started = false;
};

}  // namespace fuchsiadrum::store
