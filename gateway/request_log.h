#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fuchsiadrum/serving/attempt_history.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/active_request.h"
#include "gateway/gateway_core.h"
#include "gateway/http_connection.h"

namespace fuchsiadrum::gateway {

/// The figures of a request that are logged at its end.
struct RequestFigures {
  /// The three inputs of the latest choice of an upstream.
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidate_count = 0;
  /// Time from the last send of the request to the first event of a stream, or
  /// the whole of another answer.
  double attempt_first_byte_ms = 0;
  /// The same time from the arrival of the request.
  double first_byte_ms = 0;
  Tokens reserved_tokens;
  int events_relayed = 0;
  /// Name of the framing of the last answer that an upstream has begun; empty
  /// if none has.
  std::string_view framing;
  /// Software version to which the stream is bound; empty: to none.
  std::string_view version;
};

/// Logs and counts what happens to one request.
class RequestLog {
 public:
  RequestLog(GatewayCore& gateway_core, const ActiveRequest& active_request,
             const serving::AttemptHistory& attempt_history)
      : core(gateway_core), active(active_request), history(attempt_history) {}

  /// An interim answer (1xx). `has_body`: it announces a body, which such an
  /// answer cannot have.
  void OnInterimAnswer(const serving::UpstreamAnswer& answer, bool has_body);
  /// An answer that belongs to another exchange, or to an unknown one.
  void OnMismatchedAnswer(const serving::UpstreamAnswer& answer);
  /// An answer which proves that the request did not run.
  void OnRefusal(const serving::UpstreamAnswer& answer,
                 const HttpConnection& connection, TimePoint sent_at);
  void OnUnprovenAnswer(const serving::UpstreamAnswer& answer,
                        std::string_view reason);
  /// An attempt that was sent and ended without a whole answer. `has_head`: the
  /// head of its answer was read. `events`: events of a stream that it had
  /// relayed.
  void OnBrokenAttempt(const HttpConnection& connection, bool has_head,
                       int events, TimePoint sent_at);
  /// An exchange has ended; logged and counted if its answer is malformed or
  /// has exceeded a bound.
  void OnExchangeEnd(const HttpConnection& connection);
  /// The end of the request. `outcome` says what the caller got (for example
  /// "complete" or "own-answer"), `reason` why it is not a complete answer of
  /// an upstream.
  void OnEnd(int status, std::string_view outcome, std::string_view reason,
             const RequestFigures& figures);

 private:
  void OnMalformedAnswer(serving::AnswerFault fault);
  /// Says which request the answer names.
  std::string_view NamesOf(const serving::UpstreamAnswer& answer) const;

  GatewayCore& core;
  const ActiveRequest& active;
  const serving::AttemptHistory& history;
};

}  // namespace fuchsiadrum::gateway
