#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/caller_request.h"
#include "daemon/daemon_metrics.h"
#include "daemon/http_server_connection.h"
#include "daemon/problem.h"
#include "fuchsiadrum/node/node.h"

namespace fuchsiadrum::daemon {

class FrontServer;

/// One caller's connection. It handles one request at a time.
class FrontConnection : public HttpServerConnection {
 public:
  FrontConnection(FrontServer& owner, Tcp::socket socket,
                  const HttpLimits& limits,
                  std::shared_ptr<ClientShare> client_share);
  ~FrontConnection() override;

  /// The node decided; `action` is a reply.
  void OnReply(node::RequestAction action);
  /// Refuses the connection because there are too many.
  void RefuseConnection();

 protected:
  void OnRequest(HttpRequest request) override;
  void OnBadInput(const BadInput& input) override;
  void OnWritten(bool written) override;
  void OnGone() override;

 private:
  void StartRequest(const HttpRequest& request);
  void IssueKey(const HttpRequest& request);
  void OnKeyAnswer(const node::Node::AdminAnswer& answer);
  void Answer(HttpResponse response);
  void AnswerProblem(Problem problem);
  void Pump();
  void Finish();
  HttpResponse WholeResponse();
  void RecordFirstToken();
  void Abandon(const char* cause);

  FrontServer& server;
  DaemonMetrics::ConnectionCount connections;
  std::string request_id;
  bool keep_alive = true;
  CallerRequestPtr request;
  std::optional<node::RequestAction> reply;
  bool head_sent = false;
  bool first_written = false;
  bool writing = false;
  bool finishing = false;
};

}  // namespace fuchsiadrum::daemon
