#include "daemon/service_attempt.h"

#include <utility>

#include "daemon/problem.h"

namespace fuchsiadrum::daemon {

std::string ServiceAttempt::Text() const {
  const CallerRequest& request = *this->order.request;
  HttpHeaders headers = this->CommonHeaders();
  if (!request.start.idempotency_key.empty()) {
    headers.emplace_back("Idempotency-Key", request.start.idempotency_key);
  }
  if (!request.content_type.empty()) {
    headers.emplace_back("Content-Type", request.content_type);
  }
  return RequestText(request.start.method, request.start.path,
                     this->order.action.address, headers, request.body);
}

bool ServiceAttempt::MayReuseConnection() const {
  // A pooled connection that the service is closing loses the request without
  // a sign whether it ran; only repeatable methods may take that risk.
  return this->order.request->start.method == "GET";
}

void ServiceAttempt::OnBody() {
  pb::StoredAnswer whole;
  whole.set_status(static_cast<uint32_t>(this->head.status));
  whole.set_content_type(this->head.content_type);
  whole.set_body(this->body);
  whole.set_outcome(OutcomeText(node::Outcome::kComplete));
  this->order.request->pipe.SetWhole(this->order.action.attempt, whole);
  if (this->order.action.keep_answer) this->result.answer = std::move(whole);
  this->End(node::AttemptEventKind::kCompleted);
}

}  // namespace fuchsiadrum::daemon
