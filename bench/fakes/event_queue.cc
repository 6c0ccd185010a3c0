#include "bench/fakes/event_queue.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::bench {

void EventQueue::At(TimePoint at, Action action) {
  this->events.push({.at = std::max(at, this->now),
                     .order = this->next_order++,
                     .action = std::move(action)});
}

void EventQueue::RunUntil(TimePoint end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    // The queue only hands out const references; the event is popped next.
    Event event = std::move(const_cast<Event&>(this->events.top()));
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  this->now = std::max(this->now, end);
}

}  // namespace fuchsiadrum::bench
