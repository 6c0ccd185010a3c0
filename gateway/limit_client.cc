#include "gateway/limit_client.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "gateway/limit_records.h"

namespace fuchsiadrum::gateway {
namespace {

/// Records that a restored store lacks stay in force for this long, as if the
/// store were away. It covers the leases of shares and the spread of evidence.
constexpr Duration kKeepUnconfirmed = std::chrono::seconds(20);
constexpr platform::StreamPartition kPartition = {
    .stream = platform::Stream::kLimits};

}  // namespace

LimitClient::LimitClient(const LimitClientOptions& opts,
                         asio::io_context& io_context, Watchdog& watchdog,
                         EventLog& log,
                         serving::UpstreamLimits& upstream_limits)
    : options(opts),
      context(io_context),
      event_log(log),
      limits(upstream_limits),
      follower({.stream = platform::Stream::kLimits,
                .long_poll_wait = opts.long_poll_wait,
                .interval = opts.min_read_interval,
                .timeout = opts.store_timeout,
                .keep_unconfirmed = kKeepUnconfirmed},
               {.on_change = [this](const auto& r) { this->OnRecord(r); },
                .on_read = [this] { this->read_done.Notify(); },
                .on_recovered = [] {}},
               io_context, watchdog, log, *opts.store),
      writer(io_context, watchdog, *opts.store),
      update_due(io_context),
      read_done(io_context),
      timer(io_context),
      rng(Hash64(opts.holder)) {}

void LimitClient::Start() {
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);
  asio::co_spawn(this->context, this->WriteLoop(), asio::detached);
}

void LimitClient::SetFleetSize(size_t size) {
  this->limits.SetFleetSize(size);
  this->follower.SetInterval(std::max(
      this->options.min_read_interval,
      this->options.read_interval_per_vm * static_cast<int64_t>(size)));
}

void LimitClient::CheckLease() {
  if (!this->limits.CheckLease(Now(), BootNow())) return;
  this->event_log.Write("limit-lease",
                        {{"valid", this->limits.IsLeaseValid()}});
}

void LimitClient::OnRecord(const store::KeyedRecord& record) {
  const TimePoint now = Now();
  const auto event = DecodeLimitRecord(record);
  if (!event) {
    this->event_log.Write("bad-limit-record", {{"key", record.key}});
    return;
  }
  if (const auto* limit = std::get_if<serving::SharedLimit>(&*event)) {
    this->limits.OnRecord(now, BootNow(), *limit);
    const auto own = limit->shares.find(this->options.holder);
    this->event_log.Write(
        "limit-record",
        {{"upstream", limit->upstream.id},
         {"offset", static_cast<int64_t>(record.offset)},
         {"requests_per_s", limit->requests_per_s},
         {"holders", static_cast<int64_t>(limit->shares.size())},
         {"shares", limit->SumOfShares()},
         {"own_share", own == limit->shares.end() ? 0 : own->second}});
  } else if (const auto* deleted = std::get_if<LimitDeleted>(&*event)) {
    this->limits.OnRecordDeleted(now, deleted->upstream);
    this->event_log.Write("limit-record-deleted",
                          {{"upstream", deleted->upstream}});
  } else if (const auto* renewed = std::get_if<LeaseRenewed>(&*event)) {
    this->limits.OnRenewal(now, BootNow(), renewed->holder, renewed->renewal);
  } else if (const auto* ended = std::get_if<LeaseDeleted>(&*event)) {
    this->limits.OnHolderDeleted(now, BootNow(), ended->holder);
  }
}

asio::awaitable<void> LimitClient::WriteLoop() {
  while (true) {
    if (!this->limits.IsUpdateDue(Now(), BootNow())) {
      co_await this->update_due.Wait(this->options.sync_interval);
      continue;
    }
    const bool is_current = co_await this->ReadToEnd();
    if (!is_current) {
      co_await this->update_due.Wait(this->options.sync_interval);
      continue;
    }
    co_await this->Write(this->limits.PlanUpdate(Now(), BootNow()));
  }
}

asio::awaitable<bool> LimitClient::ReadToEnd() {
  // A pending read would have returned if the end had moved.
  if (this->follower.IsPausing()) {
    this->follower.Wake();
    co_await this->read_done.Wait(this->options.store_timeout);
  }
  co_return this->follower.IsCurrent();
}

asio::awaitable<void> LimitClient::Write(serving::LimitUpdate update) {
  if (update.IsEmpty()) co_return;
  const uint64_t end = this->follower.NextOffset();
  std::string text = this->EncodeWrite(update, end);
  StoreReply reply =
      co_await this->writer.Call(std::move(text), this->options.store_timeout);
  bool is_proven = reply.status == 0 || platform::SettlesAppend(reply.status);
  if (reply.status == platform::kStoreOk) {
    const auto offset = platform::DecodeAppendOffset(reply.body);
    is_proven =
        offset && (update.ChangesLimits() ? *offset == end : *offset >= end);
  }
  if (!is_proven) {
    this->writer.DropUnproven(reply, this->event_log);
    reply = StoreReply();
  }
  this->LogWrite(update, end, reply.status);

  // A write without an answer may still be applied; if so, its records appear
  // in the stream.
  if (reply.status == 0) {
    this->limits.OnUpdateUnanswered(BootNow());
  } else if (reply.status != platform::kStoreOk) {
    this->limits.OnUpdateRejected(Now(), BootNow());
  }
  if (reply.status != platform::kStoreOk) {
    co_await this->timer.Wait(std::chrono::duration_cast<Duration>(
        this->options.max_backoff * this->rng.Unit()));
  }
  if (this->follower.IsPausing()) this->follower.Wake();
  co_await this->read_done.Wait(this->options.store_timeout);
}

std::string LimitClient::EncodeWrite(const serving::LimitUpdate& update,
                                     uint64_t end) const {
  std::optional<uint64_t> at;
  if (update.ChangesLimits()) at = end;
  return platform::EncodeAppend(
      this->options.store->address, kPartition, platform::Writer(),
      EncodeLimitUpdate(update, this->options.holder), at);
}

void LimitClient::LogWrite(const serving::LimitUpdate& update, uint64_t end,
                           int status) {
  this->event_log.Write(
      "limit-write", {{"status", static_cast<int64_t>(status)},
                      {"end", static_cast<int64_t>(end)},
                      {"changed", static_cast<int64_t>(update.changed.size())},
                      {"deleted", static_cast<int64_t>(update.deleted.size())},
                      {"renewal", static_cast<int64_t>(update.renewal)}});
}

}  // namespace fuchsiadrum::gateway
