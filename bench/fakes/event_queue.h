#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// Virtual clock with events ordered by time, then by insertion.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint Now() const { return this->now; }
  /// Runs `action` at `at`, or now if that is past.
  void At(TimePoint at, Action action);
  void After(Duration delay, Action action) {
    this->At(this->now + delay, std::move(action));
  }
  /// Runs all events up to and including `end`; the clock then stands there.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint at;
    uint64_t order;
    Action action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  TimePoint now;
  uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events;
};

}  // namespace fuchsiadrum::bench
