#include "gateway/stream_follower.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// By how much the store may end the wait of a held read too early.
constexpr Duration kTimerTolerance = std::chrono::milliseconds(10);

}  // namespace

StreamFollower::StreamFollower(const StreamFollowerOptions& opts,
                               Handlers callbacks, asio::io_context& context,
                               Watchdog& watchdog, EventLog& log,
                               StoreEndpoint& store)
    : options(opts),
      handlers(std::move(callbacks)),
      event_log(log),
      client(context, watchdog, store),
      view(this->handlers.on_change),
      timer(context) {
  store.era.Subscribe(
      [this](auto /*before*/, auto /*now*/) { this->OnNewEra(); });
}

void StreamFollower::OnNewEra() {
  this->view.OnNewEra();
  this->new_era_at = Now();
  this->ReadAgain();
}

asio::awaitable<void> StreamFollower::Run() {
  while (true) {
    const bool succeeded = co_await this->ReadOnce();
    if (this->reads_again) continue;
    this->RecordResult(succeeded);
    if (!succeeded) {
      const Duration pause = std::min(
          this->options.max_backoff,
          this->options.initial_backoff * (1 << std::min(this->failures, 6)));
      co_await this->Pause(pause);
    } else if (!this->view.IsBehind() &&
               this->options.interval > Duration::zero()) {
      co_await this->Pause(this->options.interval);
    }
  }
}

asio::awaitable<void> StreamFollower::Pause(Duration time) {
  this->pausing = true;
  co_await this->timer.Wait(time);
  this->pausing = false;
}

asio::awaitable<bool> StreamFollower::ReadOnce() {
  if (this->reads_again) this->view.OnExpired();
  this->reads_again = false;
  const TimePoint begun = Now();
  const store::KeyedView::NextRead next = this->view.Next();
  const Duration long_poll_wait = this->WaitOf(next);
  std::string text = this->EncodeRead(next, long_poll_wait);
  const StoreReply reply = co_await this->client.Call(
      std::move(text), this->options.timeout + long_poll_wait);
  this->last_status = reply.status;
  this->last_fault = reply.fault;
  const bool applied = !this->reads_again && this->ApplyReply(next, reply);
  if (!applied) this->client.Disconnect();
  if (applied && reply.status == platform::kStoreOk) {
    this->last_read_begun = begun;
    this->OnProof(next, begun, long_poll_wait);
  }
  co_return applied;
}

Duration StreamFollower::WaitOf(const store::KeyedView::NextRead& next) const {
  if (!next.tail || this->reads_at_once) return Duration::zero();
  return this->options.long_poll_wait;
}

void StreamFollower::OnProof(const store::KeyedView::NextRead& next,
                             TimePoint begun, Duration wait) {
  // The store makes an answer without records at the end of the wait, and one
  // with records at any time after the read was begun. When it arrives tells
  // nothing about when it was made.
  const bool was_held = this->view.NextOffset() == next.from &&
                        this->last_read - begun >= wait - kTimerTolerance;
  const TimePoint proven =
      was_held ? std::min(begun + wait, this->last_read) : begun;
  if (this->IsCurrent()) {
    this->proven_until = std::max(this->proven_until, proven);
  }
  // A slow store is not read at once time after time.
  const bool was_at_once = next.tail && wait == Duration::zero();
  this->reads_at_once = !was_at_once && this->last_read - this->proven_until >
                                            this->options.max_proof_age;
}

std::string StreamFollower::EncodeRead(const store::KeyedView::NextRead& next,
                                       Duration wait) const {
  const std::string& host = this->client.Address();
  const platform::StreamPartition partition = {.stream = this->options.stream};
  if (!next.tail) {
    return platform::EncodeReadNewest(host, partition, next.after_key);
  }
  return platform::EncodeReadTail(
      host, partition,
      {.from = next.from, .wait = wait, .max_bytes = this->options.max_bytes});
}

bool StreamFollower::ApplyReply(const store::KeyedView::NextRead& next,
                                const StoreReply& reply) {
  if (reply.status == platform::kStoreOffsetExpired && next.tail) {
    this->event_log.Write(
        "history-expired",
        {{"stream", platform::StreamName(this->options.stream)},
         {"offset", static_cast<int64_t>(next.from)}});
    this->view.OnExpired();
    return true;
  }
  if (reply.status != platform::kStoreOk) return false;

  if (next.tail) {
    const auto page = platform::DecodeTail(reply.body, next.from);
    if (!page) return false;
    this->LogUnreadable(page->unreadable);
    this->view.OnTail(*page);
    if (this->options.max_lag_records > 0 &&
        this->view.Lag() > this->options.max_lag_records) {
      this->view.OnExpired();
    }
  } else {
    const auto page = platform::DecodeNewest(reply.body);
    if (!page) return false;
    this->LogUnreadable(page->unreadable);
    this->view.OnNewest(*page);
  }
  this->last_read = Now();
  if (this->view.HasUnconfirmed() && this->IsCurrent() &&
      this->last_read - this->new_era_at >= this->options.keep_unconfirmed) {
    this->view.DropUnconfirmed();
  }
  this->handlers.on_read();
  return true;
}

void StreamFollower::LogUnreadable(size_t records) {
  if (records == 0) return;
  this->event_log.Write("store-records-unreadable",
                        {{"stream", platform::StreamName(this->options.stream)},
                         {"records", static_cast<int64_t>(records)}});
}

void StreamFollower::RecordResult(bool succeeded) {
  const auto stream = platform::StreamName(this->options.stream);
  if (!succeeded) {
    ++this->failures;
    if (this->options.skip_to_newest_after_failure) this->view.OnExpired();
    if (this->failures == 1) {
      this->event_log.Write(
          "store-read-failed",
          {{"stream", stream},
           {"status", static_cast<int64_t>(this->last_status)},
           {"fault", serving::AnswerFaultName(this->last_fault)}});
    }
    return;
  }
  if (this->failures == 0) return;
  this->event_log.Write(
      "store-read-recovered",
      {{"stream", stream},
       {"failed_reads", static_cast<int64_t>(this->failures)}});
  this->failures = 0;
  this->handlers.on_recovered();
}

}  // namespace fuchsiadrum::gateway
