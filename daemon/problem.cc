#include "daemon/problem.h"

#include <nlohmann/json.hpp>

namespace fuchsiadrum::daemon {
namespace {

std::string ProblemJson(const Problem& problem) {
  nlohmann::json body;
  body["type"] = "about:blank";
  body["title"] = std::string(StatusText(problem.status));
  body["status"] = problem.status;
  body["step"] = problem.step;
  body["reason"] = problem.reason;
  body["outcome"] = OutcomeText(problem.outcome);
  body["request_id"] = problem.request_id;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string OutcomeText(node::Outcome outcome) {
  switch (outcome) {
    case node::Outcome::kComplete:
      return "complete";
    case node::Outcome::kNotRun:
      return "not-run";
    case node::Outcome::kUnknown:
      return "unknown";
    case node::Outcome::kFailed:
      break;
  }
  return "failed";
}

HttpResponse ProblemResponse(const Problem& problem) {
  HttpResponse out;
  out.status = problem.status;
  out.headers = {{"Content-Type", "application/problem+json"},
                 {"X-Request-Id", problem.request_id},
                 {"X-Outcome", OutcomeText(problem.outcome)}};
  if (problem.retry_after_s > 0) {
    out.headers.emplace_back("Retry-After",
                             std::to_string(problem.retry_after_s));
  }
  if (problem.status == 401) {
    out.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  out.body = ProblemJson(problem);
  return out;
}

std::string ProblemEvent(const Problem& problem) {
  return "event: error\ndata: " + ProblemJson(problem) +
         "\n\n: X-Outcome: " + OutcomeText(problem.outcome) + "\n\n";
}

std::string DoneEvent() { return ": X-Outcome: complete\n\ndata: [DONE]\n\n"; }

}  // namespace fuchsiadrum::daemon
