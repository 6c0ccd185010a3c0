#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/serving_config.h"

namespace fuchsiadrum::serving {

/// Times of one answer.
struct AnswerTime {
  /// From sending the request to the end of the answer.
  Duration total = Duration::zero();
  /// Of a stream: from sending the request to its first event, and the mean
  /// time from one event to the next. Empty if there are no such events.
  std::optional<Duration> first_event;
  std::optional<Duration> event_interval;
};

/// Longest times of answers, by route.
class AnswerTimes {
 public:
  /// Number of answers of a route that are kept one by one.
  static constexpr size_t kKept = 32;
  /// The longest times are forgotten after one to two of these periods.
  static constexpr Duration kPeriod = std::chrono::minutes(5);
  /// Number of answers of a route below which its longest time is not known:
  /// the next answer takes longer than the longest of n with probability
  /// 1 / (n + 1), if the upstreams' load stays the same.
  static constexpr size_t kMinKnown = 8;

  void Add(const std::string& route, TimePoint now, const AnswerTime& time);
  /// The longest of the last kKept times of the route, which is what the next
  /// answer is expected to take at most; nullopt if fewer than kMinKnown are
  /// known.
  std::optional<Duration> Longest(const std::string& route) const;
  /// The longest time of the route in the last one to two periods, however many
  /// shorter ones have followed; nullopt if fewer than kMinKnown are known.
  std::optional<Duration> LongestInPeriod(const std::string& route,
                                          TimePoint now) const;
  /// The time of a stream of so many events if it is as slow as any of the last
  /// one to two periods; nullopt if fewer than kMinKnown streams are known.
  std::optional<Duration> LongestOfEvents(const std::string& route,
                                          TimePoint now, uint64_t events) const;
  /// Forgets routes that the configuration does not have.
  void KeepRoutesOf(const ServingConfig& config);

 private:
  /// The longest of some times, and their number.
  struct Maximum {
    Duration longest = Duration::zero();
    size_t count = 0;

    void Add(Duration time);
    void Add(const Maximum& other);
    std::optional<Duration> Known() const;
  };
  struct Times {
    Maximum total;
    Maximum first_event;
    Maximum event_interval;

    void Add(const Times& other);
  };
  struct Recent {
    std::array<Duration, kKept> last{};
    size_t count = 0;
    /// Times of the current period and of the one before.
    std::array<Times, 2> periods;
    int64_t period = 0;
  };

  static int64_t PeriodOf(TimePoint now);
  /// Times of both periods that are not yet forgotten.
  Times Of(const std::string& route, TimePoint now) const;

  std::map<std::string, Recent> recent;
};

}  // namespace fuchsiadrum::serving
