#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/node/request_events.h"
#include "schema/catalogue.pb.h"

namespace fuchsiadrum::bench::requests {

/// A call as a client means it; its retries share the key.
struct CallSpec {
  uint64_t id = 0;
  std::string organisation;
  std::string key;
  bool idempotent = false;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  /// Tokens of a whole answer.
  int length = 0;
};

/// Answer of a daemon to one request of a call.
struct Reply {
  std::string request_id;
  node::Outcome outcome = node::Outcome::kNotRun;
  std::string reason;
  /// kUnknown: another request of the key runs at this moment.
  bool in_progress = false;
  std::vector<std::string> tokens;
  /// The whole answer was evicted; only the outcome is known.
  bool body_gone = false;
};

/// Name of an outcome, for events and messages.
std::string_view OutcomeText(node::Outcome outcome);

/// A token of the fake upstreams: it names call, request, attempt, index and
/// length, so that a mixed or cut answer can be told from a whole one.
std::string TokenOf(const CallSpec& call, const std::string& content,
                    int index);

/// One broken invariant.
struct Violation {
  std::string rule;
  std::string text;
};

/// What really ran, what callers were told and what was billed, and the
/// comparison of the three.
class RunRecord {
 public:
  void OnCall(const CallSpec& call) { this->calls[call.id] = call; }
  /// An upstream began to run an attempt of a request.
  void OnRun(const CallSpec& call, const std::string& request_id);
  /// A daemon answered a request of a call.
  void OnReply(const CallSpec& call, const Reply& reply);
  /// A daemon decided the bill of a request.
  void OnBill(const CallSpec& call, const std::string& request_id,
              bool billed_here);
  /// Any other broken rule.
  void Violate(const std::string& rule, const std::string& text);

  /// True if a caller got a final outcome other than unknown.
  bool IsResolved(uint64_t call) const { return this->resolved.contains(call); }
  bool HasRun(uint64_t call) const { return this->runs.contains(call); }
  bool WasUnknown(uint64_t call) const { return this->unknown.contains(call); }
  const std::map<uint64_t, CallSpec>& Calls() const { return this->calls; }

  std::vector<Violation> violations;
  /// Called at the first violation, to keep the events that led to it.
  std::function<void()> on_first_violation;
  int double_runs = 0;
  int double_bills = 0;
  int false_not_run = 0;
  int64_t replies = 0;
  int64_t unknown_replies = 0;
  int64_t in_progress_replies = 0;
  int64_t not_run_replies = 0;
  int64_t complete_replies = 0;
  int64_t failed_replies = 0;
  /// Requests refused as not run though an earlier one of the key had run.
  int64_t not_run_after_run = 0;
  int64_t billed = 0;
  int64_t not_billed = 0;

 private:
  void CheckWhole(const CallSpec& call, const Reply& reply);

  std::map<uint64_t, CallSpec> calls;
  /// Requests by call that an upstream ran.
  std::map<uint64_t, std::set<std::string>> runs;
  std::set<std::string> ran_requests;
  std::set<std::string> not_run_requests;
  std::map<uint64_t, int> bills;
  std::set<std::string> billed_requests;
  std::set<uint64_t> resolved;
  std::set<uint64_t> unknown;
};

}  // namespace fuchsiadrum::bench::requests
