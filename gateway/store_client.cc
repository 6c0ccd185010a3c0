#include "gateway/store_client.h"

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

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
  BodyPart part = BodyPart::kMore;
  while (part == BodyPart::kMore) {
    part = co_await used->ReadBody(reply.body);
  }
  used->NeverExpire();
  if (part == BodyPart::kBroken) {
    this->connection.reset();
    co_return StoreReply();
  }
  co_return reply;
}

void StoreClient::Abandon() {
  if (this->connection) this->connection->Close();
}

}  // namespace fuchsiadrum::gateway
