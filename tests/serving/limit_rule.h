#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of LimitRule; the defaults are the figures of the rule LIMIT.
struct LimitRuleOptions {
  /// The rule holds from this time after the limit was first named.
  Duration contact = std::chrono::milliseconds(3000);
  Duration window = std::chrono::seconds(4);
  /// Allowed in a window: the limit times `overage`, plus `slack` requests.
  double overage = 1.5;
  double slack = 5;
  /// A VM counts from this time after it was told the limit.
  Duration told_delay = std::chrono::milliseconds(500);
};

/// Checks the rule LIMIT for one upstream: in any sliding window, the requests
/// of all VMs that were told of the limit stay within what it allows.
class LimitRule {
 public:
  struct Breach {
    TimePoint at;
    size_t requests = 0;
    double allowed = 0;
  };

  explicit LimitRule(const LimitRuleOptions& opts) : options(opts) {}

  /// From now on the upstream names this limit in requests per second in its
  /// answers, or none.
  void OnNamed(TimePoint now, std::optional<double> limit) {
    if (!limit) this->told_at.clear();
    this->limits.push_back({now, limit});
  }
  /// The VM has received an answer that names the limit.
  void OnTold(TimePoint now, const std::string& vm) {
    this->told_at.emplace(vm, now);
  }
  /// A request of the VM has reached the upstream.
  void OnArrival(TimePoint now, const std::string& vm) {
    const auto told = this->told_at.find(vm);
    this->all.push_back(now);
    if (told == this->told_at.end()) return;
    if (now - told->second < this->options.told_delay) return;
    this->counted.push_back(now);
  }

  /// The window with the largest excess; nullopt if the rule is kept.
  std::optional<Breach> WorstBreach() const {
    std::optional<Breach> worst;
    for (size_t last = 0; last < this->counted.size(); ++last) {
      const TimePoint end = this->counted[last];
      const std::optional<double> allowed = this->AllowedUntil(end);
      if (!allowed) continue;
      const auto begin =
          std::ranges::upper_bound(this->counted, end - this->options.window);
      const auto requests =
          last + 1 - static_cast<size_t>(begin - this->counted.begin());
      const double excess = static_cast<double>(requests) - *allowed;
      if (excess <= 0) continue;
      if (worst &&
          excess <= static_cast<double>(worst->requests) - worst->allowed) {
        continue;
      }
      worst = Breach{end, requests, *allowed};
    }
    return worst;
  }
  /// Number of requests that arrived in (from, to], of VMs told or not.
  size_t Arrivals(TimePoint from, TimePoint to) const {
    return static_cast<size_t>(std::ranges::upper_bound(this->all, to) -
                               std::ranges::upper_bound(this->all, from));
  }

 private:
  struct Limit {
    TimePoint since;
    std::optional<double> requests_per_s;
  };

  /// What the limit allows in the window that ends at `end`; nullopt if the
  /// rule does not hold there: no limit was named in a part of the window.
  std::optional<double> AllowedUntil(TimePoint end) const {
    if (this->limits.empty()) return std::nullopt;
    const TimePoint first = this->limits.front().since;
    if (end < first + this->options.contact) return std::nullopt;
    const TimePoint begin = end - this->options.window;
    double sum = 0;
    for (size_t i = 0; i < this->limits.size(); ++i) {
      // The first limit counts for the part of a window before it, too.
      const TimePoint from =
          i == 0 ? begin : std::max(begin, this->limits[i].since);
      const TimePoint to = i + 1 < this->limits.size()
                               ? std::min(end, this->limits[i + 1].since)
                               : end;
      if (to <= from) continue;
      if (!this->limits[i].requests_per_s) return std::nullopt;
      sum += *this->limits[i].requests_per_s * ToSeconds(to - from);
    }
    return this->options.overage * sum + this->options.slack;
  }

  LimitRuleOptions options;
  std::vector<Limit> limits;
  std::map<std::string, TimePoint> told_at;
  /// All arrivals, and those of VMs that had been told; both in order.
  std::vector<TimePoint> all;
  std::vector<TimePoint> counted;
};

}  // namespace fuchsiadrum::serving
