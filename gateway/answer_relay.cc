#include "gateway/answer_relay.h"

#include <array>
#include <cstdio>

#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {
namespace {

void AppendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  out.append(size.data()).append(bytes).append("\r\n");
}

}  // namespace

std::string AnswerRelay::MakeHead(const serving::UpstreamAnswer& answer) {
  // The caller is told no more about the end of the answer than the upstream
  // has told.
  if (answer.framing == serving::AnswerFraming::kConnection) {
    this->EndWithConnection();
  }
  std::string head = platform::EncodeAnswerHead(answer);
  if (this->caller.AnnounceClose()) head += "Connection: close\r\n";
  return head;
}

void AnswerRelay::EndWithConnection() {
  this->ends_with_connection = true;
  this->caller.EndAnswerWithConnection();
}

asio::awaitable<bool> AnswerRelay::RelayEvents(
    const serving::UpstreamAnswer& answer, std::string_view events, bool last) {
  std::string out;
  if (!this->begun) {
    if (!this->caller.TakesChunks()) this->EndWithConnection();
    out = this->MakeHead(answer);
    if (!this->ends_with_connection) out += "Transfer-Encoding: chunked\r\n";
    out += "\r\n";
    this->begun = true;
  }
  if (this->ends_with_connection) {
    out += events;
  } else {
    if (!events.empty()) AppendChunk(out, events);
    if (last) out += "0\r\n\r\n";
  }
  co_return co_await this->caller.Write(out);
}

asio::awaitable<bool> AnswerRelay::RelayWhole(
    const serving::UpstreamAnswer& answer, std::string_view body) {
  std::string out = this->MakeHead(answer);
  if (!this->ends_with_connection) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  out += "\r\n";
  // The body may be large and its caller slow, so that it is not copied.
  co_return co_await this->caller.Write(out, body);
}

asio::awaitable<bool> AnswerRelay::SendGatewayAnswer(
    int status, const std::string& request_id,
    std::optional<Duration> retry_after) {
  const std::string out = platform::EncodeGatewayAnswer(
      status, request_id, retry_after, this->caller.AnnounceClose());
  co_return co_await this->caller.Write(out);
}

}  // namespace fuchsiadrum::gateway
