#pragma once

#include <optional>
#include <string>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/node/request_events.h"

namespace fuchsiadrum::node {

/// How a request ended, for metrics and the burn report.
struct RequestEnd {
  std::string organisation;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  Outcome outcome = Outcome::kNotRun;
  int status = 0;
  std::string step;
  /// From the caller's request to the first token; nullopt: none came.
  std::optional<Duration> first_token;
  /// Mean time between two tokens; nullopt: fewer than two.
  std::optional<Duration> between_tokens;
};

/// Is told of the end of every request.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(TimePoint now, const RequestEnd& end) = 0;
};

}  // namespace fuchsiadrum::node
