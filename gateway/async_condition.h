#pragma once

#include <list>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Condition variable for coroutines of one thread. A notification without a
/// waiting coroutine is lost.
class AsyncCondition {
 public:
  explicit AsyncCondition(asio::io_context& io_context) : context(io_context) {}

  /// Returns after the next Notify, or when the timeout has passed.
  asio::awaitable<void> Wait(Duration timeout) {
    const auto timer = this->timers.emplace(this->timers.end(), this->context,
                                            std::chrono::microseconds(timeout));
    ErrorCode ignored;
    co_await timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    this->timers.erase(timer);
  }
  /// Wakes all waiting coroutines.
  void Notify() {
    for (asio::steady_timer& timer : this->timers) timer.cancel();
  }

 private:
  asio::io_context& context;
  std::list<asio::steady_timer> timers;
};

}  // namespace fuchsiadrum::gateway
