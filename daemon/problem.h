#pragma once

#include <string>

#include "daemon/http_message.h"
#include "fuchsiadrum/node/request_events.h"

namespace fuchsiadrum::daemon {

/// An error as callers see it.
struct Problem {
  int status = 500;
  node::Outcome outcome = node::Outcome::kNotRun;
  std::string step;
  std::string reason;
  /// Seconds for Retry-After; 0: no header.
  int retry_after_s = 0;
  std::string request_id;
};

/// Text of an outcome for X-Outcome.
std::string OutcomeText(node::Outcome outcome);
/// The answer with an application/problem+json body.
HttpResponse ProblemResponse(const Problem& problem);
/// Server-sent events that end a stream with an explicit error.
std::string ProblemEvent(const Problem& problem);
/// Server-sent events that end a whole stream.
std::string DoneEvent();

}  // namespace fuchsiadrum::daemon
