#pragma once

#include <string>

#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/serving/answer_proof.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/active_request.h"
#include "gateway/http_connection.h"
#include "gateway/request_log.h"
#include "gateway/upstream_attempt.h"

namespace fuchsiadrum::gateway {

/// Reads the answer to one request from the connection on which it was sent,
/// and tells it apart from answers that belong elsewhere.
class AnswerReader {
 public:
  AnswerReader(GatewayCore& gateway_core, const ActiveRequest& active_request,
               RequestLog& request_log)
      : core(gateway_core),
        active(active_request),
        log(request_log),
        body_bytes(gateway_core.BodyBytes()) {}

  /// Forgets the answer of an earlier attempt.
  void Reset();
  /// Reads the head of the answer to this request, and applies what it says
  /// about the upstream; skips answers to earlier requests on the connection,
  /// and those that nothing proves to be of this exchange. Returns false if the
  /// connection fails or too many answers were skipped.
  asio::awaitable<bool> ReadMatchingHead(UpstreamAttempt& attempt,
                                         HttpConnection& connection);
  /// Reads the rest of the answer into the body. Returns false if the
  /// connection fails before its end, or if it exceeds the memory for bodies.
  asio::awaitable<bool> ReadWholeBody(HttpConnection& connection);

  /// True if the head of the answer to this request was read.
  bool HasHead() const { return this->has_head; }
  /// True if nothing tells which bytes on the connection are answers.
  bool IsFramingDoubtful() const { return this->is_framing_doubtful; }
  /// The last answer that was read. The body of a stream is not kept.
  const serving::UpstreamAnswer& Answer() const { return this->answer; }
  const std::string& Body() const { return this->body; }

 private:
  /// True if it is worth waiting for the answer to this request after one that
  /// does not belong to it.
  bool MayAnswerFollow(serving::AnswerOrigin origin,
                       const HttpConnection& connection) const;
  /// Applies what the head of an answer of this exchange says about the
  /// upstream: its load and its notices.
  void ApplyHead(UpstreamAttempt& attempt);

  GatewayCore& core;
  const ActiveRequest& active;
  RequestLog& log;
  bool has_head = false;
  bool is_framing_doubtful = false;
  serving::UpstreamAnswer answer;
  std::string body;
  /// Memory accounted for the body.
  ByteHold body_bytes;
};

}  // namespace fuchsiadrum::gateway
