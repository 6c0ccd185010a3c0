#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/catalogue.pb.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::node {

/// Handle of one request within one daemon.
using RequestHandle = uint64_t;

/// A request as the front door parsed it. Syntax has been checked there;
/// authentication, limits and everything else is decided by the node.
struct RequestStart {
  RequestHandle handle = 0;
  /// X-Request-Id, unique in the fleet.
  std::string request_id;
  /// Key of the Authorization header; empty: none was sent.
  std::string bearer;
  /// Idempotency-Key; empty: none was sent.
  std::string idempotency_key;
  /// Model of a chat completion; empty for a service call.
  std::string model;
  /// Service name, HTTP method and path below /services/NAME.
  std::string service;
  std::string method;
  std::string path;
  /// Class asked for by the caller; unspecified: the catalogue's default.
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  /// Digest of the body; a key that is reused with another body is refused.
  std::string body_digest;
  /// Hashes of the prompt's growing prefixes, shortest first.
  std::vector<uint64_t> prefix_hashes;
  /// Upper bound of the prompt's tokens.
  Tokens prompt_bound;
  /// Output limit that the caller asked for; 0: the model's.
  Tokens max_output;
  /// True if the output limit may be lowered to what the budget still covers.
  bool may_cap_output = true;
  /// Moment after which the caller does not want an answer.
  TimePoint deadline;
};

/// What the front door has to do with a request.
enum class RequestActionKind {
  kDispatch,  // send it to the upstream and relay its answer
  kReply,     // answer the caller; the request is over
  kCancel,    // close the upstream stream of this attempt
};

/// Outcome told to the caller in X-Outcome.
enum class Outcome { kComplete, kNotRun, kUnknown, kFailed };

/// Text of an outcome: "complete", "not-run", "unknown" or "failed".
std::string_view OutcomeName(Outcome outcome);

/// One order of the node to the front door.
struct RequestAction {
  RequestActionKind kind = RequestActionKind::kReply;
  RequestHandle handle = 0;
  /// Grows with each dispatch; bytes of an older attempt must be dropped.
  uint32_t attempt = 0;
  /// kDispatch: name and IP:port of the upstream, and the output limit to put
  /// into the request (0: unchanged).
  std::string upstream;
  std::string address;
  Tokens max_output;
  /// kDispatch: keep the whole answer and hand it back with the result, so
  /// that a retry with the same key can be answered.
  bool keep_answer = false;
  /// kReply: HTTP status, outcome, the step that decided and a short reason.
  int status = 0;
  Outcome outcome = Outcome::kNotRun;
  std::string step;
  std::string reason;
  /// kReply: seconds for Retry-After; 0: no header.
  int retry_after_s = 0;
  /// kReply: a stored answer that is sent in place of a problem body.
  std::optional<pb::StoredAnswer> stored;
};

/// How an attempt at an upstream went on.
enum class AttemptEventKind {
  kFirstToken,  // the first byte of the answer's body arrived
  kCompleted,   // whole answer with its end mark
  kNotSent,     // connecting failed; no byte of the request left
  kRejected,    // the upstream refused before running (429, 503)
  kBroken,      // connection lost after the request was sent
  kSilent,      // idle bound passed without a byte
  kCallerGone,  // the caller closed its connection
};

/// Result of an attempt, told by the upstream client.
struct AttemptEvent {
  AttemptEventKind kind = AttemptEventKind::kBroken;
  RequestHandle handle = 0;
  uint32_t attempt = 0;
  /// Status of the upstream's answer; 0: none.
  int status = 0;
  /// Tokens that the upstream reported as used; nullopt: none reported.
  std::optional<Tokens> used;
  /// Tokens seen in the stream, for attempts without a report.
  Tokens streamed;
  /// True if any byte of the answer reached the caller.
  bool delivered = false;
  /// The upstream said that it is leaving.
  bool upstream_leaving = false;
  /// The whole answer, if keep_answer was set and it fitted.
  std::optional<pb::StoredAnswer> answer;
};

}  // namespace fuchsiadrum::node
