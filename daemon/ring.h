#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include "daemon/asio.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::daemon {

/// Counters of one ring; written by both sides, read by the metrics.
struct RingCounters {
  std::atomic<uint64_t> pushed{0};
  std::atomic<uint64_t> full{0};
  std::atomic<uint64_t> depth{0};
};

/// Bounded queue from one thread to the io_context of another. A push never
/// blocks; the consumer is woken by one posted call for each run of items.
template <typename T>
class Ring {
 public:
  using Handler = std::function<void(T&)>;

  Ring(asio::io_context& consumer_context, size_t max_items,
       std::shared_ptr<RingCounters> ring_counters)
      : consumer(consumer_context),
        capacity(max_items),
        counters(std::move(ring_counters)) {}

  /// Sets the consumer's handler, before the first push.
  void SetHandler(Handler new_handler) {
    this->handler = std::move(new_handler);
  }

  /// Moves the item into the ring; false (item unchanged) if it is full.
  bool TryPush(T& item) {
    bool wake = false;
    {
      const std::lock_guard lock(this->mutex);
      if (this->items.size() >= this->capacity) {
        this->counters->full.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      this->items.push_back(std::move(item));
      this->counters->depth.store(this->items.size(),
                                  std::memory_order_relaxed);
      wake = !this->scheduled && !this->paused;
      if (wake) this->scheduled = true;
    }
    this->counters->pushed.fetch_add(1, std::memory_order_relaxed);
    if (wake) this->Schedule();
    return true;
  }

  /// Consumer only: stops or resumes the delivery of items. The ring then
  /// fills and refuses, which is the back-pressure to its producer.
  void SetPaused(bool pause) {
    bool wake = false;
    {
      const std::lock_guard lock(this->mutex);
      this->paused = pause;
      wake = !pause && !this->scheduled && !this->items.empty();
      if (wake) this->scheduled = true;
    }
    if (wake) this->Schedule();
  }

 private:
  // Other work of the consumer's thread gets its turn after so many items.
  static constexpr int kItemsInTurn = 256;

  void Schedule() {
    asio::post(this->consumer, [this] { this->Drain(); });
  }

  void Drain() {
    for (int i = 0; i < kItemsInTurn; ++i) {
      std::unique_lock lock(this->mutex);
      if (this->items.empty() || this->paused) {
        this->scheduled = false;
        return;
      }
      T item = std::move(this->items.front());
      this->items.pop_front();
      this->counters->depth.store(this->items.size(),
                                  std::memory_order_relaxed);
      lock.unlock();
      this->handler(item);
    }
    this->Schedule();
  }

  asio::io_context& consumer;
  size_t capacity;
  std::shared_ptr<RingCounters> counters;
  Handler handler;
  std::mutex mutex;
  std::deque<T> items;
  bool scheduled = false;
  bool paused = false;
};

/// Producer's side of a ring whose items must not be lost. Items that find the
/// ring full wait here, and the producer stops taking new work until IsClear.
/// The backlog is bounded by the work that was in flight at that moment.
template <typename T>
class RingSender {
 public:
  RingSender(Ring<T>& target, asio::io_context& producer)
      : ring(target), timer(producer) {}

  /// Called when the backlog becomes empty again.
  void SetOnClear(std::function<void()> handler) {
    this->on_clear = std::move(handler);
  }
  /// Sends the item or keeps it until there is room.
  void Send(T item) {
    if (this->backlog.empty() && this->ring.TryPush(item)) return;
    this->backlog.push_back(std::move(item));
    if (this->backlog.size() == 1) this->Arm();
  }
  /// False while items wait for room.
  bool IsClear() const { return this->backlog.empty(); }

 private:
  static constexpr Duration kRetryAfter{1000};

  void Arm() {
    this->timer.expires_after(kRetryAfter);
    this->timer.async_wait([this](ErrorCode error) {
      if (!error) this->Flush();
    });
  }

  void Flush() {
    while (!this->backlog.empty()) {
      if (!this->ring.TryPush(this->backlog.front())) {
        this->Arm();
        return;
      }
      this->backlog.pop_front();
    }
    if (this->on_clear) this->on_clear();
  }

  Ring<T>& ring;
  asio::steady_timer timer;
  std::deque<T> backlog;
  std::function<void()> on_clear;
};

}  // namespace fuchsiadrum::daemon
