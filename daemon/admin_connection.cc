#include "daemon/admin_connection.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/admin_server.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr const char* kText = "text/plain; charset=utf-8";
constexpr const char* kJson = "application/json";
constexpr const char* kPrometheus = "text/plain; version=0.0.4";

std::string ErrorJson(const std::string& reason) {
  nlohmann::json out;
  out["error"] = reason;
  return out.dump();
}

}  // namespace

AdminConnection::AdminConnection(AdminServer& owner, Tcp::socket socket,
                                 const HttpLimits& limits,
                                 std::shared_ptr<ClientShare> client_share)
    : HttpServerConnection(std::move(socket), limits, std::move(client_share)),
      server(owner) {}

void AdminConnection::OnRequest(HttpRequest request) {
  this->keep_alive = request.keep_alive;
  const std::string path = request.target.substr(0, request.target.find('?'));
  this->WatchForClose();
  const bool passed = path.starts_with("/admin/") || path == "/report/burn";
  if (passed) return this->Pass(request);

  const bool known =
      path == "/healthz" || path == "/readyz" || path == "/metrics";
  if (!known) {
    return this->Answer(404, kJson, ErrorJson("there is no such path"));
  }
  if (request.method != "GET") {
    return this->Answer(405, kJson, ErrorJson("the path takes GET only"));
  }
  if (path == "/healthz") return this->Healthz();
  if (path == "/readyz") return this->Readyz();
  this->Metrics();
}

void AdminConnection::Healthz() {
  const bool alive = this->server.IsControlAlive();
  this->Answer(alive ? 200 : 503, kText,
               alive ? "ok\n" : "the control thread does not answer\n");
}

void AdminConnection::Readyz() {
  const bool asked =
      this->server.Ask(*this, {.metrics = false, .reply = {}},
                       [this](const std::string& reason) {
                         const bool ready = reason.empty();
                         this->Answer(ready ? 200 : 503, kText,
                                      (ready ? "ready" : reason) + "\n");
                       });
  if (!asked) this->AnswerOverloaded();
}

void AdminConnection::Metrics() {
  const bool asked = this->server.Ask(
      *this, {.metrics = true, .reply = {}}, [this](const std::string& text) {
        this->Answer(200, kPrometheus, text + this->server.DaemonText());
      });
  if (!asked) this->AnswerOverloaded();
}

void AdminConnection::Pass(const HttpRequest& request) {
  AdminCall call{.method = request.method,
                 .target = request.target,
                 .body = request.body,
                 .reply = {}};
  const bool asked = this->server.Pass(
      *this, std::move(call), [this](node::Node::AdminAnswer answer) {
        this->Answer(answer.status, answer.content_type,
                     std::move(answer.json));
      });
  if (!asked) this->AnswerOverloaded();
}

void AdminConnection::OnBadInput(const BadInput& input) {
  this->server.CountBadInput(input);
  HttpResponse response{.status = input.status,
                        .headers = {{"Content-Type", kJson}},
                        .body = ErrorJson(input.reason),
                        .keep_alive = false};
  this->FinishAndClose(response.ToText());
}

void AdminConnection::Answer(int status, const std::string& type,
                             std::string body) {
  const HttpResponse response{.status = status,
                              .headers = {{"Content-Type", type}},
                              .body = std::move(body),
                              .keep_alive = this->keep_alive};
  this->Write(response.ToText());
}

void AdminConnection::AnswerOverloaded() {
  this->Answer(503, kJson, ErrorJson("the control thread is overloaded"));
}

void AdminConnection::OnWritten(bool written) {
  if (!written) return;
  if (!this->keep_alive) return this->Close();
  this->ReadNext();
}

}  // namespace fuchsiadrum::daemon
