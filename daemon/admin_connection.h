#pragma once

#include <string>

#include "daemon/http_server_connection.h"

namespace fuchsiadrum::daemon {

class AdminServer;

/// One connection of an operator or a monitoring system.
class AdminConnection : public HttpServerConnection {
 public:
  AdminConnection(AdminServer& owner, Tcp::socket socket,
                  const HttpLimits& limits,
                  std::shared_ptr<ClientShare> client_share);

 protected:
  void OnRequest(HttpRequest request) override;
  void OnBadInput(const BadInput& input) override;
  void OnWritten(bool written) override;
  void OnGone() override { this->Close(); }

 private:
  void Healthz();
  void Readyz();
  void Metrics();
  void Pass(const HttpRequest& request);
  void Answer(int status, const std::string& type, std::string body);
  void AnswerOverloaded();

  AdminServer& server;
  bool keep_alive = true;
};

}  // namespace fuchsiadrum::daemon
