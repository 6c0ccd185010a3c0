#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "daemon/caller_request.h"
#include "daemon/http_message.h"
#include "daemon/http_server_connection.h"
#include "schema/settings.pb.h"

namespace fuchsiadrum::daemon {

/// Turns a caller's HTTP request into a CallerRequest. It checks syntax only;
/// authentication, limits and routing are decided by the node.
class RequestReader {
 public:
  explicit RequestReader(const pb::FrontSettings& front_settings)
      : settings(front_settings) {}

  /// Reads the request; nullptr if it is bad input, see Fault.
  CallerRequestPtr Read(const HttpRequest& request, TimePoint now);
  /// Why the last Read gave nothing.
  const BadInput& Fault() const { return this->fault; }

 private:
  bool ReadHeaders(const HttpRequest& request, TimePoint now,
                   CallerRequest& out);
  bool ReadDeadline(const HttpRequest& request, TimePoint now,
                    CallerRequest& out);
  bool ReadService(const HttpRequest& request, CallerRequest& out);
  bool ReadChat(const HttpRequest& request, CallerRequest& out);
  bool ReadChatOptions(nlohmann::json& body, CallerRequest& out);
  bool ReadMessages(const nlohmann::json& body, CallerRequest& out);
  bool Refuse(int status, const char* kind, const std::string& reason);

  const pb::FrontSettings& settings;
  BadInput fault;
};

}  // namespace fuchsiadrum::daemon
