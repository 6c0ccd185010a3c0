#include "fuchsiadrum/upstream/exchange_proof.h"

namespace fuchsiadrum::upstream {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

}  // namespace

std::string_view AnswerOriginName(AnswerOrigin origin) {
  switch (origin) {
    case AnswerOrigin::kNamed:
      return "this request";
    case AnswerOrigin::kOnlyPossible:
      return "the only request of the connection";
    case AnswerOrigin::kUnknown:
      return "no request";
    case AnswerOrigin::kOtherExchange:
      return "another request or attempt";
  }
  return "unknown";
}

AnswerOrigin OriginOf(const AnswerHead& answer, const Exchange& exchange) {
  const bool other =
      (!answer.request_id.empty() &&
       answer.request_id != exchange.request_id) ||
      (!answer.attempt.empty() && answer.attempt != exchange.attempt);
  if (answer.is_ambiguous || other) return AnswerOrigin::kOtherExchange;
  // Half a name does not tell two attempts or two requests apart.
  if (!answer.request_id.empty() && !answer.attempt.empty()) {
    return AnswerOrigin::kNamed;
  }
  return exchange.is_first_on_connection ? AnswerOrigin::kOnlyPossible
                                         : AnswerOrigin::kUnknown;
}

bool IsOfExchange(AnswerOrigin origin) {
  return origin == AnswerOrigin::kNamed ||
         origin == AnswerOrigin::kOnlyPossible;
}

bool MayKeepConnection(AnswerOrigin origin) {
  return origin == AnswerOrigin::kNamed;
}

AnswerProof ProofOf(const AnswerHead& answer) {
  // An interim answer was not asked for; the answer itself would follow it.
  if (answer.status < kFirstFinalStatus) return AnswerProof::kNothing;
  const bool may_refuse =
      answer.status == kUnavailable || answer.status == kTooManyRequests;
  if (answer.not_run && may_refuse) return AnswerProof::kNotRun;
  // An upstream that failed may have run the request.
  if (answer.status >= kFirstServerError) return AnswerProof::kNothing;
  // A success of a request that did not run.
  if (answer.not_run && answer.status < kFirstErrorStatus) {
    return AnswerProof::kNothing;
  }
  return AnswerProof::kAnswer;
}

}  // namespace fuchsiadrum::upstream
