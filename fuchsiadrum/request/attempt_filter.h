#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiadrum::request {

/// A piece of an answer as it came from an upstream.
struct AnswerChunk {
  std::string request_id;
  uint32_t attempt = 0;
  /// Index of the first token within the whole answer.
  uint64_t first_token = 0;
  std::vector<std::string> tokens;
  /// The explicit end marker came with or after these tokens.
  bool end = false;
};

/// State of a request's answer.
enum class StreamState {
  kIdle,      // no attempt has been sent
  kOpen,      // the present attempt may still send
  kComplete,  // the end marker came and no token is missing
  kCut,       // the present attempt ended without an end marker
};

/// Passes on the answer of the present attempt of one request, each token
/// once and in order. Pieces of other requests and older attempts are dropped.
class AttemptFilter {
 public:
  explicit AttemptFilter(std::string request_id)
      : request_id(std::move(request_id)) {}

  /// A new attempt was sent; older ones are not listened to any more. With
  /// `resumes` the engine continues an answer whose delivered part it knows;
  /// without, false once a token was delivered (no second start).
  bool Begin(uint32_t attempt, bool resumes);
  /// Tokens of the chunk to pass on now. A gap cuts the attempt.
  std::vector<std::string> OnChunk(const AnswerChunk& chunk);
  /// The connection of an attempt ended or failed.
  void OnClosed(uint32_t attempt);

  StreamState State() const { return this->state; }
  /// True only after the end marker of the present attempt.
  bool IsComplete() const { return this->state == StreamState::kComplete; }
  /// Tokens passed on so far: where a resumed attempt has to continue.
  uint64_t Delivered() const { return this->delivered; }
  /// Chunks dropped because they were late, doubled or someone else's.
  uint64_t Dropped() const { return this->dropped; }

 private:
  std::string request_id;
  std::optional<uint32_t> attempt;
  StreamState state = StreamState::kIdle;
  uint64_t delivered = 0;
  uint64_t dropped = 0;
};

}  // namespace fuchsiadrum::request
