#include "gateway/account_shard.h"

#include <algorithm>
#include <span>

#include "fuchsiadrum/core/whole_number.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kBookKey = "book";
constexpr std::string_view kGrantKeyPrefix = "grant/";
/// Size limit of one read: enough for the records of a few writes by other
/// gateways since the last read.
constexpr size_t kReadBytes = 4096;
constexpr Duration kReadTimeout = std::chrono::milliseconds(400);
/// Attempts to find the partition's last record, which moves while other
/// gateways write.
constexpr int kMaxReads = 6;
/// Attempts to write within one sync. The book is read again after each failed
/// attempt.
constexpr int kMaxAppendAttempts = 8;
/// Delay before an unanswered write is retried.
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
/// Delay after the store rejected a call, and its limit after several failures
/// in a row.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
/// Age above which the book is read again before it is changed: by then other
/// gateways are likely to have changed it, and a failed write costs one call
/// more than a read.
constexpr Duration kMaxBookAge = std::chrono::milliseconds(200);
constexpr int kTooManyCalls = 429;
/// Epoch used to fence off a process that has ended. It is higher than any
/// epoch that a process reaches by itself, because a process starts a new epoch
/// only when the store has rejected its sequence number.
constexpr uint64_t kFenceEpoch = 1000000;

std::string GrantKey(const std::string& organisation,
                     const std::string& holder) {
  return std::string(kGrantKeyPrefix) + organisation + "/" + holder;
}

store::KeyedRecord EncodeGrant(const std::string& organisation,
                               const std::string& holder,
                               const budget::RecordedGrant& recorded) {
  pb::FleetRecord record;
  pb::BudgetGrant& grant = *record.mutable_grant();
  grant.set_organisation(organisation);
  grant.set_holder(holder);
  grant.set_granted_tokens(recorded.granted.count);
  grant.set_spent_tokens(recorded.spent.count);
  grant.set_demand_tokens_per_s(recorded.demand.count);
  grant.set_ceiling_tokens(recorded.ceiling.count);
  grant.set_is_ceiling_final(recorded.is_ceiling_final);
  return {.key = GrantKey(organisation, holder),
          .value = record.SerializeAsString()};
}

/// A demand out of its range says nothing, and is only a hint.
Tokens DecodeDemand(int64_t tokens_per_s) {
  return Tokens(std::clamp(tokens_per_s, ranges::kBudgetTokens.min,
                           ranges::kBudgetTokens.max));
}

budget::RecordedGrant DecodeGrant(const pb::BudgetGrant& grant) {
  return {.granted = Tokens(grant.granted_tokens()),
          .spent = Tokens(grant.spent_tokens()),
          .demand = DecodeDemand(grant.demand_tokens_per_s()),
          .ceiling = Tokens(grant.ceiling_tokens()),
          .is_ceiling_final = grant.is_ceiling_final()};
}

bool IsInRange(const pb::BudgetGrant& grant) {
  const WholeRange& range = ranges::kBudgetTokens;
  return range.Contains(grant.granted_tokens()) &&
         range.Contains(grant.spent_tokens()) &&
         range.Contains(grant.ceiling_tokens());
}

bool IsInRange(const pb::AccountBook& content) {
  const WholeRange& range = ranges::kFleetTokens;
  return std::ranges::all_of(
      content.accounts(), [&](const pb::FleetAccount& item) {
        return range.Contains(item.granted_tokens()) &&
               range.Contains(item.spent_tokens()) &&
               ranges::kBudgetTokens.Contains(item.limit_tokens());
      });
}

store::KeyedRecord EncodeBook(const budget::AccountBook& book) {
  pb::FleetRecord record;
  pb::AccountBook& content = *record.mutable_book();
  for (const auto& [name, account] : book) {
    pb::FleetAccount& item = *content.add_accounts();
    item.set_organisation(name);
    item.set_granted_tokens(account.granted.count);
    item.set_spent_tokens(account.spent.count);
    item.set_demand_tokens_per_s(account.demand.count);
    item.set_limit_tokens(account.limit.count);
    item.set_limit_version(account.limit_version);
  }
  return {.key = std::string(kBookKey), .value = record.SerializeAsString()};
}

budget::AccountBook DecodeBook(const pb::AccountBook& content) {
  budget::AccountBook book;
  for (const pb::FleetAccount& item : content.accounts()) {
    budget::FleetAccount& account = book[item.organisation()];
    account.granted = Tokens(item.granted_tokens());
    account.spent = Tokens(item.spent_tokens());
    account.demand = DecodeDemand(item.demand_tokens_per_s());
    account.limit = Tokens(item.limit_tokens());
    account.limit_version = item.limit_version();
  }
  return book;
}

/// The grant in the record; nullopt if it holds none, or numbers that no
/// gateway writes.
std::optional<pb::BudgetGrant> GrantIn(const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_grant() || !IsInRange(content.grant())) {
    return std::nullopt;
  }
  return content.grant();
}

/// The last grant of the holder among the records; nullopt if there is none.
std::optional<budget::RecordedGrant> FindGrant(
    std::span<const store::KeyedRecord> records,
    const std::string& organisation, const std::string& holder) {
  const std::string key = GrantKey(organisation, holder);
  for (size_t i = records.size(); i-- > 0;) {
    if (records[i].key != key) continue;
    const auto grant = GrantIn(records[i]);
    if (!grant) return std::nullopt;
    return DecodeGrant(*grant);
  }
  return std::nullopt;
}

budget::EndedGrants::Find FindAmong(
    std::span<const store::KeyedRecord> records) {
  return [records](const std::string& organisation, const std::string& holder) {
    return FindGrant(records, organisation, holder);
  };
}

/// Grants with a final ceiling of other processes than `holder` on its VM.
std::vector<budget::EndedGrant> FindUnannounced(
    std::span<const store::KeyedRecord> records, std::string_view holder) {
  const std::string_view vm = holder.substr(0, holder.rfind('/') + 1);
  std::vector<budget::EndedGrant> found;
  for (const store::KeyedRecord& record : records) {
    const auto grant = GrantIn(record);
    if (!grant || !grant->is_ceiling_final() || grant->holder() == holder ||
        !grant->holder().starts_with(vm)) {
      continue;
    }
    found.push_back(
        {.organisation = grant->organisation(), .holder = grant->holder()});
  }
  return found;
}

/// Sums of the grants on the page, by organisation.
budget::AccountBook SumGrants(const store::NewestPage& page) {
  budget::AccountBook sums;
  for (const store::KeyedRecord& record : page.records) {
    const auto grant = GrantIn(record);
    if (!grant) continue;
    sums[grant->organisation()].Replace(budget::RecordedGrant(),
                                        DecodeGrant(*grant));
  }
  return sums;
}

}  // namespace

AccountShard::AccountShard(const AccountShardOptions& opts,
                           asio::io_context& context,
                           budget::GrantHolder& grant_holder, EventLog& log)
    : options(opts),
      holder(grant_holder),
      event_log(log),
      timer(context),
      ended(grant_holder.GetReleaseOptions()) {
  this->writer.name = opts.holder;
  this->generation = opts.store->era.Generation();
}

void AccountShard::Add(const std::string& organisation) {
  if (std::ranges::find(this->organisations, organisation) ==
      this->organisations.end()) {
    this->organisations.push_back(organisation);
  }
}

bool AccountShard::IsUrgent() const {
  return std::ranges::any_of(this->organisations, [&](const auto& name) {
    return this->holder.HasUnmetRequest(name);
  });
}

bool AccountShard::IsDue(TimePoint now) {
  if (now < this->backoff_until) return false;
  if (this->IsOfEarlierEra() || this->are_grants_lost) return true;
  if (this->IsSettling()) return true;
  return std::ranges::any_of(this->organisations, [&](const auto& name) {
    return this->holder.IsDue(now, name);
  });
}

Duration AccountShard::PendingWriteAge(TimePoint now) const {
  return this->write_begun.us == 0 ? Duration::zero() : now - this->write_begun;
}

asio::awaitable<void> AccountShard::Sync(StoreClient& client) {
  this->busy = true;
  this->rate_limited = false;
  const uint64_t calls_before = client.Calls() - this->calls.appends;
  if (this->IsOfEarlierEra()) this->BeginEra();
  bool is_fresh = this->end && Now() - this->book_at < kMaxBookAge;
  if (!is_fresh) {
    is_fresh = co_await this->ReadBook(client);
  }
  if (is_fresh && this->are_grants_lost) {
    is_fresh = co_await this->RestoreGrants(client);
  }
  if (!is_fresh) this->BackOff();
  for (int attempt = 0; is_fresh && attempt < kMaxAppendAttempts; ++attempt) {
    co_await this->ReadEndedGrants(client);
    if (!this->end) break;
    const Change change = this->PlanChange(Now());
    if (change.records.empty()) {
      if (this->IsSettling()) this->BackOff();
      break;
    }

    this->write_begun = Now();
    const Outcome outcome = co_await this->Append(client, change.records);
    this->write_begun = TimePoint();
    this->OnOutcome(change, outcome);
    if (outcome == Outcome::kDone) this->failures = 0;
    if (outcome == Outcome::kDone) break;
    if (outcome == Outcome::kRefused) this->BackOff();
    if (outcome == Outcome::kRefused) break;
    if (outcome == Outcome::kEndMoved) ++this->calls.lost_races;
    is_fresh = co_await this->ReadBook(client);
  }
  this->calls.reads += client.Calls() - this->calls.appends - calls_before;
  this->busy = false;
}

void AccountShard::BackOff() {
  constexpr int kMaxDoublings = 6;
  const Duration backoff =
      kInitialBackoff * (1 << std::min(this->failures, kMaxDoublings));
  ++this->failures;
  this->backoff_until = Now() + std::min(backoff, kMaxBackoff);
}

void AccountShard::BeginEra() {
  this->generation = this->options.store->era.Generation();
  this->end.reset();
  // The restored store may expect an earlier sequence number.
  ++this->writer.epoch;
  this->writer.sequence = 0;
  this->ended.OnNewEra();
  this->are_grants_lost = true;
}

asio::awaitable<bool> AccountShard::RestoreGrants(StoreClient& client) {
  const auto page = co_await ReadAllNewest(client, this->options.partition,
                                           this->options.max_timeout);
  // Only if nothing was written between the two reads, the page has the grants
  // of which the book is the sum.
  if (!page || this->end != page->end_offset || this->IsOfEarlierEra()) {
    co_return false;
  }
  // An append of the earlier era may have been applied to the restored store,
  // with a book that does not fit its grants.
  Change change;
  change.book = this->book;
  const budget::AccountBook sums = SumGrants(*page);
  bool differs = false;
  for (const std::string& name : this->organisations) {
    budget::FleetAccount& account = change.book[name];
    const auto sum = sums.find(name);
    const budget::FleetAccount stored_sum =
        sum == sums.end() ? budget::FleetAccount() : sum->second;
    if (account.granted != stored_sum.granted) differs = true;
    account.granted = stored_sum.granted;
    account.spent = stored_sum.spent;
    account.demand = stored_sum.demand;
    const budget::RecordedGrant stored =
        FindGrant(page->records, name, this->options.holder)
            .value_or(budget::RecordedGrant());
    const auto update = this->holder.PlanRestore(name, stored, account);
    if (!update) continue;
    account = update->account;
    change.records.push_back(
        EncodeGrant(name, this->options.holder, update->grant));
    change.updates.push_back(*update);
  }
  if (change.updates.empty() && !differs) {
    this->are_grants_lost = false;
    co_return true;
  }
  change.records.push_back(EncodeBook(change.book));
  this->write_begun = Now();
  const Outcome outcome = co_await this->Append(client, change.records);
  this->write_begun = TimePoint();
  this->OnOutcome(change, outcome);
  if (outcome != Outcome::kDone) {
    // The partition may have moved on; the grants are compared again.
    this->end.reset();
    co_return false;
  }
  this->are_grants_lost = false;
  this->event_log.Write(
      "grants-restored",
      {{"topic", static_cast<int64_t>(this->options.partition.topic)},
       {"part", static_cast<int64_t>(this->options.partition.part)},
       {"grants", static_cast<int64_t>(change.updates.size())}});
  co_return true;
}

AccountShard::Change AccountShard::PlanChange(TimePoint now) {
  Change change;
  change.book = this->book;
  if (this->ended.IsKnownAt(*this->end)) {
    change.settlements = this->ended.Plan();
  }
  for (const budget::GrantSettlement& planned : change.settlements) {
    change.book[planned.organisation].Replace(planned.before, planned.after);
    change.records.push_back(
        EncodeGrant(planned.organisation, planned.holder, planned.after));
  }
  for (const std::string& name : this->organisations) {
    const auto update = this->holder.PlanWrite(now, name, change.book[name]);
    if (!update) continue;
    change.book[name] = update->account;
    change.records.push_back(
        EncodeGrant(name, this->options.holder, update->grant));
    change.updates.push_back(*update);
  }
  if (!change.records.empty()) {
    change.records.push_back(EncodeBook(change.book));
  }
  return change;
}

void AccountShard::OnOutcome(const Change& change, Outcome outcome) {
  const TimePoint now = Now();
  if (outcome == Outcome::kDone) {
    this->book = change.book;
    if (this->end) {
      this->ended.OnWritten(*this->end - change.records.size(), *this->end,
                            change.settlements);
    }
  }
  for (const budget::GrantUpdate& update : change.updates) {
    if (outcome == Outcome::kDone) {
      this->holder.OnWritten(now, update.organisation);
    } else if (outcome == Outcome::kUnknown) {
      this->holder.OnOutcomeUnknown(update.organisation);
    } else {
      this->holder.OnRefused(update.organisation);
    }
  }
  if (outcome == Outcome::kDone) this->LogWritten(change);
}

asio::awaitable<void> AccountShard::ReadEndedGrants(StoreClient& client) {
  const bool is_known =
      !this->seeks_unannounced && this->ended.IsKnownAt(*this->end);
  if (!this->IsSettling() || is_known) co_return;
  const auto page = co_await ReadAllNewest(client, this->options.partition,
                                           this->options.max_timeout);
  if (!page || this->IsOfEarlierEra()) {
    this->BackOff();
    co_return;
  }
  // The pages are no snapshot, and may be newer than the book. With all records
  // from the book's end on, which the next read of the book returns, they are
  // the grants as of that read.
  const auto find = FindAmong(page->records);
  this->ended.OnRead(*this->end, find);
  // A process that has written no heartbeat is not known by one.
  const std::vector<budget::EndedGrant> unannounced =
      FindUnannounced(page->records, this->options.holder);
  for (const budget::EndedGrant& grant : unannounced) {
    if (this->ended.Knows(grant)) continue;
    co_await this->Fence(client, grant.holder);
    if (this->IsOfEarlierEra()) co_return;
    this->ended.Add(grant);
  }
  this->seeks_unannounced = false;
  if (page->end_offset != *this->end) {
    static_cast<void>(co_await this->ReadBook(client));
  }
}

asio::awaitable<AccountShard::Outcome> AccountShard::Append(
    StoreClient& client, const std::vector<store::KeyedRecord>& records) {
  const std::string text = platform::EncodeAppend(
      this->options.store->address, this->options.partition, this->writer,
      records, this->end);
  // The store may still apply an unanswered write later, while the partition's
  // end is as expected, so the write is retried until its outcome is known.
  bool is_outcome_unknown = false;
  Duration timeout = this->options.initial_timeout;
  int unproven = 0;
  while (true) {
    ++this->calls.appends;
    StoreReply reply = co_await client.Call(text, timeout);
    // Neither the copy before nor the present one tells whether it was applied.
    if (this->IsOfEarlierEra()) co_return Outcome::kUnknown;
    if (!this->IsAnswerToAppend(reply)) {
      client.DropUnproven(reply, this->event_log);
      reply = StoreReply();
      if (++unproven >= kMaxUnprovenAnswers) {
        // A new epoch excludes that this append is applied later.
        this->end.reset();
        ++this->writer.epoch;
        this->writer.sequence = 0;
        co_return Outcome::kUnknown;
      }
    }
    if (reply.status == platform::kStoreOk) {
      ++this->writer.sequence;
      *this->end += records.size();
      this->book_at = Now();
      co_return Outcome::kDone;
    }
    if (reply.status == platform::kStoreEndMismatch) {
      if (!is_outcome_unknown) co_return Outcome::kEndMoved;
      co_return co_await this->ResolveOutcome(client, records.front());
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->event_log.Write("grant-write-rejected", {{"body", reply.body}});
      this->end.reset();
      if (expected && *expected > this->writer.sequence) {
        this->writer.sequence = *expected;
        co_return Outcome::kUnknown;
      }
      ++this->writer.epoch;
      this->writer.sequence = 0;
      co_return Outcome::kRefused;
    }
    if (reply.status != 0 && !is_outcome_unknown) {
      this->event_log.Write("grant-write-rejected",
                            {{"status", static_cast<int64_t>(reply.status)}});
      this->rate_limited = reply.status == kTooManyCalls;
      co_return Outcome::kRefused;
    }
    is_outcome_unknown = true;
    timeout = std::min(2 * timeout, this->options.max_timeout);
    co_await this->timer.Wait(kRetryInterval);
  }
}

bool AccountShard::IsAnswerToAppend(const StoreReply& reply) const {
  if (reply.status == platform::kStoreOk) {
    return this->end && platform::DecodeAppendOffset(reply.body) == this->end;
  }
  if (reply.status == platform::kStoreEndMismatch) {
    // A partition never becomes shorter.
    const auto end_offset = platform::DecodeEndOffset(reply.body);
    return end_offset && *end_offset > *this->end;
  }
  return reply.status == 0 || platform::SettlesAppend(reply.status);
}

asio::awaitable<AccountShard::Outcome> AccountShard::ResolveOutcome(
    StoreClient& client, const store::KeyedRecord& record) {
  const uint64_t at = *this->end;
  while (true) {
    const StoreReply reply =
        co_await client.Call(this->EncodeRead(at), kReadTimeout);
    if (this->IsOfEarlierEra()) co_return Outcome::kUnknown;
    if (reply.status == platform::kStoreOffsetExpired) {
      this->event_log.Write("grant-outcome-unknown",
                            {{"offset", static_cast<int64_t>(at)}});
      this->end.reset();
      ++this->writer.epoch;
      this->writer.sequence = 0;
      co_return Outcome::kUnknown;
    }
    const auto page = reply.status == platform::kStoreOk
                          ? platform::DecodeTail(reply.body, at)
                          : std::nullopt;
    if (page && !page->records.empty()) {
      const store::KeyedRecord& found = page->records.front();
      const bool is_own =
          found.key == record.key && found.value == record.value;
      if (!is_own) co_return Outcome::kEndMoved;
      ++this->writer.sequence;
      this->end.reset();
      co_return Outcome::kDone;
    }
    co_await this->timer.Wait(kRetryInterval);
  }
}

asio::awaitable<bool> AccountShard::ReadBook(StoreClient& client) {
  uint64_t from = this->end.value_or(0);
  bool is_known = this->end.has_value();
  for (int i = 0; i < kMaxReads; ++i) {
    const StoreReply reply =
        co_await client.Call(this->EncodeRead(from), kReadTimeout);
    if (reply.status == platform::kStoreOffsetExpired) {
      const auto first = platform::DecodeFirstRetained(reply.body);
      if (!first || *first <= from) co_return false;
      from = *first;
      is_known = false;
      continue;
    }
    if (reply.status != platform::kStoreOk) co_return false;
    const auto page = platform::DecodeTail(reply.body, from);
    if (!page) co_return false;
    if (page->end_offset == from) {
      // Either nothing was appended since the last read, or the store no longer
      // retains the records before the partition's end.
      if (from > 0 && !is_known) {
        co_return co_await this->ReadBookFromNewest(client);
      }
      this->end = from;
      this->book_at = Now();
      co_return true;
    }
    if (page->next_offset == page->end_offset && !page->records.empty()) {
      const std::optional<budget::AccountBook> last = this->LastBook(*page);
      if (!last) {
        co_return co_await this->ReadBookFromNewest(client);
      }
      if (is_known) {
        const auto find = FindAmong(page->records);
        this->ended.OnReadTail(from, page->end_offset, find);
      }
      this->SetBook(*last, page->end_offset);
      co_return true;
    }
    from = page->end_offset - 1;
    is_known = false;
  }
  co_return false;
}

asio::awaitable<bool> AccountShard::ReadBookFromNewest(StoreClient& client) {
  const auto page = co_await ReadAllNewest(client, this->options.partition,
                                           this->options.max_timeout);
  if (!page) co_return false;
  const auto found = std::ranges::find(page->records, std::string(kBookKey),
                                       &store::KeyedRecord::key);
  if (found == page->records.end()) co_return false;
  const std::optional<budget::AccountBook> newest =
      this->ReadBookRecord(*found);
  if (!newest) co_return false;
  if (found->offset + 1 == page->end_offset) {
    this->SetBook(*newest, page->end_offset);
    co_return true;
  }

  // Other records follow the book. Only if they are read up to the partition's
  // end is it known that no later book is among them.
  const uint64_t from = found->offset + 1;
  const StoreReply reply =
      co_await client.Call(this->EncodeRead(from), kReadTimeout);
  if (reply.status != platform::kStoreOk) co_return false;
  const auto tail = platform::DecodeTail(reply.body, from);
  if (!tail || tail->next_offset != tail->end_offset) co_return false;
  const std::optional<budget::AccountBook> later = this->LastBook(*tail);
  this->SetBook(later ? *later : *newest, tail->end_offset);
  co_return true;
}

std::optional<budget::AccountBook> AccountShard::LastBook(
    const store::TailPage& page) {
  for (size_t i = page.records.size(); i-- > 0;) {
    if (auto found = this->ReadBookRecord(page.records[i])) return found;
  }
  return std::nullopt;
}

std::optional<budget::AccountBook> AccountShard::ReadBookRecord(
    const store::KeyedRecord& record) {
  if (record.key.starts_with(kGrantKeyPrefix)) return std::nullopt;
  pb::FleetRecord content;
  if (record.key != kBookKey || !record.value ||
      !content.ParseFromString(*record.value) || !content.has_book() ||
      !IsInRange(content.book())) {
    this->event_log.Write(
        "bad-account-record",
        {{"key", record.key}, {"offset", static_cast<int64_t>(record.offset)}});
    return std::nullopt;
  }
  return DecodeBook(content.book());
}

void AccountShard::SetBook(const budget::AccountBook& current,
                           uint64_t end_offset) {
  this->book = current;
  this->end = end_offset;
  this->book_at = Now();
}

asio::awaitable<void> AccountShard::Fence(StoreClient& client,
                                          std::string dead_holder) {
  platform::Writer fence;
  fence.name = std::move(dead_holder);
  fence.epoch = kFenceEpoch;
  const std::vector<store::KeyedRecord> none;
  while (true) {
    std::string text = platform::EncodeAppend(
        this->options.store->address, this->options.partition, fence, none);
    const StoreReply reply =
        co_await client.Call(std::move(text), this->options.max_timeout);
    if (reply.status == platform::kStoreOk ||
        reply.status == platform::kStoreConflict) {
      co_return;
    }
    co_await this->timer.Wait(kInitialBackoff);
  }
}

asio::awaitable<void> AccountShard::Settle(
    StoreClient& client, std::vector<budget::EndedGrant> grants) {
  const uint64_t begun = this->options.store->era.Generation();
  co_await this->Fence(client, grants.front().holder);
  // The last grants of the holder may be lost, so that all of it stays counted.
  if (begun != this->options.store->era.Generation()) co_return;
  for (const budget::EndedGrant& grant : grants) this->ended.Add(grant);
  this->SettleUnannounced();
}

std::string AccountShard::EncodeRead(uint64_t from) const {
  return platform::EncodeReadTail(this->options.store->address,
                                  this->options.partition,
                                  {.from = from, .max_bytes = kReadBytes});
}

void AccountShard::LogWritten(const Change& change) {
  const TimePoint now = Now();
  const auto offset = static_cast<int64_t>(this->end.value_or(0));
  for (const budget::GrantUpdate& update : change.updates) {
    const std::string& name = update.organisation;
    this->event_log.Write(
        "grant", {{"organisation", name},
                  {"end", offset},
                  {"granted", update.grant.granted.count},
                  {"spent", update.grant.spent.count},
                  {"ceiling", update.grant.ceiling.count},
                  {"available", this->holder.Available(now, name).count},
                  {"fleet_granted", update.account.granted.count},
                  {"fleet_spent", update.account.spent.count},
                  {"limit", update.account.limit.count}});
  }
  for (const budget::GrantSettlement& settlement : change.settlements) {
    this->event_log.Write("grant-reclaimed",
                          {{"organisation", settlement.organisation},
                           {"holder", settlement.holder},
                           {"granted", settlement.before.granted.count},
                           {"kept", settlement.after.granted.count}});
  }
}

}  // namespace fuchsiadrum::gateway
