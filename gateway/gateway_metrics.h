#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/report/latency_histogram.h"

namespace fuchsiadrum::gateway {

/// Counters and latency histograms of the gateway.
class GatewayMetrics {
 public:
  /// One request has ended.
  void CountRequest(const std::string& route, std::string_view outcome,
                    int status);
  /// The first byte of an answer was handed to the caller.
  void AddFirstByte(const std::string& route, Duration time);
  /// An attempt at an upstream has ended.
  void CountAttempt(const std::string& service, std::string_view outcome);

  /// All of them in Prometheus text format.
  std::string Text() const;
  /// One value in that format.
  static std::string Line(std::string_view name, double value);

 private:
  std::map<std::tuple<std::string, std::string, int>, uint64_t> requests;
  std::map<std::pair<std::string, std::string>, uint64_t> attempts;
  std::map<std::string, report::LatencyHistogram> first_bytes;
};

}  // namespace fuchsiadrum::gateway
