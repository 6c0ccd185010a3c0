#include "gateway/budget_keeper.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kGrantKey = "grant/";
constexpr std::string_view kMemberKey = "member/";
/// Pause after an append whose outcome is unknown, before it is repeated.
constexpr Duration kRepeatPause = std::chrono::milliseconds(100);

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
      wanted(io_context) {}

void BudgetKeeper::Start() {
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
  const TimePoint end = Now() + patience;
  while (true) {
    const TimePoint now = Now();
    const budget::ReserveResult result =
        this->holder.Reserve(now, organisation, amount);
    if (result == budget::ReserveResult::kReserved ||
        result == budget::ReserveResult::kExhausted || now >= end ||
        this->follower.IsLost()) {
      co_return result;
    }
    this->wanted.Notify();
    co_await this->granted.Wait(end - now);
  }
}

void BudgetKeeper::Settle(const std::string& organisation, Tokens amount,
                          Tokens spent) {
  this->holder.Settle(organisation, amount, spent);
}

void BudgetKeeper::Close() {
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
    if (content.member().vm() != this->options.vm) {
      this->peers[content.member().vm()] = content.member().peer_address();
    }
    return;
  }
  if (!content.has_grant()) return;

  const pb::BudgetGrant& grant = content.grant();
  this->grant_keys[record.key] = {grant.organisation(), grant.holder()};
  this->table.Set(grant.organisation(), grant.holder(),
                  {.granted = Tokens(grant.granted_tokens()),
                   .spent = Tokens(grant.spent_tokens()),
                   .demand = Tokens(grant.demand_tokens_per_s())});
  if (grant.holder() == this->name) {
    this->holder.OnOwnRecord(Now(), grant.organisation(),
                             this->follower.IsConsistent());
    this->LogOwnGrant(grant, record.offset);
  }
}

void BudgetKeeper::OnRead() {
  const bool consistent = this->follower.IsConsistent();
  if (consistent && !this->was_consistent) this->holder.OnConsistent(Now());
  this->was_consistent = consistent;
  this->granted.Notify();
  this->wanted.Notify();
}

asio::awaitable<void> BudgetKeeper::WriteLoop() {
  // The first append creates the stream.
  std::vector<store::KeyedRecord> member(1, this->MemberRecord());
  co_await this->Append(std::move(member));
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);

  while (true) {
    std::vector<store::KeyedRecord> records;
    if (this->was_consistent) {
      for (const budget::GrantUpdate& update : this->holder.PlanWrite(Now())) {
        records.push_back(this->GrantRecord(update));
      }
    }
    this->flushed = records.empty();
    if (!records.empty()) {
      const bool urgent = this->holder.IsWanting();
      co_await this->Append(std::move(records));
      // The own record counts when it was read back.
      if (urgent) this->follower.Poke();
      continue;
    }
    co_await this->wanted.Wait(this->options.write_interval);
  }
}

asio::awaitable<void> BudgetKeeper::Append(
    std::vector<store::KeyedRecord> records) {
  // The same sequence is repeated until the outcome is known, so that a late
  // write and its repeat count once.
  while (true) {
    const StoreReply reply = co_await this->writer_client.Call(
        platform::EncodeAppend(this->options.store_address,
                               platform::Stream::kFleet, this->writer, records),
        this->options.store_timeout);
    if (reply.status == platform::kStoreDone) {
      ++this->writer.sequence;
      this->holder.OnWritten();
      co_return;
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->LogRefusal(reply);
      if (!expected || *expected <= this->writer.sequence) {
        // A fenced writer begins a new epoch; nothing of this call was done.
        ++this->writer.epoch;
        this->writer.sequence = 0;
        this->holder.OnRefused();
        co_return;
      }
      // The store has this sequence and has forgotten its answer.
      this->writer.sequence = *expected;
      this->holder.OnWritten();
      co_return;
    }
    co_await this->wanted.Wait(kRepeatPause);
  }
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
       {"available", this->holder.Available(grant.organisation()).count},
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
  member.set_peer_address(this->options.peer_address);
  member.set_availability_zone(this->options.availability_zone);
  return {.key = std::string(kMemberKey) + this->options.vm,
          .value = record.SerializeAsString()};
}

store::KeyedRecord BudgetKeeper::GrantRecord(
    const budget::GrantUpdate& update) const {
  pb::FleetRecord record;
  pb::BudgetGrant& grant = *record.mutable_grant();
  grant.set_organisation(update.organisation);
  grant.set_holder(this->name);
  grant.set_granted_tokens(update.grant.granted.count);
  grant.set_spent_tokens(update.grant.spent.count);
  grant.set_demand_tokens_per_s(update.grant.demand.count);
  return {
      .key = std::string(kGrantKey) + update.organisation + "/" + this->name,
      .value = record.SerializeAsString()};
}

}  // namespace fuchsiadrum::gateway
