#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/serving/attempt_policy.h"

namespace fuchsiadrum::serving {

/// The attempts of one request, and how many of them may have run it.
class AttemptHistory {
 public:
  /// Adds an attempt at an upstream.
  void Begin(const std::string& upstream_id);
  /// Adds the outcome of the last attempt. `was_sent`: bytes of the request may
  /// have reached the upstream.
  void End(AttemptOutcome outcome, bool was_sent);

  /// Number of ended attempts in which an upstream may have run the request.
  int Runs() const { return this->runs; }
  /// Number of ended attempts in which no upstream ran the request, for example
  /// because it was not sent.
  int Unexecuted() const { return this->unexecuted; }
  /// Upstreams of the attempts, in their order.
  std::span<const std::string> Upstreams() const { return this->upstreams; }
  /// Upstream of the last attempt; empty if there was none.
  std::string_view LastUpstream() const;
  /// Upstreams and outcomes of the attempts, separated by commas, for the log.
  const std::string& UpstreamsText() const { return this->upstreams_text; }
  const std::string& OutcomesText() const { return this->outcomes_text; }

 private:
  int runs = 0;
  int unexecuted = 0;
  std::vector<std::string> upstreams;
  std::string upstreams_text;
  std::string outcomes_text;
};

}  // namespace fuchsiadrum::serving
