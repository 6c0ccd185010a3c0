#include "daemon/front_connection.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/clock.h"
#include "daemon/front_server.h"

namespace fuchsiadrum::daemon {
namespace {

// One write to a caller; a slow reader has the write timeout for each.
constexpr size_t kWriteBytes = 16384;
constexpr int kRetryAfterS = 1;
// Streams need chunks and trailers, which HTTP/1.0 does not have.
constexpr int kHttp11 = 11;
constexpr std::string_view kKeysPath = "/v1/idempotency-keys";
// Path of the same call at the decision core.
constexpr const char* kKeysTarget = "/admin/idempotency-keys";

/// Seconds after which refused input may be sent again; 0: never.
int RetryAfter(const BadInput& input) {
  return input.status == 503 ? kRetryAfterS : 0;
}

std::weak_ptr<FrontConnection> WeakOf(FrontConnection& connection) {
  return std::static_pointer_cast<FrontConnection>(
      connection.shared_from_this());
}

}  // namespace

FrontConnection::FrontConnection(FrontServer& owner, Tcp::socket socket,
                                 const HttpLimits& limits,
                                 std::shared_ptr<ClientShare> client_share)
    : HttpServerConnection(std::move(socket), limits, std::move(client_share)),
      server(owner),
      connections(owner.Connections()) {
  ++*this->connections;
}

FrontConnection::~FrontConnection() { --*this->connections; }

void FrontConnection::RefuseConnection() {
  this->request_id = this->server.NewRequestId();
  HttpResponse response = ProblemResponse({.status = 503,
                                           .step = "front",
                                           .reason = "too many connections",
                                           .retry_after_s = kRetryAfterS,
                                           .request_id = this->request_id});
  response.keep_alive = false;
  this->FinishAndClose(response.ToText());
}

void FrontConnection::OnRequest(HttpRequest http_request) {
  this->request_id = this->server.NewRequestId();
  this->keep_alive = http_request.keep_alive;

  if (this->server.IsClosing()) {
    this->keep_alive = false;
    return this->AnswerProblem({.status = 503,
                                .step = "front",
                                .reason = "this daemon is stopping",
                                .retry_after_s = kRetryAfterS});
  }
  if (http_request.version < kHttp11) {
    const BadInput old{505, "old-http", "HTTP/1.1 is needed"};
    this->keep_alive = false;
    this->server.CountBadInput(old);
    return this->AnswerProblem(
        {.status = old.status, .step = "front", .reason = old.reason});
  }
  if (http_request.target == kKeysPath) return this->IssueKey(http_request);
  this->StartRequest(http_request);
}

void FrontConnection::StartRequest(const HttpRequest& http_request) {
  RequestReader& reader = this->server.Reader();
  CallerRequestPtr parsed = reader.Read(http_request, Now());
  if (!parsed) {
    const BadInput& fault = reader.Fault();
    this->server.CountBadInput(fault);
    return this->AnswerProblem(
        {.status = fault.status, .step = "front", .reason = fault.reason});
  }

  parsed->start.request_id = this->request_id;
  parsed->pipe.SetWake([weak = WeakOf(*this), &owner = this->server] {
    asio::post(owner.Context(), [weak] {
      if (const auto self = weak.lock()) self->Pump();
    });
  });
  if (!this->server.Submit(parsed, WeakOf(*this))) {
    return this->AnswerProblem({.status = 503,
                                .step = "front",
                                .reason = "this daemon is overloaded",
                                .retry_after_s = kRetryAfterS});
  }
  this->request = std::move(parsed);
  this->WatchForClose();
}

void FrontConnection::IssueKey(const HttpRequest& http_request) {
  static constexpr std::string_view kBearer = "Bearer ";
  const std::string authorization = http_request.Header("Authorization");
  if (http_request.method != "POST") {
    this->server.CountBadInput({405, "bad-method", ""});
    return this->AnswerProblem(
        {.status = 405, .step = "front", .reason = "the path takes POST only"});
  }
  if (!authorization.starts_with(kBearer)) {
    this->server.CountBadInput({401, "missing-key", ""});
    return this->AnswerProblem(
        {.status = 401,
         .step = "front",
         .reason = "an Authorization: Bearer header is needed"});
  }

  nlohmann::json body;
  body["bearer"] = authorization.substr(kBearer.size());
  body["body"] = http_request.body;
  AdminCall call{.method = "POST",
                 .target = kKeysTarget,
                 .body = body.dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace)};
  call.reply = [weak = WeakOf(*this),
                &owner = this->server](node::Node::AdminAnswer answer) {
    asio::post(owner.Context(), [weak, answer = std::move(answer)] {
      if (const auto self = weak.lock()) self->OnKeyAnswer(answer);
    });
  };
  if (!this->server.Call(std::move(call))) {
    return this->AnswerProblem({.status = 503,
                                .step = "front",
                                .reason = "this daemon is overloaded",
                                .retry_after_s = kRetryAfterS});
  }
  this->WatchForClose();
}

void FrontConnection::OnKeyAnswer(const node::Node::AdminAnswer& answer) {
  if (answer.status >= 300) {
    const auto body = nlohmann::json::parse(answer.json, nullptr, false);
    return this->AnswerProblem(
        {.status = answer.status,
         .step = "idempotency-keys",
         .reason = body.is_object() ? body.value("reason", "") : "",
         .retry_after_s = answer.status == 503 ? kRetryAfterS : 0});
  }
  HttpResponse response{.status = answer.status, .body = answer.json};
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", this->request_id},
                      {"X-Outcome", "complete"}};
  this->Answer(std::move(response));
}

void FrontConnection::OnBadInput(const BadInput& input) {
  this->request_id = this->server.NewRequestId();
  this->server.CountBadInput(input);
  HttpResponse response = ProblemResponse({.status = input.status,
                                           .step = "front",
                                           .reason = input.reason,
                                           .retry_after_s = RetryAfter(input),
                                           .request_id = this->request_id});
  response.keep_alive = false;
  this->FinishAndClose(response.ToText());
}

void FrontConnection::AnswerProblem(Problem problem) {
  problem.request_id = this->request_id;
  this->Answer(ProblemResponse(problem));
}

void FrontConnection::Answer(HttpResponse response) {
  response.keep_alive = this->keep_alive;
  this->finishing = true;
  this->writing = true;
  this->Write(response.ToText());
}

void FrontConnection::OnReply(node::RequestAction action) {
  if (!this->request) return;
  this->reply = std::move(action);
  this->Pump();
}

void FrontConnection::Pump() {
  if (this->writing || !this->request) return;

  const std::string bytes = this->request->pipe.Take(kWriteBytes);
  if (bytes.empty()) {
    if (this->reply) this->Finish();
    return;
  }

  std::string text;
  if (!this->head_sent) {
    text = ChunkedHead(200,
                       {{"Content-Type", "text/event-stream"},
                        {"Cache-Control", "no-store"},
                        {"X-Request-Id", this->request_id},
                        {"Trailer", "X-Outcome"}},
                       this->keep_alive);
    this->head_sent = true;
  }
  this->writing = true;
  this->Write(text + Chunk(bytes));
}

void FrontConnection::Finish() {
  this->finishing = true;
  this->writing = true;
  const bool complete = this->reply->outcome == node::Outcome::kComplete;
  if (!this->head_sent) return this->Write(this->WholeResponse().ToText());

  const Problem problem{.status = this->reply->status,
                        .outcome = this->reply->outcome,
                        .step = this->reply->step,
                        .reason = this->reply->reason,
                        .request_id = this->request_id};
  if (!complete) this->server.CountCut("upstream");
  this->Write(Chunk(complete ? DoneEvent() : ProblemEvent(problem)) +
              LastChunk({{"X-Outcome", OutcomeText(this->reply->outcome)}}));
}

HttpResponse FrontConnection::WholeResponse() {
  std::optional<pb::StoredAnswer> answer = std::move(this->reply->stored);
  const bool complete = this->reply->outcome == node::Outcome::kComplete;
  if (!answer && complete) answer = this->request->pipe.TakeWhole();

  HttpResponse response;
  if (answer) {
    response.status = static_cast<int>(answer->status());
    response.body = answer->body();
    response.headers = {{"X-Request-Id", this->request_id},
                        {"X-Outcome", OutcomeText(this->reply->outcome)}};
    if (!answer->content_type().empty()) {
      response.headers.emplace_back("Content-Type", answer->content_type());
    }
  } else {
    // Without an answer a complete outcome would be false.
    const bool lost = complete || this->reply->status == 0;
    response = ProblemResponse(
        {.status = lost ? 502 : this->reply->status,
         .outcome = complete ? node::Outcome::kUnknown : this->reply->outcome,
         .step = lost ? "front" : this->reply->step,
         .reason = lost ? "the answer is missing" : this->reply->reason,
         .retry_after_s = this->reply->retry_after_s,
         .request_id = this->request_id});
  }
  response.keep_alive = this->keep_alive;
  return response;
}

void FrontConnection::OnWritten(bool written) {
  this->writing = false;
  if (!written) return this->Abandon("slow-reader");
  if (this->head_sent && !this->first_written) this->RecordFirstToken();
  if (!this->finishing) return this->Pump();

  // The request is over.
  if (this->request) this->server.Forget(*this->request);
  this->request.reset();
  this->reply.reset();
  this->head_sent = false;
  this->first_written = false;
  this->finishing = false;
  if (!this->keep_alive) return this->Close();
  this->ReadNext();
}

void FrontConnection::RecordFirstToken() {
  this->first_written = true;
  const int64_t sent = this->request->sent_us;
  const int64_t first = this->request->first_byte_us;
  if (sent == 0 || first == 0) return;
  const int64_t added = sent - this->request->accepted_us + Now().us - first;
  this->server.RecordFirstToken(Duration(added));
}

void FrontConnection::OnGone() {
  this->Abandon("caller-gone");
  this->Close();
}

void FrontConnection::Abandon(const char* cause) {
  if (!this->request) return;
  this->server.CountCut(cause);
  this->request->pipe.Close();
  this->server.Gone(*this->request);
  this->request.reset();
}

}  // namespace fuchsiadrum::daemon
