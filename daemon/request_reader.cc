#include "daemon/request_reader.h"

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

#include "fuchsiadrum/core/bounded_json.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/core/json_number.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServices = "/services/";
constexpr std::string_view kBearer = "Bearer ";
// A token of the common vocabularies covers at least three bytes on average;
// the eight tokens cover the role and the separators of a message.
constexpr int64_t kBytesPerToken = 3;
constexpr int64_t kTokensPerMessage = 8;
// Prefixes are hashed from the start each time; 64 blocks bound this to about
// 1 MB of hashing for a request.
constexpr size_t kBlockBytes = 512;
constexpr size_t kMaxBlocks = 64;
constexpr WholeRange kDeadlineMs = {.min = std::numeric_limits<int64_t>::min(),
                                    .max = 86400000};

pb::WorkClass WorkClassOf(const std::string& name) {
  static const std::map<std::string, pb::WorkClass> kClasses = {
      {"draw-check", pb::DRAW_CHECK},
      {"booking", pb::BOOKING},
      {"contract-draft", pb::CONTRACT_DRAFT},
      {"quick-question", pb::QUICK_QUESTION},
      {"suggestion", pb::SUGGESTION},
      {"letter", pb::LETTER}};
  const auto found = kClasses.find(name);
  return found == kClasses.end() ? pb::WORK_CLASS_UNSPECIFIED : found->second;
}

// Only visible ASCII is allowed in a key, so that it can be logged and hashed
// in the same form everywhere.
bool IsVisible(const std::string& text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

// Text of a message's content, which is a text or a list of parts.
std::optional<std::string> ContentOf(const nlohmann::json& message) {
  const auto content = message.find("content");
  if (content == message.end() || content->is_null()) return std::string();
  if (content->is_string()) return content->get<std::string>();
  if (!content->is_array()) return std::nullopt;
  std::string out;
  for (const auto& part : *content) {
    if (!part.is_object()) return std::nullopt;
    const auto text = part.find("text");
    out += text != part.end() && text->is_string() ? text->get<std::string>()
                                                   : part.dump();
  }
  return out;
}

// Bytes of structured values (tools, tool calls, schemas) that an engine also
// renders into the prompt.
int64_t StructuredBytes(const nlohmann::json& object, const char* without) {
  int64_t bytes = 0;
  for (const auto& [key, value] : object.items()) {
    if (!value.is_structured() || key == without) continue;
    bytes += static_cast<int64_t>(value.dump().size());
  }
  return bytes;
}

}  // namespace

CallerRequestPtr RequestReader::Read(const HttpRequest& request,
                                     TimePoint now) {
  auto out =
      std::make_shared<CallerRequest>(this->settings.stream_buffer_bytes());
  out->accepted_us = now.us;
  out->content_type = request.Header("Content-Type");
  const std::string path = request.target.substr(0, request.target.find('?'));

  if (path != kChatPath && !path.starts_with(kServices)) {
    this->Refuse(404, "unknown-path", "there is no such path");
    return nullptr;
  }
  if (path == kChatPath && request.method != "POST") {
    this->Refuse(405, "bad-method", "the path takes POST only");
    return nullptr;
  }
  if (!this->ReadHeaders(request, now, *out)) return nullptr;
  const bool read = path == kChatPath ? this->ReadChat(request, *out)
                                      : this->ReadService(request, *out);
  return read ? out : nullptr;
}

bool RequestReader::ReadHeaders(const HttpRequest& request, TimePoint now,
                                CallerRequest& out) {
  if (request.HeaderCount("Authorization") > 1 ||
      request.HeaderCount("Idempotency-Key") > 1) {
    return this->Refuse(400, "repeated-header",
                        "Authorization and Idempotency-Key may be sent once");
  }

  const std::string authorization = request.Header("Authorization");
  if (!authorization.starts_with(kBearer) ||
      authorization.size() == kBearer.size()) {
    return this->Refuse(401, "missing-key",
                        "an Authorization: Bearer header is needed");
  }
  out.start.bearer = authorization.substr(kBearer.size());

  if (request.HeaderCount("Idempotency-Key") == 1) {
    out.start.idempotency_key = request.Header("Idempotency-Key");
    const size_t size = out.start.idempotency_key.size();
    if (size == 0 || size > this->settings.max_key_bytes() ||
        !IsVisible(out.start.idempotency_key)) {
      return this->Refuse(400, "bad-idempotency-key",
                          "Idempotency-Key needs 1 to " +
                              std::to_string(this->settings.max_key_bytes()) +
                              " visible characters");
    }
  }

  const std::string work_class = request.Header("X-Work-Class");
  out.start.work_class = WorkClassOf(work_class);
  if (!work_class.empty() &&
      out.start.work_class == pb::WORK_CLASS_UNSPECIFIED) {
    return this->Refuse(400, "bad-work-class", "X-Work-Class is unknown");
  }
  out.start.body_digest = Sha256(request.body);
  return this->ReadDeadline(request, now, out);
}

bool RequestReader::ReadDeadline(const HttpRequest& request, TimePoint now,
                                 CallerRequest& out) {
  int64_t deadline_ms = this->settings.default_deadline_ms();
  if (request.HeaderCount("X-Request-Deadline-Ms") > 0) {
    const auto ms =
        ParseWhole(request.Header("X-Request-Deadline-Ms"), kDeadlineMs);
    if (!ms) {
      return this->Refuse(400, "bad-deadline",
                          "X-Request-Deadline-Ms is not a number of "
                          "milliseconds up to one day");
    }
    deadline_ms = *ms;
    if (deadline_ms <= 0) {
      return this->Refuse(400, "deadline-passed", "the deadline has passed");
    }
  }
  out.start.deadline = now + std::chrono::milliseconds(deadline_ms);
  return true;
}

bool RequestReader::ReadService(const HttpRequest& request,
                                CallerRequest& out) {
  const std::string rest = request.target.substr(kServices.size());
  const size_t end = rest.find_first_of("/?");
  out.start.service = rest.substr(0, end);
  out.start.path = end == std::string::npos ? "/" : rest.substr(end);
  if (out.start.path.starts_with('?')) out.start.path.insert(0, "/");
  if (out.start.service.empty()) {
    return this->Refuse(404, "unknown-path", "the service's name is missing");
  }
  out.start.method = request.method;
  out.body = request.body;
  return true;
}

bool RequestReader::ReadChat(const HttpRequest& request, CallerRequest& out) {
  out.chat = true;
  auto body = ParseBoundedJson(request.body);
  if (!body.is_object()) {
    return this->Refuse(400, "bad-json", "the body is not a JSON object");
  }
  if (!this->ReadChatOptions(body, out) || !this->ReadMessages(body, out)) {
    return false;
  }

  // The upstream client appends its own values of these.
  for (const char* key :
       {"max_tokens", "max_completion_tokens", "stream", "stream_options"}) {
    body.erase(key);
  }
  out.body = body.dump();
  out.body.pop_back();
  return true;
}

bool RequestReader::ReadChatOptions(nlohmann::json& body, CallerRequest& out) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty()) {
    return this->Refuse(400, "bad-body", "model is missing");
  }
  out.start.model = model->get<std::string>();
  if (body.value("n", nlohmann::json(1)) != 1) {
    return this->Refuse(400, "bad-body", "n must be 1");
  }

  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    const auto limit = body.find(key);
    if (limit == body.end() || limit->is_null()) continue;
    constexpr WholeRange kOutput = {.min = 1,
                                    .max = std::numeric_limits<int32_t>::max()};
    const auto tokens = limit->is_number_integer()
                            ? WholeNumber(*limit, kOutput)
                            : std::nullopt;
    if (!tokens) {
      return this->Refuse(400, "bad-body",
                          std::string(key) + " is not a positive number");
    }
    out.start.max_output = Tokens(*tokens);
  }

  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return this->Refuse(400, "bad-body", "stream is neither true nor false");
    }
    out.stream = stream->get<bool>();
  }
  const auto options = body.find("stream_options");
  if (options != body.end() && options->is_object()) {
    const auto usage = options->find("include_usage");
    out.include_usage =
        usage != options->end() && usage->is_boolean() && usage->get<bool>();
  }
  return true;
}

bool RequestReader::ReadMessages(const nlohmann::json& body,
                                 CallerRequest& out) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return this->Refuse(400, "bad-body", "messages is missing or empty");
  }

  std::string prompt;
  int64_t bytes = StructuredBytes(body, "messages");
  for (const auto& message : *messages) {
    const auto content =
        message.is_object() ? ContentOf(message) : std::nullopt;
    if (!content) {
      return this->Refuse(400, "bad-body", "a message is malformed");
    }
    prompt += *content + "\n";
    bytes += StructuredBytes(message, "content");
  }

  bytes += static_cast<int64_t>(prompt.size());
  out.start.prompt_bound =
      Tokens((bytes + kBytesPerToken - 1) / kBytesPerToken +
             kTokensPerMessage * static_cast<int64_t>(messages->size()));
  const std::string_view text = prompt;
  const size_t blocks = std::min(text.size() / kBlockBytes, kMaxBlocks);
  for (size_t i = 1; i <= blocks; ++i) {
    out.start.prefix_hashes.push_back(Hash64(text.substr(0, i * kBlockBytes)));
  }
  return true;
}

bool RequestReader::Refuse(int status, const char* kind,
                           const std::string& reason) {
  this->fault = {status, kind, reason};
  return false;
}

}  // namespace fuchsiadrum::daemon
