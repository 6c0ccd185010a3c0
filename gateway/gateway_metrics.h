#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/report/latency_histogram.h"

namespace fuchsiadrum::gateway {

/// Counters of requests and attempts, and histograms of the time to first byte.
class GatewayMetrics {
 public:
  /// Counts a request that has ended.
  void CountRequest(const std::string& route, std::string_view outcome,
                    int status);
  /// Records the time until the first byte of an answer was sent to the caller.
  void AddFirstByte(const std::string& route, Duration time);
  /// Counts an attempt at an upstream that has ended.
  void CountAttempt(const std::string& service, std::string_view outcome);
  /// Counts an answer of an upstream that reports that it did not run the
  /// request. `names` says which request the answer names.
  void CountRefusal(std::string_view names);
  /// Counts a request that is sent to an upstream that has named a limit.
  void CountLimitedSend(const std::string& service);

  /// Counts a request that is not sent because of a part of its prompt.
  void CountHeldBack(const std::string& route);

  /// Counts a request that is not sent to an upstream, or is refused, because
  /// of `cause`: "evacuated" or "cold".
  void CountWithheld(std::string_view cause);

  /// Counts a stream that a caller takes up and that is refused for `reason`.
  void CountTakeUpRefused(std::string_view reason);
  /// Counts an answer of an upstream that has exceeded a bound (AnswerLimit).
  void CountOversizedAnswer(std::string_view limit);

  /// Counts an answer of an upstream that is malformed. Upstreams beyond a
  /// bounded number are counted together.
  void CountMalformedAnswer(const std::string& upstream,
                            std::string_view fault);

  /// Counts a load report that could not be used, or not all of it.
  void CountUnusableLoad(const std::string& service);

  /// Returns all metrics in Prometheus text format.
  std::string Text() const;
  /// Returns the line of one metric in that format, with the gateway's prefix.
  static std::string Line(std::string_view name, double value);

 private:
  /// Requests by route, outcome and status.
  std::map<std::tuple<std::string, std::string, int>, uint64_t> requests;
  /// Attempts by service and outcome.
  std::map<std::pair<std::string, std::string>, uint64_t> attempts;
  /// Refusals of upstreams, by the request that they name.
  std::map<std::string, uint64_t, std::less<>> refusals;
  /// Requests sent to upstreams with a limit, by service.
  std::map<std::string, uint64_t> limited_sends;
  /// Requests that were held back, by route.
  std::map<std::string, uint64_t> held_back;
  /// Requests that were not sent because of an evacuation or a cold upstream,
  /// by cause.
  std::map<std::string, uint64_t, std::less<>> withheld;
  std::map<std::string, uint64_t, std::less<>> take_ups_refused;
  /// Answers that have exceeded a bound, by its name.
  std::map<std::string, uint64_t, std::less<>> oversized_answers;
  /// Malformed answers by upstream and fault.
  std::map<std::pair<std::string, std::string>, uint64_t> malformed_answers;
  /// Load reports that could not be used, or not all of them, by service.
  std::map<std::string, uint64_t> unusable_loads;
  /// Times to first byte by route.
  std::map<std::string, report::LatencyHistogram> first_bytes;
};

}  // namespace fuchsiadrum::gateway
