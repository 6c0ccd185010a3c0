#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/caller_request.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::daemon {

/// Follows the events of one chat completion: counts tokens, finds the usage
/// and the end mark, and assembles what the caller or a retry needs.
class ChatAnswer {
 public:
  /// `keep` bounds the bytes of the whole answer; with 0 a stream is not kept.
  ChatAnswer(const CallerRequest& caller_request, size_t max_kept);

  enum class Event { kToken, kOther, kDone, kMalformed, kError };

  /// Takes the data of one event. The bytes that a streaming caller has to get
  /// are appended to `relay`.
  Event OnData(std::string_view data, std::string& relay);

  /// Drops what is kept of a stream; Whole then returns nullopt.
  void StopKeeping();

  /// Tokens that the upstream reported; nullopt: none reported.
  std::optional<Tokens> Used() const { return this->used; }
  /// Bytes that are held for the whole answer. Only those of a stream are
  /// bounded here; the caller has to end another answer that grows too long.
  size_t HeldBytes() const {
    return this->content.size() + this->tool_call_bytes +
           this->kept_stream.size();
  }
  /// Events with content.
  Tokens Streamed() const { return this->streamed; }
  /// After kDone: the whole answer; nullopt if it was not kept or too long.
  std::optional<pb::StoredAnswer> Whole() const;

 private:
  Event Relay(std::string_view data, std::string& relay);
  Event Assemble(const nlohmann::json& chunk, size_t chunk_bytes);
  void TakeUsage(const nlohmann::json& chunk);
  void Keep(std::string_view bytes);

  const CallerRequest& request;
  size_t keep_bytes;
  std::optional<Tokens> used;
  Tokens streamed;
  bool overflow = false;
  std::string kept_stream;
  // Parts of the whole completion of a caller without a stream.
  nlohmann::json first_chunk;
  nlohmann::json usage;
  nlohmann::json finish_reason;
  nlohmann::json tool_calls;
  /// Size of the events that brought tool calls.
  size_t tool_call_bytes = 0;
  std::string role = "assistant";
  std::string content;
};

}  // namespace fuchsiadrum::daemon
