#include "bench/requests_record.h"

namespace fuchsiadrum::bench::requests {

std::string_view OutcomeText(node::Outcome outcome) {
  switch (outcome) {
    case node::Outcome::kComplete:
      return "complete";
    case node::Outcome::kNotRun:
      return "not-run";
    case node::Outcome::kUnknown:
      return "unknown";
    case node::Outcome::kFailed:
      return "failed";
  }
  return "invalid";
}

std::string TokenOf(const CallSpec& call, const std::string& content,
                    int index) {
  return std::to_string(call.id) + "|" + content + "|" + std::to_string(index) +
         "|" + std::to_string(call.length);
}

void RunRecord::Violate(const std::string& rule, const std::string& text) {
  if (this->violations.empty() && this->on_first_violation) {
    this->on_first_violation();
  }
  this->violations.push_back({rule, text});
}

void RunRecord::OnRun(const CallSpec& call, const std::string& request_id) {
  std::set<std::string>& requests = this->runs[call.id];
  const std::string name = "call " + std::to_string(call.id);
  if (!call.idempotent && !requests.empty()) {
    ++this->double_runs;
    this->Violate("double_runs", name + " ran as " + *requests.begin() +
                                     " and again as " + request_id);
  }
  if (this->not_run_requests.contains(request_id)) {
    ++this->false_not_run;
    this->Violate("false_not_run",
                  request_id + " ran after it was answered not-run");
  }
  requests.insert(request_id);
  this->ran_requests.insert(request_id);
}

void RunRecord::OnReply(const CallSpec& call, const Reply& reply) {
  ++this->replies;
  switch (reply.outcome) {
    case node::Outcome::kComplete:
      ++this->complete_replies;
      this->CheckWhole(call, reply);
      this->resolved.insert(call.id);
      return;
    case node::Outcome::kNotRun:
      ++this->not_run_replies;
      this->not_run_requests.insert(reply.request_id);
      if (this->ran_requests.contains(reply.request_id)) {
        ++this->false_not_run;
        this->Violate("false_not_run",
                      reply.request_id + " was answered not-run but ran");
      }
      if (!call.idempotent && this->HasRun(call.id)) ++this->not_run_after_run;
      return;
    case node::Outcome::kUnknown:
      ++(reply.in_progress ? this->in_progress_replies : this->unknown_replies);
      this->unknown.insert(call.id);
      return;
    case node::Outcome::kFailed:
      ++this->failed_replies;
      if (!call.idempotent) this->resolved.insert(call.id);
      return;
  }
}

void RunRecord::CheckWhole(const CallSpec& call, const Reply& reply) {
  if (!this->HasRun(call.id)) {
    this->Violate("answer_without_run", reply.request_id);
  }
  if (reply.body_gone) return;

  // All tokens must come from one attempt of one request of this call.
  const bool whole = static_cast<int>(reply.tokens.size()) == call.length;
  std::string content;
  bool matched = whole;
  for (size_t i = 0; matched && i < reply.tokens.size(); ++i) {
    const std::string& token = reply.tokens[i];
    if (i == 0) {
      const size_t from = token.find('|') + 1;
      content = token.substr(from, token.find('|', from) - from);
    }
    matched = token == TokenOf(call, content, static_cast<int>(i));
  }
  if (matched) return;

  const std::string first = reply.tokens.empty() ? "" : reply.tokens.front();
  const std::string last = reply.tokens.empty() ? "" : reply.tokens.back();
  this->Violate(whole ? "mixed_answer" : "cut_answer",
                reply.request_id + " was answered " + first + " .. " + last);
}

void RunRecord::OnBill(const CallSpec& call, const std::string& request_id,
                       bool billed_here) {
  if (!billed_here) {
    ++this->not_billed;
    return;
  }
  ++this->billed;
  const bool again = !this->billed_requests.insert(request_id).second;
  int& count = this->bills[call.id];
  // Without a key each request is a call of its own.
  count = call.key.empty() ? 0 : count + 1;
  if (!again && count <= 1) return;
  ++this->double_bills;
  this->Violate("double_bills", "call " + std::to_string(call.id) +
                                    " was billed again as " + request_id);
}

}  // namespace fuchsiadrum::bench::requests
