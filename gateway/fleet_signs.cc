#include "gateway/fleet_signs.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kMemberKey = "member/";
/// Pause after a write whose outcome is unknown, before it is repeated.
constexpr Duration kRepeatPause = std::chrono::milliseconds(100);
/// Records before a dead process's last sign and after the own first one among
/// which other VMs' signs are looked for. Three VMs in both are enough.
constexpr uint64_t kSignsAround = 96;
constexpr size_t kSignBytes = 65536;
/// How long other VMs' signs are awaited, and how often they are read. The
/// signs do not change, so that a late answer is as good; a VM whose link is
/// full after a restart of all may need many seconds to read them. The store
/// keeps them for 20 s.
constexpr Duration kAskTime = std::chrono::seconds(15);
constexpr Duration kAskPause = std::chrono::milliseconds(400);

std::optional<pb::FleetMember> DecodeMember(const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_member()) {
    return std::nullopt;
  }
  return content.member();
}

}  // namespace

Duration SignInterval(const FleetSignsOptions& options, size_t fleet_size) {
  const Duration paced =
      FromSeconds(static_cast<double>(fleet_size) / options.most_signs_per_s);
  return std::clamp(paced, options.least_interval, options.longest_interval);
}

FleetSigns::FleetSigns(const FleetSignsOptions& opts, asio::io_context& context,
                       Watchdog& watchdog, EventLog& log)
    : options(opts),
      event_log(log),
      write_client(context, watchdog, opts.store_address),
      read_client(context, watchdog, opts.store_address),
      gate(context) {
  this->writer.name = opts.vm + "/" + std::to_string(opts.incarnation);
}

std::string FleetSigns::FormerHolder() const {
  return this->former->vm() + "/" + std::to_string(this->former->incarnation());
}

Duration FleetSigns::Unanswered(TimePoint now) const {
  return this->write_begun.us == 0 ? Duration::zero() : now - this->write_begun;
}

asio::awaitable<bool> FleetSigns::ReadFleet() {
  platform::StreamPartition part;
  part.stream = platform::Stream::kFleet;
  const auto page = co_await ReadAllNewest(this->read_client, part,
                                           this->options.store_timeout);
  if (!page) co_return false;
  for (const store::KeyedRecord& record : page->records) {
    this->TakeMember(record);
  }
  this->vms.insert(this->options.vm);
  this->fleet_size = this->vms.size();
  co_return true;
}

void FleetSigns::TakeMember(const store::KeyedRecord& record) {
  const auto member = DecodeMember(record);
  if (!member) {
    this->event_log.Write("bad-fleet-record", {{"key", record.key}});
    return;
  }
  this->vms.insert(member->vm());
  if (member->vm() == this->options.vm && !this->first_sign &&
      member->incarnation() != this->options.incarnation) {
    this->former = *member;
    this->former_offset = record.offset;
  }
}

asio::awaitable<void> FleetSigns::Write(
    std::vector<budget::GrantCeiling> ceilings) {
  platform::StreamPartition part;
  part.stream = platform::Stream::kFleet;
  const std::vector<store::KeyedRecord> records = {this->OwnRecord(ceilings)};
  this->write_begun = Now();
  // The same sequence is repeated until the outcome is known, so that a late
  // write and its repeat count once.
  while (true) {
    std::string text = platform::EncodeAppend(this->options.store_address, part,
                                              this->writer, records);
    const StoreReply reply = co_await this->write_client.Call(
        std::move(text), this->options.store_timeout);
    if (reply.status == platform::kStoreOk) {
      const auto offset = platform::DecodeAppendOffset(reply.body);
      if (!this->first_sign && offset) {
        this->first_sign = budget::FleetHeartbeat();
        this->first_sign->vm = this->options.vm;
        this->first_sign->offset = *offset;
        this->first_sign->time_of_day =
            Duration(DecodeMember(records.front())->unix_us());
      }
      ++this->writer.sequence;
      break;
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->event_log.Write("sign-refused", {{"body", reply.body}});
      // The store has this sequence and has forgotten its answer.
      if (expected && *expected > this->writer.sequence) {
        this->writer.sequence = *expected;
        break;
      }
      ++this->writer.epoch;
      this->writer.sequence = 0;
      continue;
    }
    co_await this->gate.Wait(kRepeatPause);
  }
  this->write_begun = TimePoint();
}

store::KeyedRecord FleetSigns::OwnRecord(
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
  return {.key = std::string(kMemberKey) + this->options.vm,
          .value = record.SerializeAsString()};
}

asio::awaitable<std::optional<Duration>> FleetSigns::FormerSilence(
    budget::ReleaseOptions release) {
  if (!this->former) co_return std::nullopt;
  budget::VmClocks last_sign;
  last_sign.since_boot = Duration(this->former->boot_us());
  last_sign.time_of_day = Duration(this->former->unix_us());
  const budget::VmClocks& start = ClocksAtStart();

  const budget::ReclaimDecision verdict = budget::MayReclaim(
      last_sign, start, release.release_delay + release.release_duration);
  std::optional<Duration> silence;
  if (verdict == budget::ReclaimDecision::kYes) {
    silence = budget::SilenceByBootClock(last_sign, start);
  } else if (verdict == budget::ReclaimDecision::kAskPeers) {
    silence = co_await this->AskOthers();
  }
  const Duration by_boot = start.since_boot - last_sign.since_boot;
  const Duration by_day = start.time_of_day - last_sign.time_of_day;
  this->event_log.Write(
      "take-over", {{"holder", this->FormerHolder()},
                    {"boot_ms", ToMilliseconds(by_boot)},
                    {"day_ms", ToMilliseconds(by_day)},
                    {"silence_ms", silence ? ToMilliseconds(*silence) : -1},
                    {"verdict", silence ? "reclaim" : "keep"}});
  co_return silence;
}

asio::awaitable<std::optional<Duration>> FleetSigns::AskOthers() {
  const TimePoint end = Now() + kAskTime;
  while (Now() < end) {
    co_await this->gate.Wait(kAskPause);
    if (!this->first_sign) continue;
    std::vector<budget::FleetHeartbeat> signs;
    const uint64_t before =
        this->former_offset - std::min(this->former_offset, kSignsAround);
    if (!co_await this->ReadSigns(before, signs)) continue;
    if (!co_await this->ReadSigns(this->first_sign->offset, signs)) continue;

    budget::ReclaimSpan span;
    span.vm = this->options.vm;
    span.last.vm = this->options.vm;
    span.last.offset = this->former_offset;
    span.last.time_of_day = Duration(this->former->unix_us());
    span.first = *this->first_sign;
    if (budget::PeersConfirm(span, signs, this->Interval())) {
      co_return budget::SilenceByPeers(span, signs);
    }
  }
  co_return std::nullopt;
}

asio::awaitable<bool> FleetSigns::ReadSigns(
    uint64_t from, std::vector<budget::FleetHeartbeat>& signs) {
  platform::StreamPartition part;
  part.stream = platform::Stream::kFleet;
  platform::TailRead read;
  read.from = from;
  read.max_bytes = kSignBytes;
  std::string text =
      platform::EncodeReadTail(this->options.store_address, part, read);
  StoreReply reply = co_await this->read_client.Call(
      std::move(text), this->options.store_timeout);
  if (reply.status == platform::kStoreOffsetExpired) {
    // In a small fleet the lead is longer than the store's history.
    const auto first = platform::DecodeFirstRetained(reply.body);
    if (!first || *first > this->former_offset) co_return false;
    read.from = *first;
    std::string again =
        platform::EncodeReadTail(this->options.store_address, part, read);
    reply = co_await this->read_client.Call(std::move(again),
                                            this->options.store_timeout);
  }
  if (reply.status != platform::kStoreOk) co_return false;
  const auto page = platform::DecodeTail(reply.body, read.from);
  if (!page) co_return false;
  for (const store::KeyedRecord& record : page->records) {
    const auto member = DecodeMember(record);
    if (!member) continue;
    budget::FleetHeartbeat sign;
    sign.vm = member->vm();
    sign.offset = record.offset;
    sign.time_of_day = Duration(member->unix_us());
    signs.push_back(std::move(sign));
  }
  co_return true;
}

}  // namespace fuchsiadrum::gateway
