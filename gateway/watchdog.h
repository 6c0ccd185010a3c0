#pragma once

#include <boost/intrusive/list.hpp>
#include <limits>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::gateway {

/// Base of objects with a deadline. Scanning one list of them every few
/// milliseconds costs less than a kernel timer for each read and write.
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
  /// Called once for each ExpireAt when its time has passed.
  virtual void OnExpired() = 0;

 private:
  friend class Watchdog;
  static constexpr TimePoint kNever = {std::numeric_limits<int64_t>::max()};

  TimePoint expires = kNever;
};

/// Calls OnExpired of watched objects whose deadline has passed.
class Watchdog {
 public:
  /// Watches the object until it is destroyed.
  void Watch(Timed& timed) { this->watched.push_back(timed); }
  /// Call it every few milliseconds.
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
