#include "fuchsiadrum/request/retry_budget.h"

#include <algorithm>

namespace fuchsiadrum::request {
namespace {

/// Cost of one retry, in hundredths.
constexpr int64_t kRetryCost = 100;

/// Above this the doubled backoff exceeds any sensible limit.
constexpr uint32_t kMaxDoublings = 20;

}  // namespace

std::string_view RetryVerdictName(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kRetry:
      return "retry";
    case RetryVerdict::kNotIdempotent:
      return "not idempotent";
    case RetryVerdict::kDelivered:
      return "partly delivered";
    case RetryVerdict::kDeadline:
      return "deadline";
    case RetryVerdict::kTooManyAttempts:
      return "too many attempts";
    case RetryVerdict::kNoOtherUpstream:
      return "no other upstream";
    case RetryVerdict::kBudget:
      return "retry budget used up";
  }
  return "unknown";
}

void RetryBudget::OnFirstAttempt(pb::WorkClass work_class,
                                 const std::string& upstream) {
  int64_t& balance = this->BalanceOf(work_class, upstream);
  balance = std::min<int64_t>(balance + this->options.percent,
                              this->options.max_saved * kRetryCost);
}

RetryDecision RetryBudget::Decide(TimePoint now,
                                  const RetryQuestion& question) {
  if (!question.idempotent) return {RetryVerdict::kNotIdempotent};
  if (question.delivered && !question.can_resume) {
    return {RetryVerdict::kDelivered};
  }
  if (question.retries >= this->options.max_retries) {
    return {RetryVerdict::kTooManyAttempts};
  }
  const bool same = question.next_upstream == question.failed_upstream;
  if (question.next_upstream.empty() || (same && !question.can_resume)) {
    return {RetryVerdict::kNoOtherUpstream};
  }

  const Duration backoff = this->Backoff(question.retries);
  if (now + backoff >= question.deadline) return {RetryVerdict::kDeadline};

  int64_t& balance =
      this->BalanceOf(question.work_class, question.next_upstream);
  if (balance < kRetryCost) return {RetryVerdict::kBudget};
  balance -= kRetryCost;
  return {RetryVerdict::kRetry, backoff};
}

int64_t& RetryBudget::BalanceOf(pb::WorkClass work_class,
                                const std::string& upstream) {
  const auto [it, inserted] =
      this->saved.try_emplace({upstream, static_cast<int>(work_class)},
                              this->options.initial_retries * kRetryCost);
  return it->second;
}

void RetryBudget::Forget(const std::string& upstream) {
  auto it = this->saved.lower_bound({upstream, 0});
  while (it != this->saved.end() && it->first.first == upstream) {
    it = this->saved.erase(it);
  }
}

Duration RetryBudget::Backoff(uint32_t retries) {
  const int64_t doubled = this->options.first_backoff.count()
                          << std::min(retries, kMaxDoublings);
  const int64_t limit = std::min(doubled, this->options.max_backoff.count());
  // Jitter over the upper half spreads the retries of one failure.
  return Duration(this->rng.Between(limit / 2, limit));
}

}  // namespace fuchsiadrum::request
