#pragma once

#include <boost/intrusive/list.hpp>
#include <limits>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::gateway {

/// Something with a time limit. One list that is walked every few milliseconds
/// costs less than a timer of the kernel for each read and write.
class Timed : public boost::intrusive::list_base_hook<
                  boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  Timed() = default;
  Timed(const Timed&) = delete;
  Timed& operator=(const Timed&) = delete;
  virtual ~Timed() = default;

  void ExpireAt(TimePoint at) { this->expires = at; }
  void NeverExpire() { this->expires = kNever; }

 protected:
  /// The time is over. Called once for each ExpireAt.
  virtual void OnExpired() = 0;

 private:
  friend class Watchdog;
  static constexpr TimePoint kNever = {std::numeric_limits<int64_t>::max()};

  TimePoint expires = kNever;
};

/// Ends what has passed its time limit.
class Watchdog {
 public:
  void Watch(Timed& timed) { this->watched.push_back(timed); }
  /// Calls OnExpired of all whose time is over.
  void Check(TimePoint now) {
    for (auto it = this->watched.begin(); it != this->watched.end();) {
      Timed& timed = *it++;
      if (timed.expires > now) continue;
      timed.expires = Timed::kNever;
      timed.OnExpired();
    }
  }

 private:
  boost::intrusive::list<Timed, boost::intrusive::constant_time_size<false>>
      watched;
};

}  // namespace fuchsiadrum::gateway
