#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/answer_framing.h"
#include "fuchsiadrum/serving/fleet_upstream.h"

namespace fuchsiadrum::serving {

/// Header fields in the order in which they were received.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// One completely received request of a caller.
struct CallerRequest {
  /// When its first byte was read.
  TimePoint begun_at;
  /// Chosen by the caller, who uses a new id for each of its attempts.
  std::string id;
  std::string method;
  /// Path and query as sent by the caller.
  std::string target;
  std::string path;
  /// Lower case, without a port.
  std::string host;
  std::string key;
  /// How long the caller waits for the answer; empty if it did not say.
  std::optional<Duration> caller_timeout;
  /// Number of the last event that the caller has received; the answer resumes
  /// after it.
  std::optional<uint64_t> last_event;
  /// Id of the attempt that brought the first event of the stream that the
  /// caller takes up; empty if the request names none, or not exactly one.
  std::string resumed_attempt;
  /// Prompt tokens and maximum output tokens; empty if the request has no such
  /// value.
  std::optional<Tokens> prompt_tokens;
  std::optional<Tokens> max_output_tokens;
  std::vector<PromptPart> parts;
  /// Header fields that are forwarded to the upstream unchanged.
  HeaderFields forwarded_fields;
  std::string body;
  /// True if the caller closes the connection after the answer.
  bool close_after = false;
  /// False for a caller of HTTP/1.0, which has no chunks.
  bool takes_chunks = true;

  /// Tokens that the request may use at most; nullopt if it states no counts,
  /// or counts whose sum is no number of tokens.
  std::optional<Tokens> MaxTokens() const;
};

/// What the gateway adds to a request that it sends to an upstream.
struct UpstreamCall {
  std::string upstream_id;
  /// Empty if the route needs no organisation.
  std::string organisation;
  Duration time_left = Duration::zero();
  int priority = 5;
  std::optional<uint64_t> last_event;
};

/// Head of an upstream's answer.
struct UpstreamAnswer {
  int status = 0;
  /// Id of the request that is answered; empty if the answer does not name it.
  std::string request_id;
  /// True if the answer carries the upstream's signature, which proves that it
  /// ran the request.
  bool has_signature = false;
  /// True if the upstream reports that it did not run the request.
  bool not_executed = false;
  /// Media type of the body in lower case, without parameters; empty if the
  /// answer does not name it.
  std::string media_type;
  /// True if the body was transformed on the way (it has a content encoding).
  bool is_encoded = false;
  bool close = false;
  AnswerFraming framing = AnswerFraming::kLength;
  /// How long the upstream keeps an idle connection open; empty if it did not
  /// say.
  std::optional<Duration> keep_alive;
  std::optional<LoadReport> load;
  /// Why the load report, or only its fourth figure, could not be used; empty
  /// if all of it could.
  std::string load_fault;
  /// True if the upstream announces that it is shutting down and accepts no
  /// further requests.
  bool leaving = false;
  /// Time for which the upstream asks to get no requests; empty if it did not
  /// ask.
  std::optional<Duration> pause;
  /// Requests per second that the upstream takes from all VMs together; empty
  /// if it names no limit.
  std::optional<double> request_limit;
  /// Time for which the upstream will still be cold; empty if it does not say.
  std::optional<Duration> cold_left;
  /// Why an announcement in the headers could not be parsed; empty if all
  /// could.
  std::string fault;
  /// Name of an announcement that is not known; empty if there is none.
  std::string unknown_notice;
  /// Header fields that are forwarded to the caller unchanged.
  HeaderFields forwarded_fields;
};

}  // namespace fuchsiadrum::serving
