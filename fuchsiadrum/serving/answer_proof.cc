#include "fuchsiadrum/serving/answer_proof.h"

#include <algorithm>
#include <array>

namespace fuchsiadrum::serving {
namespace {

constexpr int kMisdirected = 421;
constexpr int kFirstErrorStatus = 400;
constexpr std::array<int, 4> kPromises = {408, kMisdirected, 429, 503};

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

AnswerOrigin OriginOf(const UpstreamAnswer& answer, const Exchange& exchange) {
  if (exchange.is_framing_doubtful && ClaimsNotRun(answer)) {
    return AnswerOrigin::kUnknown;
  }
  if (!answer.request_id.empty()) {
    return answer.request_id == exchange.request_id
               ? AnswerOrigin::kThisExchange
               : AnswerOrigin::kOtherExchange;
  }
  const bool is_only_possible =
      exchange.number == 1 && exchange.skipped == 0 && ClaimsNotRun(answer);
  return is_only_possible ? AnswerOrigin::kThisExchange
                          : AnswerOrigin::kUnknown;
}

AnswerProof ProofOf(const UpstreamAnswer& answer) {
  if (!UnprovenReason(answer).empty()) return AnswerProof::kNothing;
  if (ClaimsNotRun(answer)) return AnswerProof::kNotRun;
  return IsSuccess(answer.status) ? AnswerProof::kRan
                                  : AnswerProof::kRanAndFailed;
}

std::string_view UnprovenReason(const UpstreamAnswer& answer) {
  if (ClaimsNotRun(answer)) {
    if (answer.has_signature) return "a refusal with a signature";
    if (answer.status < kFirstErrorStatus) return "a refusal with a success";
    return {};
  }
  if (!answer.has_signature) return "no signature";
  if (IsSuccess(answer.status)) {
    return answer.is_encoded ? std::string_view("an encoded body")
                             : std::string_view();
  }
  if (PromisesNotRun(answer.status)) return "a run with a refusal's status";
  return {};
}

bool ClaimsNotRun(const UpstreamAnswer& answer) {
  return answer.not_executed || answer.status == kMisdirected;
}

bool IsInterim(const UpstreamAnswer& answer) {
  constexpr int kFirstFinalStatus = 200;
  return answer.status < kFirstFinalStatus;
}

bool IsFromOtherUpstream(const UpstreamAnswer& answer) {
  return answer.status == kMisdirected;
}

bool HasNoContent(const UpstreamAnswer& answer) {
  constexpr int kNoContent = 204;
  constexpr int kResetContent = 205;
  return answer.status == kNoContent || answer.status == kResetContent;
}

bool ContinuesStream(const StreamHead& begun, const UpstreamAnswer& next) {
  return next.status == begun.status && next.media_type == begun.media_type;
}

bool PromisesNotRun(int status) {
  return std::ranges::find(kPromises, status) != kPromises.end();
}

}  // namespace fuchsiadrum::serving
