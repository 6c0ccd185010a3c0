#include "gateway/quarantine_client.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "gateway/quarantine_records.h"

namespace fuchsiadrum::gateway {
namespace {

/// Records that a restored store lacks stay in force for this long, as if the
/// store were away. It covers the leases of shares and the spread of evidence.
constexpr Duration kKeepUnconfirmed = std::chrono::seconds(20);
constexpr platform::StreamPartition kPartition = {
    .stream = platform::Stream::kQuarantine};

std::string Joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    if (!text.empty()) text += ',';
    text += item;
  }
  return text;
}

}  // namespace

QuarantineClient::QuarantineClient(const QuarantineClientOptions& opts,
                                   asio::io_context& io_context,
                                   Watchdog& watchdog, EventLog& log,
                                   serving::PromptQuarantine& quarantine)
    : options(opts),
      context(io_context),
      event_log(log),
      quarantines(quarantine),
      follower({.stream = platform::Stream::kQuarantine,
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

void QuarantineClient::Start() {
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);
  asio::co_spawn(this->context, this->WriteLoop(), asio::detached);
}

void QuarantineClient::SetFleetSize(size_t size) {
  this->quarantines.SetFleetSize(size);
  this->follower.SetInterval(std::max(
      this->options.min_read_interval,
      this->options.read_interval_per_vm * static_cast<int64_t>(size)));
}

void QuarantineClient::LogChanges() {
  for (const serving::QuarantineEvent& event : this->quarantines.TakeEvents()) {
    this->event_log.Write(
        "prompt-part", {{"change", serving::QuarantineChangeName(event.change)},
                        {"parts", event.key},
                        {"crashes", event.crashes},
                        {"organisations", event.organisations},
                        {"trials", event.trials},
                        {"evidence", Joined(event.evidence)},
                        {"evidence_age_ms", event.evidence_age_ms}});
  }
}

void QuarantineClient::OnRecord(const store::KeyedRecord& record) {
  const TimePoint now = Now();
  const auto event = DecodeQuarantineRecord(record);
  if (!event) {
    this->event_log.Write("bad-quarantine-record", {{"key", record.key}});
    return;
  }
  if (const auto* crash = std::get_if<serving::UpstreamCrash>(&*event)) {
    this->quarantines.OnCrashRecord(now, *crash);
  } else if (const auto* over = std::get_if<CrashDeleted>(&*event)) {
    this->quarantines.OnCrashDeleted(now, over->key);
  } else if (const auto* held = std::get_if<serving::Quarantine>(&*event)) {
    this->quarantines.OnQuarantineRecord(now, *held);
  } else if (const auto* ended = std::get_if<QuarantineDeleted>(&*event)) {
    this->quarantines.OnQuarantineDeleted(now, ended->key);
  }
  this->LogChanges();
}

asio::awaitable<void> QuarantineClient::WriteLoop() {
  while (true) {
    const bool is_due = this->quarantines.IsUpdateDue(Now());
    const bool is_current = is_due && co_await this->ReadToEnd();
    if (!is_current) {
      co_await this->update_due.Wait(this->options.sync_interval);
      continue;
    }
    co_await this->Write(this->quarantines.PlanUpdate(Now()));
  }
}

asio::awaitable<bool> QuarantineClient::ReadToEnd() {
  // A pending read would have returned if the end had moved.
  if (this->follower.IsPausing()) {
    this->follower.Wake();
    co_await this->read_done.Wait(this->options.store_timeout);
  }
  co_return this->follower.IsCurrent();
}

asio::awaitable<void> QuarantineClient::Write(
    serving::QuarantineUpdate update) {
  if (update.IsEmpty()) co_return;
  const uint64_t end = this->follower.NextOffset();
  std::string text = platform::EncodeAppend(
      this->options.store->address, kPartition, platform::Writer(),
      EncodeQuarantineUpdate(update), end);
  StoreReply reply =
      co_await this->writer.Call(std::move(text), this->options.store_timeout);
  bool is_proven = reply.status == 0 || platform::SettlesAppend(reply.status);
  if (reply.status == platform::kStoreOk) {
    is_proven = platform::DecodeAppendOffset(reply.body) == end;
  }
  if (!is_proven) {
    this->writer.DropUnproven(reply, this->event_log);
    reply = StoreReply();
  }
  this->event_log.Write(
      "quarantine-write",
      {{"status", int64_t{reply.status}},
       {"end", static_cast<int64_t>(end)},
       {"crashes", static_cast<int64_t>(update.crashes.size())},
       {"quarantines", static_cast<int64_t>(update.quarantines.size())},
       {"deleted", static_cast<int64_t>(update.ended_crashes.size() +
                                        update.ended_quarantines.size())}});
  // What was not applied is planned again; what was applied without an answer
  // is read from the stream.
  if (reply.status != platform::kStoreOk) {
    co_await this->timer.Wait(std::chrono::duration_cast<Duration>(
        this->options.max_backoff * this->rng.Unit()));
  }
  if (this->follower.IsPausing()) this->follower.Wake();
  co_await this->read_done.Wait(this->options.store_timeout);
}

}  // namespace fuchsiadrum::gateway
