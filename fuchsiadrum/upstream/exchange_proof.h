#pragma once

#include <string_view>

namespace fuchsiadrum::upstream {

/// The exchange that waits for an answer: one attempt of one request on one
/// connection.
struct Exchange {
  std::string_view request_id;
  std::string_view attempt;
  /// The connection has carried no other request before this one.
  bool is_first_on_connection = true;
};

/// What the head of an answer says about the exchange that it belongs to.
struct AnswerHead {
  int status = 0;
  /// Request and attempt that it names; empty: it names none.
  std::string_view request_id;
  std::string_view attempt;
  /// A field that must come once came with two values.
  bool is_ambiguous = false;
  /// The answer says that the request was not run.
  bool not_run = false;
};

/// The exchange to which an answer belongs. An upstream may write an answer
/// late or twice, so that it is read in a later exchange on the connection.
enum class AnswerOrigin {
  kNamed,         // it names this request and attempt
  kOnlyPossible,  // it names none, and nothing else was asked on the connection
  kUnknown,       // it names none, and something else was asked before
  kOtherExchange,  // it names another request or attempt, or two
};

/// Name of an origin, for the log.
std::string_view AnswerOriginName(AnswerOrigin origin);

/// Returns where the answer belongs.
AnswerOrigin OriginOf(const AnswerHead& answer, const Exchange& exchange);

/// True if the answer belongs to the exchange. Nothing may be taken from any
/// other one: its request may have run.
bool IsOfExchange(AnswerOrigin origin);

/// True if the connection may carry a further request: the upstream names the
/// request in its answers, so a late or doubled one is told from the next.
bool MayKeepConnection(AnswerOrigin origin);

/// What an answer of this exchange proves about its request.
enum class AnswerProof {
  kNotRun,   // the upstream did not run it
  kAnswer,   // the body is the answer, once it is whole
  kNothing,  // the request may have run
};

/// Returns what the head of an answer proves. An answer that contradicts
/// itself proves nothing.
AnswerProof ProofOf(const AnswerHead& answer);

}  // namespace fuchsiadrum::upstream
