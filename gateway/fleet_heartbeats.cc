#include "gateway/fleet_heartbeats.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/whole_number.h"
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
/// Maximum number of ended processes that a heartbeat names. The grants of
/// others stay counted.
constexpr int kMaxEndedHolders = 16;

/// Microseconds of a clock, of which differences are computed.
constexpr WholeRange kClockRange = {.max = 1'000'000'000'000'000'000};

bool AreInRange(
    const google::protobuf::RepeatedPtrField<pb::HeldCeiling>& all) {
  return std::ranges::all_of(all, [](const pb::HeldCeiling& held) {
    return ranges::kBudgetTokens.Contains(held.ceiling_tokens());
  });
}

bool IsInRange(const pb::EndedHolder& holder) {
  return kClockRange.Contains(holder.boot_us()) &&
         kClockRange.Contains(holder.unix_us()) &&
         kClockRange.Contains(holder.silence_us()) &&
         AreInRange(holder.ceilings());
}

bool IsInRange(const pb::FleetMember& member) {
  return kClockRange.Contains(member.boot_us()) &&
         kClockRange.Contains(member.unix_us()) &&
         AreInRange(member.ceilings()) &&
         std::ranges::all_of(member.ended(), [](const auto& holder) {
           return IsInRange(holder);
         });
}

/// The heartbeat in the record; nullopt if it holds none, or numbers that no
/// gateway writes.
std::optional<pb::FleetMember> DecodeMember(const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_member() || !IsInRange(content.member())) {
    return std::nullopt;
  }
  return content.member();
}

/// The process that wrote the heartbeat, and those that it names.
std::vector<pb::EndedHolder> EndedHolders(const pb::FleetMember& member,
                                          uint64_t offset) {
  pb::EndedHolder last;
  last.set_holder(VmRef{member.vm(), member.incarnation()}.ToString());
  last.set_boot_us(member.boot_us());
  last.set_unix_us(member.unix_us());
  last.set_offset(offset);
  *last.mutable_ceilings() = member.ceilings();
  if (member.has_store_era()) last.set_store_era(member.store_era());
  std::vector<pb::EndedHolder> ended = {std::move(last)};
  for (const pb::EndedHolder& holder : member.ended()) {
    if (ended.size() >= kMaxEndedHolders) break;
    ended.push_back(holder);
  }
  return ended;
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
    this->had_predecessor = true;
    this->ended = EndedHolders(*member, record.offset);
  }
}

asio::awaitable<void> FleetHeartbeats::Write(
    std::vector<budget::GrantCeiling> ceilings, budget::VmClocks clocks) {
  platform::StreamPartition partition;
  partition.stream = platform::Stream::kFleet;
  const std::vector<store::KeyedRecord> records = {
      this->OwnRecord(ceilings, clocks)};
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
    const std::vector<budget::GrantCeiling>& ceilings,
    const budget::VmClocks& clocks) const {
  pb::FleetRecord record;
  pb::FleetMember& member = *record.mutable_member();
  member.set_vm(this->options.vm);
  member.set_incarnation(this->options.incarnation);
  member.set_boot_us(clocks.since_boot.count());
  member.set_unix_us(clocks.time_of_day.count());
  for (const budget::GrantCeiling& held : ceilings) {
    pb::HeldCeiling& item = *member.add_ceilings();
    item.set_organisation(held.organisation);
    item.set_ceiling_tokens(held.ceiling.count);
  }
  for (const pb::EndedHolder& holder : this->ended) {
    *member.add_ended() = holder;
  }
  const auto era = this->options.store->era.Current();
  if (era) member.set_store_era(*era);
  return {.key = std::string(kMemberKeyPrefix) + this->options.vm,
          .value = record.SerializeAsString()};
}

asio::awaitable<std::optional<Duration>> FleetHeartbeats::SilenceOf(
    std::string ended_holder, budget::ReleaseOptions release) {
  const auto find = [&] {
    return std::ranges::find(this->ended, ended_holder,
                             &pb::EndedHolder::holder);
  };
  const auto found = find();
  if (found == this->ended.end()) co_return std::nullopt;
  if (found->has_silence_us()) co_return Duration(found->silence_us());

  // A restored store may have lost later heartbeats, and grants.
  const auto era = this->options.store->era.Current();
  const bool is_complete =
      !this->are_offsets_lost &&
      (!found->has_store_era() || era == found->store_era());
  const budget::VmClocks last_heartbeat = {
      .since_boot = Duration(found->boot_us()),
      .time_of_day = Duration(found->unix_us())};
  const budget::VmClocks& start = ClocksAtStart();
  budget::FleetHeartbeat last;
  last.vm = this->options.vm;
  last.offset = found->offset();
  last.time_of_day = last_heartbeat.time_of_day;

  const budget::ReclaimDecision verdict =
      is_complete
          ? budget::MayReclaim(last_heartbeat, start,
                               release.release_delay + release.release_duration)
          : budget::ReclaimDecision::kNo;
  std::optional<Duration> silence;
  if (verdict == budget::ReclaimDecision::kYes) {
    silence = budget::SilenceByBootClock(last_heartbeat, start);
  } else if (verdict == budget::ReclaimDecision::kAskPeers) {
    silence = co_await this->SilenceFromPeers(last);
  }
  const Duration by_boot = start.since_boot - last_heartbeat.since_boot;
  const Duration by_time_of_day =
      start.time_of_day - last_heartbeat.time_of_day;
  this->event_log.Write(
      "predecessor-reclaim",
      {{"holder", ended_holder},
       {"boot_clock_ms", ToMilliseconds(by_boot)},
       {"time_of_day_ms", ToMilliseconds(by_time_of_day)},
       {"silence_ms", silence ? ToMilliseconds(*silence) : -1},
       {"same_era", is_complete},
       {"verdict", silence ? "reclaim" : "keep"}});
  const auto still_ended = find();
  if (silence && still_ended != this->ended.end()) {
    still_ended->set_silence_us(silence->count());
  }
  co_return silence;
}

void FleetHeartbeats::OnSettled(const std::string& ended_holder) {
  std::erase_if(this->ended, [&](const pb::EndedHolder& holder) {
    return holder.holder() == ended_holder;
  });
}

asio::awaitable<std::optional<Duration>> FleetHeartbeats::SilenceFromPeers(
    budget::FleetHeartbeat last) {
  const TimePoint end = Now() + kPeerTimeout;
  while (Now() < end) {
    co_await this->timer.Wait(kPeerRetryInterval);
    if (this->are_offsets_lost) co_return std::nullopt;
    if (!this->first_heartbeat) continue;
    std::vector<budget::FleetHeartbeat> found;
    const uint64_t before = last.offset - std::min(last.offset, kRecordsBefore);
    if (!co_await this->Read(before, last.offset, found)) continue;
    const uint64_t first = this->first_heartbeat->offset;
    if (!co_await this->Read(first, first, found)) continue;

    budget::ReclaimSpan span;
    span.vm = this->options.vm;
    span.last = last;
    span.first = *this->first_heartbeat;
    if (budget::PeersConfirm(span, found, this->Interval())) {
      co_return budget::SilenceByPeers(span, found);
    }
  }
  co_return std::nullopt;
}

asio::awaitable<bool> FleetHeartbeats::Read(
    uint64_t from, uint64_t latest,
    std::vector<budget::FleetHeartbeat>& heartbeats) {
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
    if (!first || *first > latest) co_return false;
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
