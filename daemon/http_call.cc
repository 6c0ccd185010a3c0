#include "daemon/http_call.h"

#include <utility>

namespace fuchsiadrum::daemon {

HttpCall::HttpCall(std::shared_ptr<HttpClientConnection> open_connection,
                   const HttpCallLimits& call_limits, OnAnswer new_handler)
    : connection(std::move(open_connection)),
      limits(call_limits),
      handler(std::move(new_handler)) {}

void HttpCall::StartNew(const std::string& address, std::string request) {
  this->connection->Connect(
      address, this->limits.connect_timeout,
      [self = this->shared_from_this(),
       text = std::move(request)](ErrorCode error) mutable {
        if (error) return self->End(error);
        self->Start(std::move(text));
      });
}

void HttpCall::Start(std::string request) {
  this->connection->Send(
      std::move(request), this->limits.head_timeout,
      [self = this->shared_from_this()](ErrorCode error, size_t sent) {
        self->answer.sent = sent > 0;
        if (error) return self->End(error);
        self->ReadHead();
      });
}

void HttpCall::ReadHead() {
  this->connection->ReadHead(
      this->limits.head_timeout,
      [self = this->shared_from_this()](ErrorCode error, const HttpHead& head) {
        if (error) return self->End(error);
        self->answer.head = head;
        self->ReadBody();
      });
}

void HttpCall::ReadBody() {
  this->connection->ReadSome(
      this->limits.idle_timeout,
      [self = this->shared_from_this()](ErrorCode error, std::string_view piece,
                                        bool last) {
        if (error) return self->End(error);
        self->answer.body.append(piece);
        if (self->answer.body.size() > self->limits.max_body_bytes) {
          return self->End(asio::error::message_size);
        }
        if (!last) return self->ReadBody();
        self->answer.whole = serving::IsFramed(self->answer.head.framing);
        self->End({});
      });
}

void HttpCall::End(ErrorCode error) {
  this->answer.error = error;
  if (error || !this->answer.whole) this->connection->Close();
  if (!this->handler) return;
  const OnAnswer ended = std::exchange(this->handler, nullptr);
  ended(std::move(this->answer));
}

void HttpCall::Cancel() {
  this->handler = nullptr;
  this->connection->Close();
}

}  // namespace fuchsiadrum::daemon
