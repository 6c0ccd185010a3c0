#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "schema/catalogue.pb.h"

namespace fuchsiadrum::request {

/// Options of a retry budget.
struct RetryBudgetOptions {
  /// Retries for each 100 first attempts at the same upstream and class.
  int percent = 10;
  /// Retries that may be saved up; bounds the burst after a quiet hour.
  int max_saved = 10;
  /// Retries that a budget starts with, before any first attempt.
  int initial_retries = 0;
  /// Retries of one request.
  uint32_t max_retries = 3;
  /// Backoff before the first retry; it doubles with each further one.
  Duration first_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(2);
};

/// Whether a failed attempt may be repeated, and why not.
enum class RetryVerdict {
  kRetry,
  kNotIdempotent,
  kDelivered,        // the caller has seen a part of the answer
  kDeadline,         // no time is left
  kTooManyAttempts,  // the request had its share
  kNoOtherUpstream,
  kBudget,  // the target upstream's budget is used up
};

/// Name of a verdict, for reasons and JSON.
std::string_view RetryVerdictName(RetryVerdict verdict);

/// What is known about a failed attempt.
struct RetryQuestion {
  bool idempotent = false;
  bool delivered = false;
  /// The next upstream can continue the answer after the delivered part; it
  /// may then be the one that failed.
  bool can_resume = false;
  /// Retries that the request has had.
  uint32_t retries = 0;
  TimePoint deadline;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  /// Upstream that failed, and the one that the router proposes; empty: none.
  std::string failed_upstream;
  std::string next_upstream;
};

/// Answer to a RetryQuestion.
struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kBudget;
  /// kRetry: how long to wait first.
  Duration backoff = Duration::zero();
};

/// Limits retries to a share of the first attempts for each class and target
/// upstream, so that retries cannot overload the upstreams that still work.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Rng rng)
      : options(options), rng(rng) {}

  /// A request was sent to an upstream for the first time.
  void OnFirstAttempt(pb::WorkClass work_class, const std::string& upstream);
  /// Decides on a retry; kRetry takes it from the budget.
  RetryDecision Decide(TimePoint now, const RetryQuestion& question);
  /// Forgets an upstream that left the catalogue.
  void Forget(const std::string& upstream);

 private:
  Duration Backoff(uint32_t retries);
  int64_t& BalanceOf(pb::WorkClass work_class, const std::string& upstream);

  RetryBudgetOptions options;
  Rng rng;
  /// Hundredths of a retry by upstream and class.
  std::map<std::pair<std::string, int>, int64_t> saved;
};

}  // namespace fuchsiadrum::request
