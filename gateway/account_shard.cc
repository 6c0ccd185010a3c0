#include "gateway/account_shard.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kBookKey = "book";
constexpr std::string_view kGrantKey = "grant/";
/// Bytes of one read: the records of some writes that came between.
constexpr size_t kReadBytes = 4096;
constexpr Duration kReadTimeout = std::chrono::milliseconds(400);
/// Reads until the partition's last record is found; others write meanwhile.
constexpr int kMostReads = 6;
/// Tries to write within one visit; each that fails read the new book.
constexpr int kMostRounds = 8;
/// Pause before a write without an answer is repeated.
constexpr Duration kRepeatPause = std::chrono::milliseconds(50);
/// Pause after the store refused a call, and the longest one after several.
constexpr Duration kRefusedPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);
/// Age of the book above which it is read before it is changed: others will
/// have changed it, and a write that fails costs a call more than a read.
constexpr Duration kBookFresh = std::chrono::milliseconds(200);
constexpr int kTooManyCalls = 429;
/// Epoch that shuts a dead process out: above all that a process reaches by
/// itself, which begins a new one only when the store has refused its sequence.
constexpr uint64_t kFenceEpoch = 1000000;

std::string GrantKey(const std::string& organisation,
                     const std::string& holder) {
  return std::string(kGrantKey) + organisation + "/" + holder;
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
  return {.key = GrantKey(organisation, holder),
          .value = record.SerializeAsString()};
}

budget::RecordedGrant DecodeGrant(const pb::BudgetGrant& grant) {
  return {.granted = Tokens(grant.granted_tokens()),
          .spent = Tokens(grant.spent_tokens()),
          .demand = Tokens(grant.demand_tokens_per_s()),
          .ceiling = Tokens(grant.ceiling_tokens())};
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
    account.demand = Tokens(item.demand_tokens_per_s());
    account.limit = Tokens(item.limit_tokens());
    account.limit_version = item.limit_version();
  }
  return book;
}

}  // namespace

AccountShard::AccountShard(const AccountShardOptions& opts,
                           asio::io_context& context,
                           budget::GrantHolder& grant_holder, EventLog& log)
    : options(opts), holder(grant_holder), event_log(log), gate(context) {
  this->writer.name = opts.holder;
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
  if (now < this->pause_until) return false;
  if (!this->dead_grants.empty()) return true;
  return std::ranges::any_of(this->organisations, [&](const auto& name) {
    return this->holder.IsDue(now, name);
  });
}

Duration AccountShard::Unanswered(TimePoint now) const {
  return this->write_begun.us == 0 ? Duration::zero() : now - this->write_begun;
}

asio::awaitable<void> AccountShard::Visit(StoreClient& client) {
  this->busy = true;
  this->turned_away = false;
  bool is_fresh = this->end && Now() - this->book_at < kBookFresh;
  if (!is_fresh) {
    is_fresh = co_await this->ReadBook(client);
  }
  if (!is_fresh) this->Pause();
  for (int round = 0; is_fresh && round < kMostRounds; ++round) {
    const Change change = this->Plan(Now());
    if (change.records.empty()) break;

    this->write_begun = Now();
    const Outcome outcome = co_await this->Append(client, change.records);
    this->write_begun = TimePoint();
    this->Finish(change, outcome);
    if (outcome == Outcome::kDone) this->refusals = 0;
    if (outcome == Outcome::kDone) break;
    if (outcome == Outcome::kRefused) this->Pause();
    if (outcome == Outcome::kRefused) break;
    is_fresh = co_await this->ReadBook(client);
  }
  this->busy = false;
}

void AccountShard::Pause() {
  constexpr int kMaxDoublings = 6;
  const Duration pause =
      kRefusedPause * (1 << std::min(this->refusals, kMaxDoublings));
  ++this->refusals;
  this->pause_until = Now() + std::min(pause, kLongestPause);
}

AccountShard::Change AccountShard::Plan(TimePoint now) {
  Change change;
  change.book = this->book;
  for (const DeadGrant& dead : this->dead_grants) {
    change.book[dead.organisation].Replace(dead.before, dead.after);
    change.records.push_back(
        EncodeGrant(dead.organisation, dead.holder, dead.after));
  }
  change.dead.swap(this->dead_grants);
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

void AccountShard::Finish(const Change& change, Outcome outcome) {
  const TimePoint now = Now();
  if (outcome == Outcome::kDone) this->book = change.book;
  for (const budget::GrantUpdate& update : change.updates) {
    if (outcome == Outcome::kDone) {
      this->holder.OnWritten(now, update.organisation);
    } else if (outcome == Outcome::kUnknown) {
      this->holder.OnOutcomeUnknown(update.organisation);
    } else {
      this->holder.OnRefused(update.organisation);
    }
  }
  if (outcome == Outcome::kDone) {
    this->LogWritten(change);
  } else if (outcome != Outcome::kUnknown) {
    // A return that may have been done must not be done again.
    this->dead_grants.insert(this->dead_grants.end(), change.dead.begin(),
                             change.dead.end());
  }
}

asio::awaitable<AccountShard::Outcome> AccountShard::Append(
    StoreClient& client, const std::vector<store::KeyedRecord>& records) {
  const std::string text =
      platform::EncodeAppend(this->options.store_address, this->options.place,
                             this->writer, records, this->end);
  // A write without an answer may be done later, as long as its condition
  // holds: it is repeated until its outcome is known.
  bool is_doubtful = false;
  Duration timeout = this->options.first_timeout;
  while (true) {
    const StoreReply reply = co_await client.Call(text, timeout);
    if (reply.status == platform::kStoreOk) {
      const auto first = platform::DecodeAppendOffset(reply.body);
      ++this->writer.sequence;
      this->end.reset();
      if (first) this->end = *first + records.size();
      this->book_at = Now();
      co_return Outcome::kDone;
    }
    if (reply.status == platform::kStoreEndMismatch) {
      if (!is_doubtful) co_return Outcome::kMoved;
      co_return co_await this->LookFor(client, records.front());
    }
    if (reply.status == platform::kStoreConflict) {
      const auto expected = platform::DecodeExpectedSequence(reply.body);
      this->event_log.Write("grant-refused", {{"body", reply.body}});
      this->end.reset();
      if (expected && *expected > this->writer.sequence) {
        this->writer.sequence = *expected;
        co_return Outcome::kUnknown;
      }
      ++this->writer.epoch;
      this->writer.sequence = 0;
      co_return Outcome::kRefused;
    }
    if (reply.status != 0 && !is_doubtful) {
      this->event_log.Write("grant-refused",
                            {{"status", static_cast<int64_t>(reply.status)}});
      this->turned_away = reply.status == kTooManyCalls;
      co_return Outcome::kRefused;
    }
    is_doubtful = true;
    timeout = std::min(2 * timeout, this->options.longest_timeout);
    co_await this->gate.Wait(kRepeatPause);
  }
}

asio::awaitable<AccountShard::Outcome> AccountShard::LookFor(
    StoreClient& client, const store::KeyedRecord& record) {
  const uint64_t at = *this->end;
  while (true) {
    const StoreReply reply =
        co_await client.Call(this->EncodeRead(at), kReadTimeout);
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
      if (!is_own) co_return Outcome::kMoved;
      ++this->writer.sequence;
      this->end.reset();
      co_return Outcome::kDone;
    }
    co_await this->gate.Wait(kRepeatPause);
  }
}

asio::awaitable<bool> AccountShard::ReadBook(StoreClient& client) {
  uint64_t from = this->end.value_or(0);
  bool is_known = this->end.has_value();
  for (int i = 0; i < kMostReads; ++i) {
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
      // Nothing has come since; or nothing is kept of what came before.
      if (from > 0 && !is_known) {
        co_return co_await this->ReadBookFromNewest(client);
      }
      this->end = from;
      this->book_at = Now();
      co_return true;
    }
    if (page->next_offset == page->end_offset && !page->records.empty()) {
      co_return this->TakeBook(page->records.back(), page->end_offset);
    }
    from = page->end_offset - 1;
    is_known = false;
  }
  co_return false;
}

asio::awaitable<bool> AccountShard::ReadBookFromNewest(StoreClient& client) {
  const auto page = co_await ReadAllNewest(client, this->options.place,
                                           this->options.longest_timeout);
  if (!page) co_return false;
  const auto found = std::ranges::find(page->records, std::string(kBookKey),
                                       &store::KeyedRecord::key);
  // Another write came between two pages: the next visit reads it.
  if (found == page->records.end() || found->offset + 1 != page->end_offset) {
    co_return false;
  }
  co_return this->TakeBook(*found, page->end_offset);
}

bool AccountShard::TakeBook(const store::KeyedRecord& record,
                            uint64_t end_offset) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_book()) {
    this->event_log.Write(
        "bad-account-record",
        {{"key", record.key}, {"offset", static_cast<int64_t>(record.offset)}});
    return false;
  }
  this->book = DecodeBook(content.book());
  this->end = end_offset;
  this->book_at = Now();
  return true;
}

asio::awaitable<void> AccountShard::Fence(StoreClient& client,
                                          std::string dead_holder) {
  platform::Writer fence;
  fence.name = std::move(dead_holder);
  fence.epoch = kFenceEpoch;
  const std::vector<store::KeyedRecord> none;
  while (true) {
    std::string text = platform::EncodeAppend(this->options.store_address,
                                              this->options.place, fence, none);
    const StoreReply reply =
        co_await client.Call(std::move(text), this->options.longest_timeout);
    if (reply.status == platform::kStoreOk ||
        reply.status == platform::kStoreConflict) {
      co_return;
    }
    co_await this->gate.Wait(kRefusedPause);
  }
}

asio::awaitable<void> AccountShard::Reclaim(
    StoreClient& client, std::string dead_holder,
    std::vector<budget::GrantCeiling> ceilings, Duration silence) {
  co_await this->Fence(client, dead_holder);
  std::optional<store::NewestPage> page;
  while (!page) {
    page = co_await ReadAllNewest(client, this->options.place,
                                  this->options.longest_timeout);
    if (!page) {
      co_await this->gate.Wait(kRefusedPause);
    }
  }
  for (const budget::GrantCeiling& held : ceilings) {
    const auto found = std::ranges::find(
        page->records, GrantKey(held.organisation, dead_holder),
        &store::KeyedRecord::key);
    pb::FleetRecord content;
    if (found == page->records.end() || !found->value ||
        !content.ParseFromString(*found->value) || !content.has_grant()) {
      continue;
    }
    DeadGrant dead;
    dead.organisation = held.organisation;
    dead.holder = dead_holder;
    dead.before = DecodeGrant(content.grant());
    dead.after = dead.before;
    const Tokens ceiling = std::max(dead.before.ceiling, held.ceiling);
    // Rounded up: what may be in use stays counted.
    const Tokens kept =
        budget::ReleasedTotal(this->holder.GetReleaseOptions(), ceiling,
                              dead.before.granted, silence) +
        Tokens(1);
    dead.after.granted = std::min(kept, dead.before.granted);
    dead.after.demand = Tokens(0);
    this->dead_grants.push_back(std::move(dead));
  }
}

std::string AccountShard::EncodeRead(uint64_t from) const {
  return platform::EncodeReadTail(this->options.store_address,
                                  this->options.place,
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
  for (const DeadGrant& dead : change.dead) {
    this->event_log.Write("grant-reclaimed",
                          {{"organisation", dead.organisation},
                           {"holder", dead.holder},
                           {"granted", dead.before.granted.count},
                           {"kept", dead.after.granted.count}});
  }
}

}  // namespace fuchsiadrum::gateway
