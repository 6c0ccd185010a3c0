#pragma once

#include <algorithm>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::store {

/// Options of a CallTimeout.
struct CallTimeoutOptions {
  /// On an idle link an answer takes some milliseconds.
  Duration min = std::chrono::milliseconds(400);
  Duration max = std::chrono::milliseconds(1200);
  /// Limit after calls without an answer: after an outage, a call that was made
  /// in it delays the next one by this time at most.
  Duration max_after_timeout = std::chrono::milliseconds(800);
  /// The timeout as a multiple of the last round trip. Round trips on a link
  /// that fills up grow fast.
  int round_trips = 3;
};

/// Timeout of calls to the store. It follows the last round trip and doubles
/// after a call without an answer: on a link that is full with the bodies of
/// requests, answers are late, and a call that gives up early has to wait for
/// its answer again.
class CallTimeout {
 public:
  explicit CallTimeout(const CallTimeoutOptions& opts = {})
      : options(opts), current(opts.min) {}

  Duration Value() const { return this->current; }
  void OnAnswer(Duration round_trip) {
    this->current = std::clamp(round_trip * this->options.round_trips,
                               this->options.min, this->options.max);
  }
  void OnTimeout() {
    this->current =
        std::min(this->current * 2, this->options.max_after_timeout);
  }

 private:
  CallTimeoutOptions options;
  Duration current;
};

}  // namespace fuchsiadrum::store
