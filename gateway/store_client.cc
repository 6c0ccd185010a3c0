#include "gateway/store_client.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Size limit of an answer. A page of newest records has at most 1 MB, which
/// base64 and the field names enlarge by half; a single record is smaller.
constexpr size_t kMaxReplyBytes = 4194304;
/// Time limit for a whole answer whose parts keep arriving, as a multiple of
/// the timeout for its start. It is generous because all gateways read a new
/// configuration at once and share the store's rate; if a gateway gave up and
/// started over, it would read the configuration twice.
constexpr int kMaxTimeoutFactor = 6;

}  // namespace

asio::awaitable<StoreReply> StoreClient::Call(std::string text,
                                              Duration timeout) {
  ++this->calls;
  const uint64_t generation = this->endpoint.era.Generation();
  const TimePoint deadline = Now() + timeout;
  if (!this->connection || !this->connection->IsReusable()) {
    this->connection = std::make_shared<HttpConnection>(this->context);
    this->watchdog.Watch(*this->connection);
    this->connection->ExpireAt(deadline);
    if (!co_await this->connection->Connect(this->endpoint.address)) {
      this->connection.reset();
      co_return StoreReply();
    }
  }

  const std::shared_ptr<HttpConnection> used = this->connection;
  used->ExpireAt(deadline);
  used->StartSend(std::move(text), nullptr);
  StoreReply reply;
  const platform::HttpAnswerHead* head = co_await used->ReadHead();
  if (head == nullptr) {
    this->connection.reset();
    reply.fault = used->Fault();
    co_return reply;
  }
  reply.status = static_cast<int>(head->result_int());
  const std::optional<uint64_t> era = platform::DecodeEra(*head);
  const TimePoint max_deadline = deadline + (kMaxTimeoutFactor - 1) * timeout;
  BodyReadStatus body_status = BodyReadStatus::kMore;
  while (body_status == BodyReadStatus::kMore) {
    used->ExpireAt(std::min(Now() + timeout, max_deadline));
    body_status = co_await used->ReadBody(reply.body);
    if (reply.body.size() > kMaxReplyBytes) {
      body_status = BodyReadStatus::kBroken;
    }
  }
  used->NeverExpire();
  if (body_status == BodyReadStatus::kBroken) {
    used->Close();
    this->connection.reset();
    StoreReply broken;
    broken.fault = used->Fault();
    co_return broken;
  }
  // Only an answer of the copy for which the call was made answers it.
  const store::EraVerdict verdict =
      this->endpoint.era.OnAnswer(era, generation);
  if (verdict != store::EraVerdict::kCurrent) co_return StoreReply();
  co_return reply;
}

void StoreClient::Disconnect() {
  if (this->connection) this->connection->Close();
  this->connection.reset();
}

void StoreClient::DropUnproven(const StoreReply& reply, EventLog& log) {
  // A body may have megabytes.
  constexpr size_t kMaxLoggedBytes = 200;
  const std::string_view body = reply.body;
  log.Write("store-answer-unproven",
            {{"status", int64_t{reply.status}},
             {"body", body.substr(0, kMaxLoggedBytes)}});
  this->Disconnect();
}

asio::awaitable<std::optional<store::NewestPage>> ReadAllNewest(
    StoreClient& client, platform::StreamPartition partition,
    Duration timeout) {
  store::NewestPage all;
  std::string after_key;
  while (true) {
    std::string text =
        platform::EncodeReadNewest(client.Address(), partition, after_key);
    const StoreReply reply = co_await client.Call(std::move(text), timeout);
    if (reply.status != platform::kStoreOk) co_return std::nullopt;
    const auto page = platform::DecodeNewest(reply.body);
    if (!page) co_return std::nullopt;
    all.end_offset = page->end_offset;
    all.records.insert(all.records.end(), page->records.begin(),
                       page->records.end());
    if (!page->more) co_return all;
    after_key = page->records.back().key;
  }
}

}  // namespace fuchsiadrum::gateway
