#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fuchsiadrum/serving/caller_request.h"

namespace fuchsiadrum::serving {

/// The exchange in which an answer was read: one request on one connection.
struct Exchange {
  std::string_view request_id;
  /// Number of requests that the connection has carried, including this one.
  uint64_t number = 1;
  /// Number of answers of this exchange that did not belong to it.
  int skipped = 0;
  /// True after an answer whose framing contradicts itself. Nothing tells where
  /// its body ends, so that what looks like the next answer may be part of it.
  bool is_framing_doubtful = false;
};

/// The exchange to which an answer belongs. An upstream may write an answer
/// late or twice, so that it is read in a later exchange on the connection.
enum class AnswerOrigin {
  kThisExchange,
  kOtherExchange,  // it names another request
  kUnknown,        // it names no request, so nothing tells where it belongs
};

/// Returns where the answer belongs. The request's id on it proves that it
/// belongs to this exchange, because no connection carries a request twice. A
/// refusal without an id counts if nothing else was asked or answered on the
/// connection. Where the framing is doubtful, no refusal counts.
AnswerOrigin OriginOf(const UpstreamAnswer& answer, const Exchange& exchange);

/// What an answer of this exchange proves about its request.
enum class AnswerProof {
  kNotRun,        // the upstream did not run it
  kRan,           // the upstream ran it, and the answer is whole once its body
                  // is
  kRanAndFailed,  // the upstream ran it and reports an error
  kNothing,       // the request may have run
};

/// Returns what the head of the answer proves. An answer that contradicts
/// itself proves nothing.
AnswerProof ProofOf(const UpstreamAnswer& answer);

/// Returns why an answer proves nothing, for the log.
std::string_view UnprovenReason(const UpstreamAnswer& answer);

/// True if the answer says that its request did not run, proven or not.
bool ClaimsNotRun(const UpstreamAnswer& answer);

/// True for an interim answer (1xx), which the answer follows.
bool IsInterim(const UpstreamAnswer& answer);

/// True if another upstream has answered at the address of the one that was
/// asked. What the answer announces is about that other one.
bool IsFromOtherUpstream(const UpstreamAnswer& answer);

/// True if the status excludes a body.
bool HasNoContent(const UpstreamAnswer& answer);

/// What the caller has of the head of a stream that broke off.
struct StreamHead {
  int status = 0;
  std::string media_type;
};

/// True if the body of `next` can be the rest of the stream that began with the
/// head `begun`.
bool ContinuesStream(const StreamHead& begun, const UpstreamAnswer& next);

/// True if a caller takes the status as a promise that its request did not run
/// and never will.
bool PromisesNotRun(int status);

}  // namespace fuchsiadrum::serving
