#include "daemon/chat_answer.h"

#include "daemon/problem.h"
#include "fuchsiadrum/core/bounded_json.h"
#include "fuchsiadrum/core/json_number.h"

namespace fuchsiadrum::daemon {
namespace {

using nlohmann::json;

/// Larger counts of one request are no report; sums of them would overflow.
constexpr WholeRange kTokensReported = {.max = 1000000000};

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EventText(std::string_view data) {
  std::string out = "data: ";
  out.append(data).append("\n\n");
  return out;
}

// The first choice of a chunk; null if there is none.
const json& ChoiceOf(const json& chunk) {
  static const json kNone;
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return kNone;
  }
  return choices->front();
}

// True for an engine's report that it failed within the stream.
bool IsError(std::string_view data) {
  // Quotes in the text of an answer are escaped, so most events are not parsed.
  if (data.find("\"error\"") == std::string_view::npos) return false;
  const json chunk = ParseBoundedJson(data);
  if (!chunk.is_object()) return false;
  const auto error = chunk.find("error");
  return error != chunk.end() && !error->is_null();
}

bool HasText(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() &&
         !found->get_ref<const std::string&>().empty();
}

}  // namespace

ChatAnswer::ChatAnswer(const CallerRequest& caller_request, size_t max_kept)
    : request(caller_request), keep_bytes(max_kept) {}

ChatAnswer::Event ChatAnswer::OnData(std::string_view data,
                                     std::string& relay) {
  if (data == "[DONE]") {
    this->Keep("data: [DONE]\n\n");
    return Event::kDone;
  }
  if (IsError(data)) return Event::kError;

  // Most events carry one token and are relayed as they are, unparsed.
  const bool plain =
      this->request.stream && data.find("\"usage\"") == std::string_view::npos;
  if (plain) return this->Relay(data, relay);

  json chunk = ParseBoundedJson(data);
  if (!chunk.is_object()) return Event::kMalformed;
  this->TakeUsage(chunk);
  if (!this->request.stream) return this->Assemble(chunk, data.size());

  // The usage that this daemon asked for is not what the caller asked for.
  if (!this->request.include_usage) {
    chunk.erase("usage");
    if (ChoiceOf(chunk).is_null()) return Event::kOther;
    return this->Relay(Dump(chunk), relay);
  }
  return this->Relay(data, relay);
}

ChatAnswer::Event ChatAnswer::Relay(std::string_view data, std::string& relay) {
  if (!data.starts_with('{') || !data.ends_with('}')) return Event::kMalformed;
  const std::string text = EventText(data);
  relay += text;
  this->Keep(text);

  const size_t at = data.find("\"content\":");
  if (at == std::string_view::npos) return Event::kOther;
  const std::string_view value = data.substr(at + 10);
  if (value.starts_with("\"\"") || value.starts_with("null")) {
    return Event::kOther;
  }
  this->streamed += Tokens(1);
  return Event::kToken;
}

ChatAnswer::Event ChatAnswer::Assemble(const json& chunk, size_t chunk_bytes) {
  if (this->first_chunk.is_null()) this->first_chunk = chunk;
  const json& choice = ChoiceOf(chunk);
  if (choice.is_null()) return Event::kOther;
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    this->finish_reason = choice["finish_reason"];
  }

  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) return Event::kOther;
  if (HasText(*delta, "role")) this->role = (*delta)["role"];
  if (delta->contains("tool_calls")) {
    // Parts of tool calls come as they are; callers that need them whole use
    // a stream.
    this->tool_call_bytes += chunk_bytes;
    if (this->tool_calls.is_null()) this->tool_calls = json::array();
    for (const json& call : (*delta)["tool_calls"]) {
      this->tool_calls.push_back(call);
    }
  }
  if (!HasText(*delta, "content")) return Event::kOther;
  this->content += (*delta)["content"].get_ref<const std::string&>();
  this->streamed += Tokens(1);
  return Event::kToken;
}

void ChatAnswer::TakeUsage(const json& chunk) {
  const auto found = chunk.find("usage");
  if (found == chunk.end() || !found->is_object()) return;
  int64_t total = 0;
  for (const char* key : {"prompt_tokens", "completion_tokens"}) {
    const auto count = found->find(key);
    // A report that cannot be right is no report.
    if (count == found->end()) return;
    const auto tokens = WholeNumber(*count, kTokensReported);
    if (!tokens) return;
    total += *tokens;
  }
  this->usage = *found;
  this->used = Tokens(total);
}

void ChatAnswer::StopKeeping() {
  this->overflow = true;
  this->kept_stream = std::string();
}

void ChatAnswer::Keep(std::string_view bytes) {
  if (!this->request.stream || this->keep_bytes == 0) return;
  if (this->kept_stream.size() + bytes.size() > this->keep_bytes) {
    this->StopKeeping();
  }
  if (!this->overflow) this->kept_stream.append(bytes);
}

std::optional<pb::StoredAnswer> ChatAnswer::Whole() const {
  if (this->overflow || (this->request.stream && this->keep_bytes == 0)) {
    return std::nullopt;
  }
  pb::StoredAnswer out;
  out.set_status(200);
  out.set_outcome(OutcomeText(node::Outcome::kComplete));
  if (this->request.stream) {
    out.set_content_type("text/event-stream");
    out.set_body(this->kept_stream);
    return out;
  }

  json message = {{"role", this->role}, {"content", this->content}};
  if (!this->tool_calls.is_null()) message["tool_calls"] = this->tool_calls;
  json choice = {{"index", 0}, {"finish_reason", this->finish_reason}};
  choice["message"] = std::move(message);
  json body = {{"object", "chat.completion"}};
  for (const char* key : {"id", "created", "model", "system_fingerprint"}) {
    if (this->first_chunk.is_object() && this->first_chunk.contains(key)) {
      body[key] = this->first_chunk[key];
    }
  }
  if (!body.contains("model")) body["model"] = this->request.start.model;
  body["choices"] = json::array();
  body["choices"].push_back(std::move(choice));
  if (!this->usage.is_null()) body["usage"] = this->usage;
  out.set_content_type("application/json");
  out.set_body(Dump(body));
  return out;
}

}  // namespace fuchsiadrum::daemon
