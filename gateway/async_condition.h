#pragma once

#include <list>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Lets coroutines wait until something changes, for a limited time.
class AsyncCondition {
 public:
  explicit AsyncCondition(asio::io_context& io_context) : context(io_context) {}

  /// Returns after the next Notify or after the time.
  asio::awaitable<void> Wait(Duration longest) {
    const auto timer = this->timers.emplace(this->timers.end(), this->context,
                                            std::chrono::microseconds(longest));
    ErrorCode ignored;
    co_await timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    this->timers.erase(timer);
  }
  /// Wakes all that wait.
  void Notify() {
    for (asio::steady_timer& timer : this->timers) timer.cancel();
  }

 private:
  asio::io_context& context;
  std::list<asio::steady_timer> timers;
};

}  // namespace fuchsiadrum::gateway
