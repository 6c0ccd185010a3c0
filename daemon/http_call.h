#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/http_client_connection.h"

namespace fuchsiadrum::daemon {

/// Result of a whole HTTP exchange.
struct HttpAnswer {
  /// Bytes of the request may have reached the other side.
  bool sent = false;
  /// The whole answer arrived; its end was told from a broken connection.
  bool whole = false;
  /// Why it is not whole.
  ErrorCode error;
  HttpHead head;
  std::string body;
};

/// Limits of one exchange.
struct HttpCallLimits {
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration head_timeout = std::chrono::seconds(2);
  /// Longest silence within the body.
  Duration idle_timeout = std::chrono::seconds(2);
  size_t max_body_bytes = 64U << 20U;
};

/// One exchange with a bounded answer on an open or a new connection.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  using OnAnswer = std::function<void(HttpAnswer)>;

  HttpCall(std::shared_ptr<HttpClientConnection> open_connection,
           const HttpCallLimits& call_limits, OnAnswer new_handler);

  /// Connects to "IP:port" first.
  void StartNew(const std::string& address, std::string request);
  /// Uses the open connection.
  void Start(std::string request);
  /// Closes the connection; the handler is not called any more.
  void Cancel();

 private:
  void ReadHead();
  void ReadBody();
  void End(ErrorCode error);

  std::shared_ptr<HttpClientConnection> connection;
  HttpCallLimits limits;
  OnAnswer handler;
  HttpAnswer answer;
};

}  // namespace fuchsiadrum::daemon
