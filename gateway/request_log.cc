#include "gateway/request_log.h"

#include <array>
#include <cstdio>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Name of the framing of the answer on the connection; empty before its head.
std::string_view FramingText(const HttpConnection& connection, bool has_head) {
  return has_head ? serving::AnswerFramingName(connection.Framing())
                  : std::string_view();
}

/// The parts of a prompt that other requests may share, in hexadecimal. The
/// last part is the request's own.
std::string SharedPartsText(const std::vector<serving::PromptPart>& parts) {
  constexpr size_t kMaxParts = 16;
  std::string text;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxParts; ++i) {
    std::array<char, 20> part{};
    std::snprintf(part.data(), part.size(), "%llx",
                  static_cast<unsigned long long>(parts[i].id));
    if (!text.empty()) text += ',';
    text += part.data();
  }
  return text;
}

}  // namespace

void RequestLog::OnInterimAnswer(const serving::UpstreamAnswer& answer,
                                 bool has_body) {
  this->core.Log().Write("upstream-interim-answer",
                         {{"id", this->active.request.id},
                          {"names", this->NamesOf(answer)},
                          {"upstream", this->history.LastUpstream()},
                          {"status", int64_t{answer.status}},
                          {"not_run", answer.not_executed},
                          {"has_body", has_body}});
}

void RequestLog::OnMismatchedAnswer(const serving::UpstreamAnswer& answer) {
  if (answer.not_executed) {
    this->core.Metrics().CountRefusal(this->NamesOf(answer));
  }
  this->core.Log().Write("mismatched-answer",
                         {{"id", this->active.request.id},
                          {"answered", answer.request_id},
                          {"upstream", this->history.LastUpstream()},
                          {"status", int64_t{answer.status}},
                          {"not_run", answer.not_executed}});
}

void RequestLog::OnRefusal(const serving::UpstreamAnswer& answer,
                           const HttpConnection& connection,
                           TimePoint sent_at) {
  const std::string_view names = this->NamesOf(answer);
  this->core.Metrics().CountRefusal(names);
  this->core.Log().Write(
      "upstream-refusal",
      {{"id", this->active.request.id},
       {"names", names},
       {"upstream", this->history.LastUpstream()},
       {"status", int64_t{answer.status}},
       {"exchange", static_cast<int64_t>(connection.Exchanges())},
       {"sent_whole", !connection.IsSending()},
       {"ms", ToMilliseconds(Now() - sent_at)}});
}

void RequestLog::OnBrokenAttempt(const HttpConnection& connection,
                                 bool has_head, int events, TimePoint sent_at) {
  this->core.Log().Write(
      "upstream-attempt-broken",
      {{"id", this->active.request.id},
       {"upstream", this->history.LastUpstream()},
       {"exchange", static_cast<int64_t>(connection.Exchanges())},
       {"sent_whole", !connection.IsSending()},
       {"has_head", has_head},
       {"framing", FramingText(connection, has_head)},
       {"events", int64_t{events}},
       {"parts", SharedPartsText(this->active.request.parts)},
       {"error", connection.LastError()},
       {"ms", ToMilliseconds(Now() - sent_at)}});
}

void RequestLog::OnExchangeEnd(const HttpConnection& connection) {
  this->OnMalformedAnswer(connection.Fault());
  if (connection.ExceededLimit() == AnswerLimit::kNone) return;
  const std::string_view name = AnswerLimitName(connection.ExceededLimit());
  this->core.Metrics().CountOversizedAnswer(name);
  this->core.Log().Write("upstream-answer-oversized",
                         {{"id", this->active.request.id},
                          {"upstream", this->history.LastUpstream()},
                          {"limit", name}});
}

void RequestLog::OnMalformedAnswer(serving::AnswerFault fault) {
  const bool is_malformed = fault != serving::AnswerFault::kNone &&
                            fault != serving::AnswerFault::kTooLong;
  if (!is_malformed) return;
  const std::string_view name = serving::AnswerFaultName(fault);
  const std::string_view upstream = this->history.LastUpstream();
  this->core.Metrics().CountMalformedAnswer(std::string(upstream), name);
  this->core.Log().Write("upstream-answer-malformed",
                         {{"id", this->active.request.id},
                          {"upstream", upstream},
                          {"fault", name}});
}

void RequestLog::OnUnprovenAnswer(const serving::UpstreamAnswer& answer,
                                  std::string_view reason) {
  this->core.Log().Write("upstream-answer-unproven",
                         {{"id", this->active.request.id},
                          {"upstream", this->history.LastUpstream()},
                          {"status", int64_t{answer.status}},
                          {"not_run", answer.not_executed},
                          {"reason", reason}});
}

std::string_view RequestLog::NamesOf(
    const serving::UpstreamAnswer& answer) const {
  const std::string& named = answer.request_id;
  if (named.empty()) return "no request";
  return named == this->active.request.id ? "this request" : "other request";
}

void RequestLog::OnEnd(int status, std::string_view outcome,
                       std::string_view reason, const RequestFigures& figures) {
  const ActiveRequest& ended = this->active;
  const std::string none;
  const std::string& route_name = ended.route ? ended.route->name : none;
  this->core.Metrics().CountRequest(route_name, outcome, status);
  this->core.Log().Write(
      "request",
      {{"id", ended.request.id},
       {"route", route_name},
       {"organisation", ended.organisation ? ended.organisation->name : none},
       {"config",
        static_cast<int64_t>(ended.config ? ended.config->version : 0)},
       {"status", static_cast<int64_t>(status)},
       {"outcome", outcome},
       {"reason", reason},
       {"upstreams", this->history.UpstreamsText()},
       {"outcomes", this->history.OutcomesText()},
       {"candidates", static_cast<int64_t>(figures.candidate_count)},
       {"prompt", ended.request.prompt_tokens.value_or(Tokens(0)).count},
       {"uncached", figures.uncached_tokens},
       {"expected_ms", figures.expected_ms},
       {"attempt_ms", figures.attempt_first_byte_ms},
       {"tokens", figures.reserved_tokens.count},
       {"events", static_cast<int64_t>(figures.events_relayed)},
       {"framing", figures.framing},
       {"version", figures.version},
       {"first_ms", figures.first_byte_ms},
       {"ms", ToMilliseconds(Now() - ended.arrived)}});
}

}  // namespace fuchsiadrum::gateway
