#pragma once

#include <deque>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of the allowance.
struct RetryAllowanceOptions {
  /// Repeats that the whole fleet may send for each request to a service.
  double ratio = 0.2;
  /// Repeats that the fleet may send in each window besides.
  double slack = 10;
  Duration window = std::chrono::seconds(10);
  /// Gateways among which the slack is shared while the fleet is not known.
  size_t assumed_fleet = 100;
  /// Part of the allowance that is used, so that counting at the edges of a
  /// window cannot exceed it.
  double margin = 0.7;
};

/// This gateway's part of the repeats that the fleet may send in any window.
/// Each gateway earns repeats by its own requests, so no talk is needed.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceOptions& opts)
      : options(opts), fleet_size(opts.assumed_fleet) {}

  /// Gateways that share the slack.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// A request for the service was received.
  void OnRequest(TimePoint now, const std::string& service);
  /// Takes one repeat; false: the allowance is used up.
  bool Take(TimePoint now, const std::string& service);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void Expire(TimePoint now, Window& window) const;

  RetryAllowanceOptions options;
  size_t fleet_size;
  std::map<std::string, Window> windows;
};

}  // namespace fuchsiadrum::serving
