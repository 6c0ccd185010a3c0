#include "gateway/store_client.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Largest answer: a page of the newest records has at most 1 MB, which base64
/// and names make half as large again; a record is smaller.
constexpr size_t kMostReplyBytes = 4194304;
/// Longest time for an answer that keeps coming, as a multiple of the time for
/// its begin: all gateways read a new configuration at once, and share the rate
/// of the store. To begin anew would make them read it twice.
constexpr int kLongestFactor = 6;

}  // namespace

asio::awaitable<StoreReply> StoreClient::Call(std::string text,
                                              Duration timeout) {
  ++this->calls;
  const TimePoint end = Now() + timeout;
  if (!this->connection || !this->connection->IsReusable()) {
    this->connection = std::make_shared<HttpConnection>(this->context);
    this->watchdog.Watch(*this->connection);
    this->connection->ExpireAt(end);
    if (!co_await this->connection->Connect(this->address)) {
      this->connection.reset();
      co_return StoreReply();
    }
  }

  const std::shared_ptr<HttpConnection> used = this->connection;
  used->ExpireAt(end);
  used->StartSend(std::move(text), nullptr);
  StoreReply reply;
  const platform::HttpAnswerHead* head = co_await used->ReadHead();
  if (head == nullptr) {
    this->connection.reset();
    co_return StoreReply();
  }
  reply.status = static_cast<int>(head->result_int());
  const TimePoint longest = end + (kLongestFactor - 1) * timeout;
  BodyReadStatus part = BodyReadStatus::kMore;
  while (part == BodyReadStatus::kMore) {
    used->ExpireAt(std::min(Now() + timeout, longest));
    part = co_await used->ReadBody(reply.body);
    if (reply.body.size() > kMostReplyBytes) part = BodyReadStatus::kBroken;
  }
  used->NeverExpire();
  if (part == BodyReadStatus::kBroken) {
    used->Close();
    this->connection.reset();
    co_return StoreReply();
  }
  co_return reply;
}

asio::awaitable<std::optional<store::NewestPage>> ReadAllNewest(
    StoreClient& client, platform::StreamPart part, Duration timeout) {
  store::NewestPage all;
  std::string after;
  while (true) {
    std::string text =
        platform::EncodeReadNewest(client.Address(), part, after);
    const StoreReply reply = co_await client.Call(std::move(text), timeout);
    if (reply.status != platform::kStoreDone) co_return std::nullopt;
    const auto page = platform::DecodeNewest(reply.body);
    if (!page) co_return std::nullopt;
    all.end_offset = page->end_offset;
    all.records.insert(all.records.end(), page->records.begin(),
                       page->records.end());
    if (!page->more || page->records.empty()) co_return all;
    after = page->records.back().key;
  }
}

}  // namespace fuchsiadrum::gateway
