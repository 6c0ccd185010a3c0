#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/fleet_upstream.h"

namespace fuchsiadrum::serving {

/// Header fields in the order in which they came.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// One request of a caller, read whole.
struct CallerRequest {
  /// Drawn by the caller; another one for each of its attempts.
  std::string id;
  std::string method;
  /// Path and query, as sent.
  std::string target;
  std::string path;
  /// Lower case, without a port.
  std::string host;
  std::string key;
  /// How long the caller waits; empty: not said.
  std::optional<Duration> patience;
  /// Last event that the caller has; the answer goes on after it.
  std::optional<uint64_t> last_event;
  /// Prompt tokens and most output tokens; empty: the request names none.
  std::optional<Tokens> prompt_tokens;
  std::optional<Tokens> max_output_tokens;
  std::vector<PromptPart> parts;
  /// Fields that go to the upstream as they are.
  HeaderFields passed_on;
  std::string body;
  /// The caller closes the connection after the answer.
  bool close_after = false;
};

/// What the gateway adds to a request that it sends to an upstream.
struct UpstreamCall {
  std::string upstream_id;
  /// Empty: the route needs no organisation.
  std::string organisation;
  Duration time_left = Duration::zero();
  int priority = 5;
  std::optional<uint64_t> last_event;
};

/// Head of an upstream's answer.
struct UpstreamAnswer {
  int status = 0;
  /// Id of the request that is answered; empty: not said.
  std::string request_id;
  /// Proof of the upstream that it ran the request.
  bool has_signature = false;
  /// The upstream says that it did not run the request.
  bool not_executed = false;
  /// The body was transformed on the way.
  bool is_encoded = false;
  bool close = false;
  /// How long the upstream keeps the idle connection; empty: not said.
  std::optional<Duration> keep_alive;
  std::optional<LoadReport> load;
  /// The upstream leaves and wants no further requests.
  bool leaving = false;
  /// The upstream wants no requests for so long; empty: not said.
  std::optional<Duration> pause;
  /// Why an announcement could not be read; empty: all could.
  std::string fault;
  /// Fields that go to the caller as they are.
  HeaderFields passed_on;
};

}  // namespace fuchsiadrum::serving
