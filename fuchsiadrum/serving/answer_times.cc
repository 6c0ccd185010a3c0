#include "fuchsiadrum/serving/answer_times.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace fuchsiadrum::serving {

void AnswerTimes::Maximum::Add(Duration time) {
  this->longest = std::max(this->longest, time);
  ++this->count;
}

void AnswerTimes::Maximum::Add(const Maximum& other) {
  this->longest = std::max(this->longest, other.longest);
  this->count += other.count;
}

std::optional<Duration> AnswerTimes::Maximum::Known() const {
  if (this->count < kMinKnown) return std::nullopt;
  return this->longest;
}

void AnswerTimes::Times::Add(const Times& other) {
  this->total.Add(other.total);
  this->first_event.Add(other.first_event);
  this->event_interval.Add(other.event_interval);
}

void AnswerTimes::Add(const std::string& route, TimePoint now,
                      const AnswerTime& time) {
  Recent& of_route = this->recent[route];
  of_route.last[of_route.count % kKept] = time.total;
  ++of_route.count;
  const int64_t period = PeriodOf(now);
  if (period != of_route.period) {
    const bool follows = period == of_route.period + 1;
    of_route.periods = {Times(), follows ? of_route.periods[0] : Times()};
    of_route.period = period;
  }

  Times& times = of_route.periods[0];
  times.total.Add(time.total);
  if (time.first_event) times.first_event.Add(*time.first_event);
  if (time.event_interval) times.event_interval.Add(*time.event_interval);
}

std::optional<Duration> AnswerTimes::Longest(const std::string& route) const {
  const auto found = this->recent.find(route);
  if (found == this->recent.end() || found->second.count < kMinKnown) {
    return std::nullopt;
  }
  return *std::ranges::max_element(found->second.last);
}

std::optional<Duration> AnswerTimes::LongestInPeriod(const std::string& route,
                                                     TimePoint now) const {
  return this->Of(route, now).total.Known();
}

std::optional<Duration> AnswerTimes::LongestOfEvents(const std::string& route,
                                                     TimePoint now,
                                                     uint64_t events) const {
  const Times times = this->Of(route, now);
  const std::optional<Duration> first = times.first_event.Known();
  if (!first || events <= 1) return first;
  const std::optional<Duration> interval = times.event_interval.Known();
  if (!interval) return std::nullopt;

  // Computed in floating point, since a caller may state any number of tokens.
  const double us =
      static_cast<double>(first->count()) +
      static_cast<double>(interval->count()) * static_cast<double>(events - 1);
  constexpr Duration kLongest = std::chrono::hours(24);
  return us < static_cast<double>(kLongest.count())
             ? Duration(static_cast<int64_t>(us))
             : kLongest;
}

void AnswerTimes::KeepRoutesOf(const ServingConfig& config) {
  std::set<std::string_view> names;
  for (const Route& route : config.routes) names.insert(route.name);
  std::erase_if(this->recent, [&names](const auto& entry) {
    return !names.contains(entry.first);
  });
}

int64_t AnswerTimes::PeriodOf(TimePoint now) {
  return now.us / kPeriod.count();
}

AnswerTimes::Times AnswerTimes::Of(const std::string& route,
                                   TimePoint now) const {
  Times times;
  const auto found = this->recent.find(route);
  if (found == this->recent.end()) return times;
  const Recent& of_route = found->second;
  const int64_t age = PeriodOf(now) - of_route.period;
  if (age <= 1) times.Add(of_route.periods[0]);
  if (age <= 0) times.Add(of_route.periods[1]);
  return times;
}

}  // namespace fuchsiadrum::serving
