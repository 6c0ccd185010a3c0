#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fuchsiadrum/core/reason.h"

namespace fuchsiadrum::ctl {

/// Where the admin port is and how long to wait for it.
struct AdminClientOptions {
  /// IP:port of any daemon's admin port.
  std::string address = "127.0.0.1:8081";
  std::chrono::milliseconds timeout{5000};
};

/// Answer of the admin port.
struct AdminResponse {
  int status = 0;
  std::string body;

  /// The body as JSON; null if it is malformed.
  nlohmann::json Json() const;
};

/// Blocking HTTP client of a daemon's admin port.
class AdminClient {
 public:
  explicit AdminClient(AdminClientOptions options)
      : options(std::move(options)) {}

  /// Sends a GET; nullopt if there is no answer, see LastReason.
  std::optional<AdminResponse> Get(const std::string& target);
  /// Sends a POST with a JSON body.
  std::optional<AdminResponse> Post(const std::string& target,
                                    const nlohmann::json& body);
  /// Why the last call gave nothing.
  const Reason& LastReason() const { return this->last_reason; }

 private:
  std::optional<AdminResponse> Exchange(const std::string& method,
                                        const std::string& target,
                                        const std::string& body);

  AdminClientOptions options;
  Reason last_reason;
};

}  // namespace fuchsiadrum::ctl
