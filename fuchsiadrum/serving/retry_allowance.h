#pragma once

#include <deque>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of the retry allowance.
struct RetryAllowanceOptions {
  /// Retries that the whole fleet may send for each request to a service.
  double ratio = 0.2;
  /// Additional retries that the whole fleet may send in each window.
  double slack = 10;
  Duration window = std::chrono::seconds(10);
  /// Number of gateways that is assumed to share the slack while the size of
  /// the fleet is unknown.
  size_t assumed_fleet_size = 100;
  /// Fraction of the allowance that is used, so that counting errors at the
  /// edges of a window cannot exceed it.
  double margin = 0.7;
  /// Fraction of the allowance that confirmations may use, so that enough is
  /// left for failures.
  double confirmation_fraction = 0.5;
};

/// Why a request is sent again.
enum class RetryPurpose {
  kFailure,       // the attempt has failed
  kConfirmation,  // the attempt's answer may be whole, and nothing proves it
};

/// Limits this gateway's share of the retries that the fleet may send in any
/// window. Each gateway derives its share from its own requests, so the
/// gateways need no coordination.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceOptions& opts)
      : options(opts), fleet_size(opts.assumed_fleet_size) {}

  /// Sets the number of gateways that share the slack.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// A request for the service was received.
  void OnRequest(TimePoint now, const std::string& service);
  /// Takes one retry; returns false if the allowance is used up, or the part of
  /// it that `purpose` may use.
  bool Take(TimePoint now, const std::string& service,
            RetryPurpose purpose = RetryPurpose::kFailure);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void Expire(TimePoint now, Window& window) const;

  RetryAllowanceOptions options;
  size_t fleet_size;
  std::map<std::string, Window> windows;
};

}  // namespace fuchsiadrum::serving
