#include "ctl/command.h"

#include <openssl/rand.h>

#include <array>
#include <chrono>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::ctl {

AdminClient Command::Client() const {
  return AdminClient(
      {.address = this->globals.address,
       .timeout = std::chrono::milliseconds(this->globals.timeout_ms)});
}

std::optional<nlohmann::json> Command::Fetch(const std::string& target,
                                             ExitCode& failure) const {
  AdminClient client = this->Client();
  return this->Check(client.Get(target), client, failure);
}

std::optional<nlohmann::json> Command::Send(const std::string& target,
                                            const nlohmann::json& body,
                                            ExitCode& failure) const {
  AdminClient client = this->Client();
  return this->Check(client.Post(target, body), client, failure);
}

std::optional<nlohmann::json> Command::Check(
    const std::optional<AdminResponse>& response, const AdminClient& client,
    ExitCode& failure) const {
  if (!response) {
    Output::Error(client.LastReason().ToString());
    failure = ExitCode::kUnreachable;
    return std::nullopt;
  }
  nlohmann::json body = response->Json();
  if (response->status >= 300) {
    const std::string reason = body.is_object()
                                   ? body.value("reason", response->body)
                                   : response->body;
    Output::Error(reason);
    this->Out().Json(body);
    failure = ExitCode::kFailed;
    return std::nullopt;
  }
  return body;
}

int64_t Command::NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Command::RandomId() {
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(std::string_view(reinterpret_cast<const char*>(bytes.data()),
                                bytes.size()));
}

}  // namespace fuchsiadrum::ctl
