#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "standin/http_server.h"

namespace fuchsiadrum::standin {

/// Settings of the model engine stand-in.
struct EngineOptions {
  std::string name = "engine";
  std::vector<std::string> models = {"contract-drafter"};
  /// Decoding speed of one stream with an empty batch, tokens/s.
  double tokens_per_second = 400;
  /// Prompt tokens that are computed per second.
  double prefill_per_second = 20000;
  /// Streams that are decoded at once; more wait in the queue.
  uint32_t batch = 16;
  /// Prefix blocks that the cache keeps.
  uint32_t cache_blocks = 256;
  uint32_t load_lag_ms = 500;
  /// Refuses orders with an old fencing number.
  bool check_fencing = true;
};

/// A model engine: continuous batching, prefix cache, lagged load, late cache
/// events with gaps, orders, resume and cancel.
///
/// POST /v1/chat/completions (SSE); GET /v1/load; POST /v1/orders
/// {"fencing","models","version","role"}; GET /record; POST /fault
/// {"silent","leaving","cut_after_tokens","speed","extra_usage","no_usage",
///  "reject"}
class Engine : public Role {
 public:
  explicit Engine(EngineOptions options);

  asio::awaitable<void> Handle(Request request, Responder& out) override;

 private:
  struct Run {
    std::string request_id;
    std::string attempt;
    int64_t prompt_tokens = 0;
    int64_t completion_tokens = 0;
    bool finished = false;
  };
  struct LoadReport {
    int64_t at_ms = 0;
    nlohmann::json body;
  };

  asio::awaitable<void> HandleChat(const Request& request, Responder& out);
  asio::awaitable<void> StreamTokens(size_t run, int64_t first, int64_t limit,
                                     Responder& out);
  asio::awaitable<void> HandleOrder(const std::string& body, Responder& out);
  asio::awaitable<void> HandleFault(const std::string& body, Responder& out);
  size_t AddRun(const Request& request, int64_t prompt_tokens);
  nlohmann::json LastChunk(const std::string& id, size_t run,
                           int64_t limit) const;
  nlohmann::json Load();
  nlohmann::json Record() const;
  int64_t CachedTokens(const std::string& prompt);
  void AddCacheEvent(uint64_t block);
  double TokenSeconds() const;

  EngineOptions options;
  std::string version = "1";
  std::string role;
  uint64_t fencing = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  std::vector<Run> runs;
  std::list<uint64_t> cache;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache_index;
  std::deque<LoadReport> reports;
  /// The latest stored prefixes, and the sequence of the next event.
  std::deque<uint64_t> cache_events;
  uint64_t next_event = 0;
  bool silent = false;
  bool leaving = false;
  bool reject = false;
  bool no_usage = false;
  int64_t cut_after_tokens = -1;
  int64_t extra_usage = 0;
};

}  // namespace fuchsiadrum::standin
