#include "gateway/token_call_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr platform::StreamPartition kPartition = {
    .stream = platform::Stream::kTokenCalls};
constexpr std::string_view kKeyPrefix = "call/";
/// Interval at which the writer looks for calls that it was not notified of.
constexpr Duration kIdleInterval = std::chrono::seconds(1);

std::vector<store::KeyedRecord> EncodeCalls(
    const std::map<std::string, Tokens>& calls, const std::string& holder) {
  const int64_t unix_us = ReadVmClocks().time_of_day.count();
  std::vector<store::KeyedRecord> records;
  records.reserve(calls.size());
  for (const auto& [organisation, amount] : calls) {
    pb::FleetRecord record;
    pb::TokenCall& call = *record.mutable_token_call();
    call.set_organisation(organisation);
    call.set_holder(holder);
    call.set_amount_tokens(amount.count);
    call.set_unix_us(unix_us);
    records.push_back({.key = std::string(kKeyPrefix) + organisation,
                       .value = record.SerializeAsString()});
  }
  return records;
}

}  // namespace

TokenCallClient::TokenCallClient(const TokenCallClientOptions& opts,
                                 asio::io_context& io_context,
                                 Watchdog& watchdog, EventLog& log,
                                 budget::GrantHolder& grant_holder,
                                 std::function<void()> on_new_call)
    : options(opts),
      context(io_context),
      event_log(log),
      holder(grant_holder),
      on_call(std::move(on_new_call)),
      follower({.stream = platform::Stream::kTokenCalls,
                .long_poll_wait = opts.long_poll_wait,
                .interval = opts.min_read_interval,
                .skip_to_newest_after_failure = true,
                .timeout = opts.store_timeout},
               {.on_change = [this](const auto& r) { this->OnRecord(r); },
                .on_read = [] {},
                .on_recovered = [] {}},
               io_context, watchdog, log, opts.store_address),
      writer(io_context, watchdog, opts.store_address),
      write_due(io_context),
      rng(Hash64(opts.holder)) {}

void TokenCallClient::Start() {
  asio::co_spawn(this->context, this->follower.Run(), asio::detached);
  asio::co_spawn(this->context, this->WriteLoop(), asio::detached);
}

void TokenCallClient::SetFleetSize(size_t size) {
  this->follower.SetInterval(std::clamp(
      this->options.read_interval_per_vm * static_cast<int64_t>(size),
      this->options.min_read_interval, this->options.max_read_interval));
}

void TokenCallClient::Announce(const std::string& organisation, Tokens amount) {
  if (this->pending.size() >= this->options.max_pending) return;
  this->pending[organisation] = amount;
  this->event_log.Write(
      "token-call", {{"organisation", organisation}, {"amount", amount.count}});
  this->write_due.Notify();
}

asio::awaitable<void> TokenCallClient::WriteLoop() {
  while (true) {
    if (this->pending.empty()) {
      co_await this->write_due.Wait(kIdleInterval);
      continue;
    }
    std::string text = platform::EncodeAppend(
        this->options.store_address, kPartition, platform::Writer(),
        EncodeCalls(this->pending, this->options.holder));
    this->pending.clear();
    const StoreReply reply = co_await this->writer.Call(
        std::move(text), this->options.store_timeout);
    // A call that fails is not repeated, so that its connection must not keep
    // the answer for the next one.
    if (reply.status != platform::kStoreOk) this->writer.Disconnect();
  }
}

void TokenCallClient::OnRecord(const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value) return;
  if (!content.ParseFromString(*record.value) || !content.has_token_call()) {
    this->event_log.Write("bad-token-call", {{"key", record.key}});
    return;
  }
  const pb::TokenCall& call = content.token_call();
  const Duration age = ReadVmClocks().time_of_day - Duration(call.unix_us());
  const bool is_own = call.holder() == this->options.holder;
  if (is_own || std::chrono::abs(age) > this->options.max_call_age ||
      call.amount_tokens() <= 0) {
    return;
  }
  this->holder.OnCall(Now(), call.organisation(), Tokens(call.amount_tokens()),
                      this->rng.Unit());
  this->on_call();
}

}  // namespace fuchsiadrum::gateway
