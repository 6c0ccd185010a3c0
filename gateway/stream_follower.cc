#include "gateway/stream_follower.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

StreamFollower::StreamFollower(const StreamFollowerOptions& opts,
                               Handlers callbacks, asio::io_context& context,
                               Watchdog& watchdog, EventLog& log,
                               const std::string& address)
    : options(opts),
      handlers(std::move(callbacks)),
      event_log(log),
      client(context, watchdog, address),
      view(this->handlers.on_change),
      gate(context) {}

asio::awaitable<void> StreamFollower::Run() {
  while (true) {
    const bool good = co_await this->ReadOnce();
    this->NoteResult(good);
    if (!good) {
      const Duration pause = std::min(
          this->options.longest_pause,
          this->options.first_pause * (1 << std::min(this->failures, 6)));
      co_await this->gate.Wait(pause);
    } else if (!this->view.IsBehind() &&
               this->options.interval > Duration::zero()) {
      co_await this->gate.Wait(this->options.interval);
    }
  }
}

asio::awaitable<bool> StreamFollower::ReadOnce() {
  const store::KeyedView::NextRead next = this->view.Next();
  const Duration hold = next.tail ? this->options.hold : Duration::zero();
  std::string text = this->EncodeRead(next);
  const StoreReply reply =
      co_await this->client.Call(std::move(text), this->options.timeout + hold);
  this->last_status = reply.status;
  co_return this->Accept(next, reply);
}

std::string StreamFollower::EncodeRead(
    const store::KeyedView::NextRead& next) const {
  const std::string& host = this->client.Address();
  const platform::StreamPartition part = {.stream = this->options.stream};
  if (!next.tail) {
    return platform::EncodeReadNewest(host, part, next.after_key);
  }
  return platform::EncodeReadTail(host, part,
                                  {.from = next.from,
                                   .wait = this->options.hold,
                                   .max_bytes = this->options.max_bytes});
}

bool StreamFollower::Accept(const store::KeyedView::NextRead& next,
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
    this->view.OnTail(*page);
    if (this->options.most_behind > 0 &&
        this->view.Lag() > this->options.most_behind) {
      this->view.OnExpired();
    }
  } else {
    const auto page = platform::DecodeNewest(reply.body);
    if (!page) return false;
    this->view.OnNewest(*page);
  }
  this->last_read = Now();
  this->handlers.on_read();
  return true;
}

void StreamFollower::NoteResult(bool good) {
  const auto stream = platform::StreamName(this->options.stream);
  if (!good) {
    ++this->failures;
    if (this->options.newest_after_loss) this->view.OnExpired();
    if (this->failures == 1) {
      this->event_log.Write(
          "store-lost", {{"stream", stream},
                         {"status", static_cast<int64_t>(this->last_status)}});
    }
    return;
  }
  if (this->failures == 0) return;
  this->event_log.Write(
      "store-regained",
      {{"stream", stream},
       {"failed_reads", static_cast<int64_t>(this->failures)}});
  this->failures = 0;
  this->handlers.on_regained();
}

}  // namespace fuchsiadrum::gateway
