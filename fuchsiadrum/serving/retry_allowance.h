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
  /// Part of the fleet's slack that this gateway may use.
  double slack_share = 0.1;
  /// Part of the allowance that is used, so that counting at the edges of a
  /// window cannot exceed it.
  double margin = 0.7;
};

/// This gateway's part of the repeats that the fleet may send in any window.
/// Each gateway earns repeats by its own requests, so no talk is needed.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceOptions& opts) : options(opts) {}

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
  std::map<std::string, Window> windows;
};

}  // namespace fuchsiadrum::serving
