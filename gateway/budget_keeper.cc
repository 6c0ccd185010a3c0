#include "gateway/budget_keeper.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kGrantKey = "grant/";
constexpr std::string_view kMemberKey = "member/";
/// Age of an unanswered append at which the stream is read for it; answers take
/// a few milliseconds.
constexpr Duration kLateAnswer = std::chrono::milliseconds(120);
/// Age of an unanswered append above which requests no longer wait for it:
/// appends of other gateways may hold it up for some tens of milliseconds.
constexpr Duration kSlowAppend = std::chrono::milliseconds(150);
/// How often a waiting request looks whether the store still answers.
constexpr Duration kLookAgain = std::chrono::milliseconds(50);
/// Pause after an append whose outcome is unknown, before it is repeated.
constexpr Duration kRepeatPause = std::chrono::milliseconds(100);
/// Time after the start in which all gateways have shown themselves: they start
/// together and write twice a second.
constexpr Duration kFleetShowsItself = std::chrono::seconds(3);
/// Records before a dead process's last one among which other gateways' signs
/// are looked for; each of them writes a few records a second.
constexpr uint64_t kSignsBefore = 400;
/// How long other gateways' signs are awaited, and how often they are read. The
/// signs do not change, so that a late answer is as good; a VM whose link is
/// full after a restart of all may need many seconds to read them. The store
/// keeps them for 20 s.
constexpr Duration kAskPeersTime = std::chrono::seconds(15);
constexpr Duration kAskPeersPause = std::chrono::milliseconds(400);

budget::GrantHolderOptions HolderOptions(const std::string& name) {
  return {.holder = name, .seed = Hash64(name)};
}

StreamFollowerOptions FollowerOptions(const BudgetKeeperOptions& options) {
  return {.stream = platform::Stream::kFleet,
          .interval = options.read_interval,
          .timeout = options.store_timeout};
}

std::string NameOf(const BudgetKeeperOptions& options) {
  return options.vm + "/" + std::to_string(options.incarnation);
}

}  // namespace

BudgetKeeper::BudgetKeeper(const BudgetKeeperOptions& opts,
                           asio::io_context& io_context, Watchdog& watchdog,
                           EventLog& log)
    : options(opts),
      name(NameOf(opts)),
      context(io_context),
      event_log(log),
      holder(HolderOptions(this->name), this->table),
      follower(
          FollowerOptions(opts),
          {.on_change = [this](const auto& record) { this->OnRecord(record); },
           .on_read = [this] { this->OnRead(); },
           .on_regained = [] {}},
          io_context, watchdog, log, opts.store_address),
      writer_client(io_context, watchdog, opts.store_address),
      writer{.name = this->name},
      granted(io_context),
      wanted(io_context),
      history_client(io_context, watchdog, opts.store_address) {}

void BudgetKeeper::Start() {
  this->started_at = Now();
  asio::co_spawn(this->context, this->WriteLoop(), asio::detached);
}

void BudgetKeeper::OnConfig(const serving::ServingConfig& config) {
  for (const serving::Organisation& organisation : config.organisations) {
    this->holder.SetLimit(organisation.name, organisation.prepaid);
  }
  // A higher total may free requests that wait.
  this->wanted.Notify();
  this->granted.Notify();
}

asio::awaitable<budget::ReserveResult> BudgetKeeper::Reserve(
    std::string organisation, Tokens amount, Duration patience) {
  const TimePoint begin = Now();
  const TimePoint end = begin + patience;
  this->holder.OnRequest(begin, organisation, amount);
  while (true) {
    const TimePoint now = Now();
    const budget::ReserveResult result =
        this->holder.Reserve(now, organisation, amount);
    // Only a grant that is free comes soon; others' tokens come back when their
    // holders need them no longer.
    const bool comes =
        result == budget::ReserveResult::kNotYet && this->IsStoreAnswering(now);
    this->wanted.Notify();
    if (!comes || now >= end) co_return result;
    co_await this->granted.Wait(std::min(end - now, kLookAgain));
  }
}

bool BudgetKeeper::IsStoreAnswering(TimePoint now) const {
  if (this->follower.IsLost()) return false;
  return this->append_begun.us == 0 || now - this->append_begun < kSlowAppend;
}

void BudgetKeeper::Settle(const std::string& organisation, Tokens amount,
                          Tokens spent) {
  this->holder.Settle(organisation, amount, spent);
}

void BudgetKeeper::Close() {
  this->closed = true;
  this->holder.Close();
  this->wanted.Notify();
}

void BudgetKeeper::OnRecord(const store::KeyedRecord& record) {
  if (!record.value) {
    const auto grant = this->grant_keys.find(record.key);
    if (grant != this->grant_keys.end()) {
      this->table.Erase(grant->second.first, grant->second.second);
      this->grant_keys.erase(grant);
    }
    return;
  }

  pb::FleetRecord content;
  if (!content.ParseFromString(*record.value)) {
    this->event_log.Write("bad-fleet-record", {{"key", record.key}});
    return;
  }
  if (content.has_member()) {
    const pb::FleetMember& member = content.member();
    if (member.vm() != this->options.vm) {
      this->other_vms.insert(member.vm());
    } else if (member.incarnation() != this->options.incarnation) {
      this->predecessor = member;
      this->predecessor_offset = record.offset;
    } else {
      this->OnOwnSign(member, record.offset);
    }
    return;
  }
  if (!content.has_grant()) return;

  const pb::BudgetGrant& grant = content.grant();
  this->grant_keys[record.key] = {grant.organisation(), grant.holder()};
  this->table.Set(Now(), grant.organisation(), grant.holder(),
                  {.granted = Tokens(grant.granted_tokens()),
                   .spent = Tokens(grant.spent_tokens()),
                   .demand = Tokens(grant.demand_tokens_per_s()),
                   .ceiling = Tokens(grant.ceiling_tokens())});
  if (grant.holder() == this->name) {
    this->holder.OnOwnRecord(Now(), grant.organisation(),
                             this->follower.IsConsistent());
    this->LogOwnGrant(grant, record.offset);
  }
}

void BudgetKeeper::OnOwnSign(const pb::FleetMember& member, uint64_t offset) {
  if (!this->first_sign) {
    this->first_sign = {.vm = member.vm(),
                        .offset = offset,
                        .time_of_day = Duration(member.unix_us())};
  }
  if (this->append_since.us != 0 && member.append() == this->writer.sequence) {
    this->append_seen = true;
    this->writer_client.Abandon();
  }
}

void BudgetKeeper::OnTick(TimePoint now) {
  if (this->append_since.us == 0 || this->append_seen) return;
  if (now - this->append_since < kLateAnswer) return;
  this->append_since = now;
  this->follower.Poke();
}

void BudgetKeeper::OnRead() {
  const bool consistent = this->follower.IsConsistent();
  if (consistent && !this->was_consistent) this->holder.OnConsistent(Now());
  this->was_consistent = consistent;
  this->granted.Notify();
  this->wanted.Notify();
}

asio::awaitable<void> BudgetKeeper::WriteLoop() {
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);
  while (!this->was_consistent) {
    co_await this->wanted.Wait(this->options.write_interval);
  }
  asio::co_spawn(this->context, this->TakeOver(), asio::detached);

  while (true) {
    const bool urgent = this->holder.IsWanting() || this->closed;
    const Duration interval =
        urgent ? this->options.urgent_interval : this->options.write_interval;
    const TimePoint due = this->planned_at + interval;
    const TimePoint now = Now();
    if (now < due) {
      co_await this->wanted.Wait(due - now);
      continue;
    }

    this->planned_at = now;
    std::vector<store::KeyedRecord> records = this->PlanRecords();
    this->flushed = records.empty();
    if (records.empty()) continue;
    this->written_at = now;
    co_await this->Append(std::move(records));
    // The own record counts when it was read back.
    if (urgent) this->follower.Poke();
  }
}

std::vector<store::KeyedRecord> BudgetKeeper::PlanRecords() {
  if (Now() - this->started_at >= kFleetShowsItself) {
    this->holder.SetFleetSize(this->FleetSize());
  }
  std::vector<store::KeyedRecord> records;
  records.swap(this->queued);
  for (const budget::GrantUpdate& update : this->holder.PlanWrite(Now())) {
    records.push_back(GrantRecord(this->name, update));
  }
  const bool due = Now() - this->written_at >= this->options.write_interval;
  if (records.empty() && (this->closed || !due)) return records;
  records.push_back(this->MemberRecord());
  return records;
}

asio::awaitable<void> BudgetKeeper::TakeOver() {
  if (!this->predecessor) co_return;
  const pb::FleetMember former = *this->predecessor;
  const std::string holder_name =
      former.vm() + "/" + std::to_string(former.incarnation());
  budget::VmClocks last_write;
  last_write.since_boot = Duration(former.boot_us());
  last_write.time_of_day = Duration(former.unix_us());

  const budget::ReleaseOptions& release = this->holder.Release();
  const budget::ReclaimVerdict verdict = budget::MayReclaim(
      last_write, StartClocks(), release.cut_off_after + release.release_time);
  std::optional<Duration> silence;
  if (verdict == budget::ReclaimVerdict::kYes) {
    silence = budget::SilenceByBootClock(last_write, StartClocks());
  } else if (verdict == budget::ReclaimVerdict::kAskPeers) {
    silence = co_await this->AskPeers();
  }
  this->LogTakeOver(holder_name, silence);
  if (!silence) co_return;

  co_await this->Fence(holder_name);
  for (store::KeyedRecord& record :
       this->ReclaimRecords(holder_name, *silence)) {
    this->queued.push_back(std::move(record));
  }
  this->wanted.Notify();
}

asio::awaitable<std::optional<Duration>> BudgetKeeper::AskPeers() {
  uint64_t lead = std::min(kSignsBefore, this->predecessor_offset);
  const TimePoint end = Now() + kAskPeersTime;
  while (Now() < end) {
    co_await this->granted.Wait(kAskPeersPause);
    if (!this->first_sign) continue;
    platform::TailRead read;
    read.from = this->predecessor_offset - lead;
    std::string text = platform::EncodeReadTail(this->options.store_address,
                                                platform::Stream::kFleet, read);
    const StoreReply reply = co_await this->history_client.Call(
        std::move(text), this->options.store_timeout);
    // In a small fleet the lead is longer than the store's history.
    if (reply.status == platform::kStoreExpired && lead == 0) break;
    if (reply.status == platform::kStoreExpired) lead /= 2;
    if (reply.status != platform::kStoreDone) continue;
    const auto silence = this->JudgeSigns(reply.body, read.from);
    if (silence) co_return silence;
  }
  co_return std::nullopt;
}

std::optional<Duration> BudgetKeeper::JudgeSigns(const std::string& tail_body,
                                                 uint64_t from) const {
  const auto page = platform::DecodeTail(tail_body, from);
  if (!page) return std::nullopt;
  std::vector<budget::FleetSign> signs;
  for (const store::KeyedRecord& record : page->records) {
    pb::FleetRecord content;
    if (!record.value || !content.ParseFromString(*record.value) ||
        !content.has_member()) {
      continue;
    }
    signs.push_back({.vm = content.member().vm(),
                     .offset = record.offset,
                     .time_of_day = Duration(content.member().unix_us())});
  }
  const budget::ReclaimSpan span = {
      .vm = this->options.vm,
      .last = {.vm = this->options.vm,
               .offset = this->predecessor_offset,
               .time_of_day = Duration(this->predecessor->unix_us())},
      .first = *this->first_sign};
  if (!budget::PeersConfirm(span, signs)) return std::nullopt;
  return budget::SilenceByPeers(span, signs);
}

asio::awaitable<void> BudgetKeeper::Fence(std::string holder_name) {
  platform::Writer fence;
  fence.name = std::move(holder_name);
  fence.epoch = 2;
  const std::vector<store::KeyedRecord> none;
  while (true) {
    std::string text = platform::EncodeAppend(
        this->options.store_address, platform::Stream::kFleet, fence, none);
    const StoreReply reply = co_await this->history_client.Call(
        std::move(text), this->options.store_timeout);
    if (reply.status == platform::kStoreDone ||
        reply.status == platform::kStoreConflict) {
      co_return;
    }
    co_await this->granted.Wait(kRepeatPause);
  }
}

std::vector<store::KeyedRecord> BudgetKeeper::ReclaimRecords(
    const std::string& holder_name, Duration silence) {
  std::vector<store::KeyedRecord> records;
  for (const std::string& organisation : this->table.Organisations()) {
    const budget::RecordedGrant grant =
        this->table.Of(organisation, holder_name);
    // Rounded up: what may be in use stays counted.
    const Tokens kept =
        budget::ReleasedTotal(this->holder.Release(), grant.ceiling,
                              grant.granted, silence) +
        Tokens(1);
    if (kept >= grant.granted) continue;
    budget::GrantUpdate update;
    update.organisation = organisation;
    update.grant = grant;
    update.grant.granted = kept;
    update.grant.demand = Tokens(0);
    records.push_back(GrantRecord(holder_name, update));
  }
  return records;
}

asio::awaitable<void> BudgetKeeper::Append(
    std::vector<store::KeyedRecord> records) {
  // The same sequence is repeated until the outcome is known, so that a late
  // write and its repeat count once.
  this->append_seen = false;
  this->append_begun = Now();
  this->holder.OnWriteBegun(this->append_begun);
  while (true) {
    this->append_since = Now();
    const StoreReply reply = co_await this->writer_client.Call(
        platform::EncodeAppend(this->options.store_address,
                               platform::Stream::kFleet, this->writer, records),
        this->options.store_timeout);
    if (reply.status == platform::kStoreDone || this->append_seen) {
      this->FinishAppend();
      co_return;
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->LogRefusal(reply);
      if (!expected || *expected <= this->writer.sequence) {
        // A fenced writer begins a new epoch; nothing of this call was done.
        ++this->writer.epoch;
        this->writer.sequence = 0;
        this->append_since = TimePoint();
        this->append_begun = TimePoint();
        this->holder.OnRefused();
        co_return;
      }
      // The store has this sequence and has forgotten its answer.
      this->writer.sequence = *expected - 1;
      this->FinishAppend();
      co_return;
    }
    co_await this->wanted.Wait(kRepeatPause);
    if (this->append_seen) {
      this->FinishAppend();
      co_return;
    }
  }
}

void BudgetKeeper::FinishAppend() {
  ++this->writer.sequence;
  this->append_since = TimePoint();
  this->append_begun = TimePoint();
  this->holder.OnWritten(Now());
  this->granted.Notify();
}

void BudgetKeeper::LogOwnGrant(const pb::BudgetGrant& grant, uint64_t offset) {
  const budget::GrantTable::Sums sums =
      this->table.SumsOf(grant.organisation());
  this->event_log.Write(
      "grant",
      {{"organisation", grant.organisation()},
       {"offset", static_cast<int64_t>(offset)},
       {"granted", grant.granted_tokens()},
       {"spent", grant.spent_tokens()},
       {"ceiling", grant.ceiling_tokens()},
       {"available", this->holder.Available(Now(), grant.organisation()).count},
       {"fleet_granted", sums.granted.count},
       {"fleet_spent", sums.spent.count},
       {"limit", this->holder.LimitOf(grant.organisation()).count}});
}

void BudgetKeeper::LogRefusal(const StoreReply& reply) {
  this->event_log.Write(
      "append-refused",
      {{"epoch", static_cast<int64_t>(this->writer.epoch)},
       {"sequence", static_cast<int64_t>(this->writer.sequence)},
       {"body", reply.body}});
}

store::KeyedRecord BudgetKeeper::MemberRecord() const {
  pb::FleetRecord record;
  pb::FleetMember& member = *record.mutable_member();
  member.set_vm(this->options.vm);
  member.set_incarnation(this->options.incarnation);
  const budget::VmClocks clocks = ReadVmClocks();
  member.set_boot_us(clocks.since_boot.count());
  member.set_unix_us(clocks.time_of_day.count());
  member.set_append(this->writer.sequence);
  return {.key = std::string(kMemberKey) + this->options.vm,
          .value = record.SerializeAsString()};
}

void BudgetKeeper::LogTakeOver(const std::string& holder_name,
                               std::optional<Duration> silence) {
  const pb::FleetMember& former = *this->predecessor;
  const budget::VmClocks& start = StartClocks();
  this->event_log.Write(
      "take-over",
      {{"holder", holder_name},
       {"boot_ms", (start.since_boot.count() - former.boot_us()) / 1000},
       {"day_ms", (start.time_of_day.count() - former.unix_us()) / 1000},
       {"silence_ms", silence ? silence->count() / 1000 : int64_t{-1}},
       {"verdict", silence ? "reclaim" : "keep"}});
}

store::KeyedRecord BudgetKeeper::GrantRecord(
    const std::string& holder, const budget::GrantUpdate& update) {
  pb::FleetRecord record;
  pb::BudgetGrant& grant = *record.mutable_grant();
  grant.set_organisation(update.organisation);
  grant.set_holder(holder);
  grant.set_granted_tokens(update.grant.granted.count);
  grant.set_spent_tokens(update.grant.spent.count);
  grant.set_demand_tokens_per_s(update.grant.demand.count);
  grant.set_ceiling_tokens(update.grant.ceiling.count);
  return {.key = std::string(kGrantKey) + update.organisation + "/" + holder,
          .value = record.SerializeAsString()};
}

}  // namespace fuchsiadrum::gateway
