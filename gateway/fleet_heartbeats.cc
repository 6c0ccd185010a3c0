#include "gateway/fleet_heartbeats.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kMemberKeyPrefix = "member/";
/// Delay before a write with an unknown outcome is retried.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
/// Number of records before the predecessor's last heartbeat, from which on the
/// heartbeats of other VMs are read. Three VMs that appear both there and after
/// this process's first heartbeat are enough.
constexpr uint64_t kRecordsBefore = 96;
constexpr size_t kMaxReadBytes = 65536;
/// Timeout for confirmation by other VMs' heartbeats, and the interval between
/// reads. Stored heartbeats do not change, so a late answer is as good as an
/// early one, and a VM whose link is saturated after a restart of the whole
/// fleet may need many seconds to read them. The store retains them for 20 s.
constexpr Duration kPeerTimeout = std::chrono::seconds(15);
constexpr Duration kPeerRetryInterval = std::chrono::milliseconds(400);

std::optional<pb::FleetMember> DecodeMember(const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_member()) {
    return std::nullopt;
  }
  return content.member();
}

}  // namespace

Duration HeartbeatInterval(const FleetHeartbeatsOptions& options,
                           size_t fleet_size) {
  const Duration paced = FromSeconds(static_cast<double>(fleet_size) /
                                     options.max_heartbeats_per_s);
  return std::clamp(paced, options.min_interval, options.max_interval);
}

FleetHeartbeats::FleetHeartbeats(const FleetHeartbeatsOptions& opts,
                                 asio::io_context& context, Watchdog& watchdog,
                                 EventLog& log)
    : options(opts),
      event_log(log),
      write_client(context, watchdog, *opts.store),
      read_client(context, watchdog, *opts.store),
      timer(context) {
  this->writer.name = VmRef{opts.vm, opts.incarnation}.ToString();
  opts.store->era.Subscribe(
      [this](auto /*before*/, auto /*now*/) { this->OnNewEra(); });
}

void FleetHeartbeats::OnNewEra() {
  this->last_offset.reset();
  // The restored store may expect an earlier sequence number.
  ++this->writer.epoch;
  this->writer.sequence = 0;
  this->are_offsets_lost = true;
}

std::string FleetHeartbeats::PredecessorHolder() const {
  return VmRef{this->predecessor->vm(), this->predecessor->incarnation()}
      .ToString();
}

Duration FleetHeartbeats::PendingWriteAge(TimePoint now) const {
  return this->write_begun.us == 0 ? Duration::zero() : now - this->write_begun;
}

asio::awaitable<bool> FleetHeartbeats::ReadFleet() {
  platform::StreamPartition partition;
  partition.stream = platform::Stream::kFleet;
  const auto page = co_await ReadAllNewest(this->read_client, partition,
                                           this->options.store_timeout);
  if (!page) co_return false;
  for (const store::KeyedRecord& record : page->records) {
    this->AddMember(record);
  }
  this->vms.insert(this->options.vm);
  this->fleet_size = this->vms.size();
  ++this->reads;
  co_return true;
}

void FleetHeartbeats::AddMember(const store::KeyedRecord& record) {
  const auto member = DecodeMember(record);
  if (!member) {
    this->event_log.Write("bad-fleet-record", {{"key", record.key}});
    return;
  }
  this->vms.insert(member->vm());
  if (member->vm() == this->options.vm && !this->first_heartbeat &&
      member->incarnation() != this->options.incarnation) {
    this->predecessor = *member;
    this->predecessor_offset = record.offset;
  }
}

asio::awaitable<void> FleetHeartbeats::Write(
    std::vector<budget::GrantCeiling> ceilings) {
  platform::StreamPartition partition;
  partition.stream = platform::Stream::kFleet;
  const std::vector<store::KeyedRecord> records = {this->OwnRecord(ceilings)};
  this->write_begun = Now();
  // Retried with the same sequence number until the outcome is known, so that
  // the store applies a delayed write and its retry only once.
  int unproven = 0;
  while (true) {
    std::string text = platform::EncodeAppend(this->options.store->address,
                                              partition, this->writer, records);
    const StoreReply reply = co_await this->write_client.Call(
        std::move(text), this->options.store_timeout);
    const auto offset = platform::DecodeAppendOffset(reply.body);
    // Each heartbeat has a higher offset than the one before.
    if (reply.status == platform::kStoreOk &&
        (!offset || offset <= this->last_offset)) {
      this->write_client.DropUnproven(reply, this->event_log);
      if (++unproven >= kMaxUnprovenAnswers) {
        unproven = 0;
        ++this->writer.epoch;
        this->writer.sequence = 0;
      }
      co_await this->timer.Wait(kRetryInterval);
      continue;
    }
    if (reply.status == platform::kStoreOk) {
      this->last_offset = offset;
      if (!this->first_written_at) this->first_written_at = Now();
      if (!this->first_heartbeat) {
        this->first_heartbeat = budget::FleetHeartbeat();
        this->first_heartbeat->vm = this->options.vm;
        this->first_heartbeat->offset = *offset;
        this->first_heartbeat->time_of_day =
            Duration(DecodeMember(records.front())->unix_us());
      }
      ++this->writer.sequence;
      break;
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->event_log.Write("heartbeat-rejected", {{"body", reply.body}});
      // The store has applied this sequence number but no longer has the
      // answer.
      if (expected && *expected > this->writer.sequence) {
        this->writer.sequence = *expected;
        break;
      }
      ++this->writer.epoch;
      this->writer.sequence = 0;
      continue;
    }
    co_await this->timer.Wait(kRetryInterval);
  }
  this->write_begun = TimePoint();
}

store::KeyedRecord FleetHeartbeats::OwnRecord(
    const std::vector<budget::GrantCeiling>& ceilings) const {
  pb::FleetRecord record;
  pb::FleetMember& member = *record.mutable_member();
  member.set_vm(this->options.vm);
  member.set_incarnation(this->options.incarnation);
  const budget::VmClocks clocks = ReadVmClocks();
  member.set_boot_us(clocks.since_boot.count());
  member.set_unix_us(clocks.time_of_day.count());
  for (const budget::GrantCeiling& held : ceilings) {
    pb::HeldCeiling& item = *member.add_ceilings();
    item.set_organisation(held.organisation);
    item.set_ceiling_tokens(held.ceiling.count);
  }
  return {.key = std::string(kMemberKeyPrefix) + this->options.vm,
          .value = record.SerializeAsString()};
}

asio::awaitable<std::optional<Duration>> FleetHeartbeats::PredecessorSilence(
    budget::ReleaseOptions release) {
  if (!this->predecessor) co_return std::nullopt;
  budget::VmClocks last_heartbeat;
  last_heartbeat.since_boot = Duration(this->predecessor->boot_us());
  last_heartbeat.time_of_day = Duration(this->predecessor->unix_us());
  const budget::VmClocks& start = ClocksAtStart();

  const budget::ReclaimDecision verdict = budget::MayReclaim(
      last_heartbeat, start, release.release_delay + release.release_duration);
  std::optional<Duration> silence;
  if (verdict == budget::ReclaimDecision::kYes) {
    silence = budget::SilenceByBootClock(last_heartbeat, start);
  } else if (verdict == budget::ReclaimDecision::kAskPeers) {
    silence = co_await this->SilenceFromPeers();
  }
  const Duration by_boot = start.since_boot - last_heartbeat.since_boot;
  const Duration by_time_of_day =
      start.time_of_day - last_heartbeat.time_of_day;
  this->event_log.Write(
      "predecessor-reclaim",
      {{"holder", this->PredecessorHolder()},
       {"boot_clock_ms", ToMilliseconds(by_boot)},
       {"time_of_day_ms", ToMilliseconds(by_time_of_day)},
       {"silence_ms", silence ? ToMilliseconds(*silence) : -1},
       {"verdict", silence ? "reclaim" : "keep"}});
  co_return silence;
}

asio::awaitable<std::optional<Duration>> FleetHeartbeats::SilenceFromPeers() {
  const TimePoint end = Now() + kPeerTimeout;
  while (Now() < end) {
    co_await this->timer.Wait(kPeerRetryInterval);
    if (this->are_offsets_lost) co_return std::nullopt;
    if (!this->first_heartbeat) continue;
    std::vector<budget::FleetHeartbeat> found;
    const uint64_t before = this->predecessor_offset -
                            std::min(this->predecessor_offset, kRecordsBefore);
    if (!co_await this->Read(before, found)) continue;
    if (!co_await this->Read(this->first_heartbeat->offset, found)) continue;

    budget::ReclaimSpan span;
    span.vm = this->options.vm;
    span.last.vm = this->options.vm;
    span.last.offset = this->predecessor_offset;
    span.last.time_of_day = Duration(this->predecessor->unix_us());
    span.first = *this->first_heartbeat;
    if (budget::PeersConfirm(span, found, this->Interval())) {
      co_return budget::SilenceByPeers(span, found);
    }
  }
  co_return std::nullopt;
}

asio::awaitable<bool> FleetHeartbeats::Read(
    uint64_t from, std::vector<budget::FleetHeartbeat>& heartbeats) {
  platform::StreamPartition partition;
  partition.stream = platform::Stream::kFleet;
  platform::TailRead read;
  read.from = from;
  read.max_bytes = kMaxReadBytes;
  std::string text =
      platform::EncodeReadTail(this->options.store->address, partition, read);
  StoreReply reply = co_await this->read_client.Call(
      std::move(text), this->options.store_timeout);
  if (reply.status == platform::kStoreOffsetExpired) {
    // In a small fleet, the records before the predecessor's last heartbeat
    // reach back beyond what the store retains.
    const auto first = platform::DecodeFirstRetained(reply.body);
    if (!first || *first > this->predecessor_offset) co_return false;
    read.from = *first;
    std::string retry_text =
        platform::EncodeReadTail(this->options.store->address, partition, read);
    reply = co_await this->read_client.Call(std::move(retry_text),
                                            this->options.store_timeout);
  }
  if (reply.status != platform::kStoreOk) co_return false;
  const auto page = platform::DecodeTail(reply.body, read.from);
  if (!page) co_return false;
  for (const store::KeyedRecord& record : page->records) {
    const auto member = DecodeMember(record);
    if (!member) continue;
    budget::FleetHeartbeat heartbeat;
    heartbeat.vm = member->vm();
    heartbeat.offset = record.offset;
    heartbeat.time_of_day = Duration(member->unix_us());
    heartbeats.push_back(std::move(heartbeat));
  }
  co_return true;
}

}  // namespace fuchsiadrum::gateway
