#include "gateway/version_client.h"

#include <algorithm>

#include "gateway/clock.h"
#include "gateway/version_records.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr platform::StreamPartition kPartition = {
    .stream = platform::Stream::kVersions};
/// What a restored store lacks stays known until it is written again or too
/// old.
constexpr Duration kKeepUnconfirmed = std::chrono::minutes(10);
/// Records in one write: about 16 KB.
constexpr size_t kMaxBatch = 256;
/// Interval at which a waiting request asks again for a read.
constexpr Duration kReadCheckInterval = std::chrono::milliseconds(20);

}  // namespace

VersionClient::VersionClient(const VersionClientOptions& opts,
                             asio::io_context& io_context, Watchdog& watchdog,
                             EventLog& log,
                             serving::StreamVersions& stream_versions)
    : options(opts),
      context(io_context),
      event_log(log),
      versions(stream_versions),
      follower(
          {.stream = platform::Stream::kVersions,
           .interval = opts.read_interval,
           .timeout = opts.store_timeout,
           .keep_unconfirmed = kKeepUnconfirmed},
          {.on_change = [this](const auto& r) { this->OnRecord(r); },
           .on_read =
               [this] {
                 if (this->follower.IsCurrent()) {
                   // That of the read before: the begin of this one is
                   // known only when it has ended.
                   this->versions.OnRecordsRead(this->follower.LastReadBegun());
                 }
                 this->read_done.Notify();
               },
           .on_recovered = [] {}},
          io_context, watchdog, log, *opts.store),
      service_writer(io_context, watchdog, *opts.store),
      stream_writer(io_context, watchdog, *opts.store),
      update_due(io_context),
      stream_begun(io_context),
      streams_recorded(io_context),
      read_done(io_context),
      timer(io_context) {
  opts.store->era.Subscribe([this](auto /*before*/, auto /*now*/) {
    this->versions.OnStoreRestored(Now());
    this->stream_begun.Notify();
  });
}

void VersionClient::Start() {
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);
  asio::co_spawn(this->context, this->ServiceLoop(), asio::detached);
  asio::co_spawn(this->context, this->StreamLoop(), asio::detached);
}

uint64_t VersionClient::Calls() const {
  return this->follower.Calls() + this->service_writer.Calls() +
         this->stream_writer.Calls();
}

bool VersionClient::CanRecord(TimePoint now) const {
  return this->write_begun.us == 0 ||
         now - this->write_begun < this->options.slow_write_age;
}

asio::awaitable<bool> VersionClient::ReadToPresent(Duration timeout) {
  const TimePoint asked = Now();
  const TimePoint end = asked + timeout;
  while (true) {
    // A read that was begun earlier may have been answered before the stream
    // in question began.
    if (this->follower.LastReadBegun() >= asked && this->follower.IsCurrent()) {
      co_return true;
    }
    const TimePoint now = Now();
    if (now >= end) co_return false;
    if (this->follower.IsPausing() && !this->follower.IsFailing()) {
      this->follower.Wake();
    }
    co_await this->read_done.Wait(std::min(end - now, kReadCheckInterval));
  }
}

asio::awaitable<bool> VersionClient::AwaitRecorded(std::string attempt,
                                                   Duration timeout) {
  const TimePoint end = Now() + timeout;
  while (!this->versions.IsRecorded(attempt)) {
    const TimePoint now = Now();
    if (now >= end) co_return false;
    co_await this->streams_recorded.Wait(end - now);
  }
  co_return true;
}

void VersionClient::OnRecord(const store::KeyedRecord& record) {
  const auto event = DecodeVersionRecord(record);
  if (!event) {
    this->event_log.Write("bad-version-record", {{"key", record.key}});
    return;
  }
  if (const auto* listed = std::get_if<serving::ServiceVersions>(&*event)) {
    this->versions.OnService(*listed);
    this->event_log.Write(
        "service-versions",
        {{"service", listed->service},
         {"base", listed->base},
         {"others", static_cast<int64_t>(listed->others.size())},
         {"offset", static_cast<int64_t>(record.offset)}});
  } else if (const auto* gone = std::get_if<ServiceVersionsDeleted>(&*event)) {
    this->versions.OnServiceDeleted(gone->service);
  } else if (const auto* begun = std::get_if<StreamStarted>(&*event)) {
    this->versions.OnStream(Now(), begun->attempt, begun->origin);
  } else if (const auto* ended = std::get_if<StreamStartDeleted>(&*event)) {
    this->versions.OnStreamDeleted(ended->attempt);
  }
}

asio::awaitable<void> VersionClient::ServiceLoop() {
  while (true) {
    bool is_due = !this->versions.PlanServices(Now()).empty();
    if (is_due) {
      is_due = co_await this->ReadToPresent(this->options.store_timeout);
    }
    if (!is_due) {
      co_await this->update_due.Wait(this->options.sync_interval);
      continue;
    }
    co_await this->WriteServices();
  }
}

asio::awaitable<void> VersionClient::WriteServices() {
  // Another gateway may have written what was due.
  const std::vector<serving::ServiceVersions> due =
      this->versions.PlanServices(Now());
  if (due.empty()) co_return;
  std::vector<store::KeyedRecord> records;
  records.reserve(due.size());
  for (const serving::ServiceVersions& listed : due) {
    records.push_back(EncodeServiceVersions(listed));
  }
  std::string text = platform::EncodeAppend(
      this->options.store->address, kPartition, platform::Writer(), records,
      this->follower.NextOffset());
  const StoreReply reply = co_await this->service_writer.Call(
      std::move(text), this->options.store_timeout);
  this->event_log.Write("service-versions-write",
                        {{"status", int64_t{reply.status}},
                         {"services", static_cast<int64_t>(due.size())}});
  // The records count once they are read back.
  if (reply.status != platform::kStoreOk) {
    co_await this->timer.Wait(this->options.retry_interval);
  }
  co_await this->ReadToPresent(this->options.store_timeout);
}

asio::awaitable<void> VersionClient::StreamLoop() {
  while (true) {
    if (this->versions.Unrecorded() == 0 &&
        this->versions.PlanDeletions(Now(), 1).empty()) {
      this->write_begun = TimePoint();
      co_await this->stream_begun.Wait(this->options.sync_interval);
      continue;
    }
    if (this->write_begun.us == 0) this->write_begun = Now();
    const bool is_written = co_await this->WriteStreams();
    if (is_written) {
      this->write_begun = TimePoint();
      this->streams_recorded.Notify();
    } else {
      co_await this->timer.Wait(this->options.retry_interval);
    }
  }
}

asio::awaitable<bool> VersionClient::WriteStreams() {
  const auto begun = this->versions.PlanStreams(kMaxBatch);
  const auto ended = this->versions.PlanDeletions(Now(), kMaxBatch);
  std::vector<store::KeyedRecord> records;
  records.reserve(begun.size() + ended.size());
  for (const auto& [attempt, origin] : begun) {
    records.push_back(EncodeStreamStart(attempt, origin));
  }
  for (const std::string& attempt : ended) {
    records.push_back(EncodeStreamEnd(attempt));
  }
  std::string text = platform::EncodeAppend(
      this->options.store->address, kPartition, platform::Writer(), records);
  const StoreReply reply = co_await this->stream_writer.Call(
      std::move(text), this->options.store_timeout);
  if (reply.status != platform::kStoreOk ||
      !platform::DecodeAppendOffset(reply.body)) {
    this->event_log.Write("stream-versions-write-failed",
                          {{"status", int64_t{reply.status}},
                           {"streams", static_cast<int64_t>(begun.size())}});
    co_return false;
  }
  this->versions.OnStreamsWritten(begun);
  for (const std::string& attempt : ended) {
    this->versions.OnStreamDeleted(attempt);
  }
  co_return true;
}

}  // namespace fuchsiadrum::gateway
