#include "standin/engine.h"

#include <algorithm>
#include <chrono>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::standin {
namespace {

constexpr size_t kBlockBytes = 512;
constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kDefaultOutput = 64;
/// Cache events in a report; a reader that polls too seldom sees a gap.
constexpr size_t kReportedEvents = 64;
constexpr std::chrono::milliseconds kQueueStep(1);

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string PromptOf(const nlohmann::json& body) {
  std::string prompt;
  for (const auto& message : body.value("messages", nlohmann::json::array())) {
    prompt += message.value("content", "");
    prompt.push_back('\n');
  }
  return prompt;
}

std::string Event(const nlohmann::json& data) {
  return "data: " + data.dump() + "\n\n";
}

nlohmann::json TokenChunk(const std::string& id, const std::string& word) {
  nlohmann::json choice = {{"index", 0}};
  choice["delta"] = {{"content", word}};
  nlohmann::json chunk = {{"id", id}, {"object", "chat.completion.chunk"}};
  chunk["choices"] = nlohmann::json::array({choice});
  return chunk;
}

std::string HeaderOf(const Request& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

}  // namespace

Engine::Engine(EngineOptions options) : options(std::move(options)) {}

asio::awaitable<void> Engine::Handle(Request request, Responder& out) {
  const Target target = ParseTarget(
      std::string_view(request.target().data(), request.target().size()));
  if (target.path == "/fault") {
    co_await this->HandleFault(request.body(), out);
    co_return;
  }
  if (target.path == "/record") {
    co_await out.SendJson(200, this->Record());
    co_return;
  }

  while (this->silent) {
    co_await out.Sleep(kQueueStep);
  }
  out.NameRequest(request);
  if (this->leaving) out.Set("X-Leaving", "true");
  // The check takes every co_await for the same statement.
  // NOLINTNEXTLINE(bugprone-branch-clone)
  if (target.path == "/v1/load") {
    co_await out.SendJson(200, this->Load());
  } else if (target.path == "/v1/orders") {
    co_await this->HandleOrder(request.body(), out);
  } else if (target.path == "/v1/chat/completions") {
    co_await this->HandleChat(request, out);
  } else {
    co_await out.SendJson(404, Field("error", "no such path"));
  }
}

asio::awaitable<void> Engine::HandleChat(const Request& request,
                                         Responder& out) {
  const auto body = nlohmann::json::parse(request.body(), nullptr, false);
  if (!body.is_object()) {
    co_await out.SendJson(400, Field("error", "malformed JSON"));
    co_return;
  }
  const std::string model = body.value("model", "");
  if (this->reject ||
      std::find(this->options.models.begin(), this->options.models.end(),
                model) == this->options.models.end()) {
    out.Set("X-Not-Run", "true");
    co_await out.SendJson(503, Field("error", "not run"));
    co_return;
  }

  // Wait for a slot of the batch.
  ++this->queued;
  while (this->running >= this->options.batch) {
    co_await out.Sleep(kQueueStep);
  }
  --this->queued;
  ++this->running;

  const std::string prompt = PromptOf(body);
  const int64_t prompt_tokens =
      static_cast<int64_t>(prompt.size()) / kBytesPerToken + 1;
  const size_t run = this->AddRun(request, prompt_tokens);
  const std::string resume = HeaderOf(request, "X-Resume-From");
  const int64_t first = resume.empty() ? 0 : std::stoll(resume);
  const int64_t limit = body.value("max_tokens", kDefaultOutput);

  // The slot is freed when the caller cancels by closing its connection.
  std::exception_ptr failure;
  try {
    const int64_t cached = this->CachedTokens(prompt);
    co_await out.Sleep(std::chrono::microseconds(static_cast<int64_t>(
        1e6 *
        static_cast<double>(std::max<int64_t>(0, prompt_tokens - cached)) /
        this->options.prefill_per_second)));
    co_await this->StreamTokens(run, first, limit, out);
  } catch (...) {
    failure = std::current_exception();
  }
  --this->running;
  if (failure) std::rethrow_exception(failure);
}

size_t Engine::AddRun(const Request& request, int64_t prompt_tokens) {
  this->runs.push_back({.request_id = HeaderOf(request, "X-Request-Id"),
                        .attempt = HeaderOf(request, "X-Attempt"),
                        .prompt_tokens = prompt_tokens});
  return this->runs.size() - 1;
}

asio::awaitable<void> Engine::StreamTokens(size_t run, int64_t first,
                                           int64_t limit, Responder& out) {
  co_await out.Begin(200, "text/event-stream");
  const std::string id = "chatcmpl-" + this->runs[run].request_id;

  for (int64_t i = first; i < limit; ++i) {
    co_await out.Sleep(std::chrono::microseconds(
        static_cast<int64_t>(1e6 * this->TokenSeconds())));
    while (this->silent) {
      co_await out.Sleep(kQueueStep);
    }
    if (this->cut_after_tokens >= 0 && i >= this->cut_after_tokens) {
      out.Abort();
      co_return;
    }
    this->runs[run].completion_tokens = i + 1;
    // Each word names its request, so that mixed-up answers can be found.
    const std::string word =
        "w" + std::to_string(i) + "-" + this->runs[run].request_id + " ";
    co_await out.Chunk(Event(TokenChunk(id, word)));
  }

  this->runs[run].finished = true;
  co_await out.Chunk(Event(this->LastChunk(id, run, limit)));
  co_await out.Chunk("data: [DONE]\n\n");
  co_await out.End();
}

nlohmann::json Engine::LastChunk(const std::string& id, size_t run,
                                 int64_t limit) const {
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
  choice["delta"] = nlohmann::json::object();
  nlohmann::json last = {{"id", id}, {"object", "chat.completion.chunk"}};
  last["choices"] = nlohmann::json::array({choice});
  if (!this->no_usage) {
    last["usage"] = {
        {"prompt_tokens", this->runs[run].prompt_tokens + this->extra_usage},
        {"completion_tokens", limit}};
  }
  return last;
}

asio::awaitable<void> Engine::HandleOrder(const std::string& body,
                                          Responder& out) {
  const auto order = nlohmann::json::parse(body, nullptr, false);
  if (!order.is_object()) {
    co_await out.SendJson(400, Field("error", "malformed JSON"));
    co_return;
  }
  const uint64_t number = order.value("fencing", uint64_t{0});
  if (this->options.check_fencing && number < this->fencing) {
    co_await out.SendJson(409, Field("fencing", this->fencing));
    co_return;
  }
  this->fencing = std::max(this->fencing, number);
  if (order.contains("models")) {
    this->options.models = order["models"].get<std::vector<std::string>>();
  }
  for (const auto& adapter : order.value("adapters", nlohmann::json::array())) {
    this->options.models.push_back(adapter.get<std::string>());
  }
  this->version = order.value("version", this->version);
  this->role = order.value("role", this->role);
  co_await out.SendJson(200, this->Load());
}

asio::awaitable<void> Engine::HandleFault(const std::string& body,
                                          Responder& out) {
  const auto fault = nlohmann::json::parse(body, nullptr, false);
  if (!fault.is_object()) {
    co_await out.SendJson(400, Field("error", "a JSON object is needed"));
    co_return;
  }
  this->silent = fault.value("silent", this->silent);
  this->leaving = fault.value("leaving", this->leaving);
  this->reject = fault.value("reject", this->reject);
  this->no_usage = fault.value("no_usage", this->no_usage);
  this->cut_after_tokens =
      fault.value("cut_after_tokens", this->cut_after_tokens);
  this->extra_usage = fault.value("extra_usage", this->extra_usage);
  this->options.tokens_per_second =
      fault.value("speed", this->options.tokens_per_second);
  co_await out.SendJson(200, Field("ok", true));
}

nlohmann::json Engine::Load() {
  const int64_t now = NowMs();
  nlohmann::json cached = nlohmann::json::array();
  for (const uint64_t block : this->cache_events) {
    cached.push_back(ToHex(std::string_view(
        reinterpret_cast<const char*>(&block), sizeof(block))));
  }
  nlohmann::json fresh = {
      {"running", this->running},
      {"queued", this->queued},
      {"tokens_per_second", this->options.tokens_per_second},
      {"models", this->options.models},
      {"version", this->version},
      {"role", this->role},
      {"leaving", this->leaving},
      {"cache_sequence", this->next_event - this->cache_events.size()},
      {"cached_prefixes", cached}};
  this->reports.push_back({now, std::move(fresh)});
  while (this->reports.size() > 1 &&
         this->reports[1].at_ms + this->options.load_lag_ms <= now) {
    this->reports.pop_front();
  }
  return this->reports.front().body;
}

nlohmann::json Engine::Record() const {
  nlohmann::json out = nlohmann::json::array();
  for (const Run& run : this->runs) {
    out.push_back({{"request_id", run.request_id},
                   {"attempt", run.attempt},
                   {"prompt_tokens", run.prompt_tokens},
                   {"completion_tokens", run.completion_tokens},
                   {"finished", run.finished}});
  }
  return {{"name", this->options.name}, {"runs", out}};
}

int64_t Engine::CachedTokens(const std::string& prompt) {
  int64_t cached = 0;
  bool all_cached = true;
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    const uint64_t block = Hash64(std::string_view(prompt).substr(0, end));
    const auto found = this->cache_index.find(block);
    if (found != this->cache_index.end()) {
      if (all_cached) cached = static_cast<int64_t>(end) / kBytesPerToken;
      this->cache.splice(this->cache.begin(), this->cache, found->second);
      continue;
    }
    all_cached = false;
    this->cache.push_front(block);
    this->cache_index[block] = this->cache.begin();
    this->AddCacheEvent(block);
    if (this->cache.size() > this->options.cache_blocks) {
      this->cache_index.erase(this->cache.back());
      this->cache.pop_back();
    }
  }
  return cached;
}

void Engine::AddCacheEvent(uint64_t block) {
  ++this->next_event;
  this->cache_events.push_back(block);
  if (this->cache_events.size() > kReportedEvents) {
    this->cache_events.pop_front();
  }
}

double Engine::TokenSeconds() const {
  // A fuller batch decodes each stream more slowly.
  const double share = static_cast<double>(this->running) /
                       static_cast<double>(this->options.batch);
  return (1.0 + share) / this->options.tokens_per_second;
}

}  // namespace fuchsiadrum::standin
