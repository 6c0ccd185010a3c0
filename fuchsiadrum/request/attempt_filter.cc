#include "fuchsiadrum/request/attempt_filter.h"

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::request {

bool AttemptFilter::Begin(uint32_t next, bool resumes) {
  // A number that does not grow would let in bytes of an older attempt.
  if (this->attempt && next <= *this->attempt) return false;
  if (this->state == StreamState::kComplete) return false;
  // A second start would repeat or mix what the caller has already seen.
  if (this->delivered > 0 && !resumes) return false;

  this->attempt = next;
  this->state = StreamState::kOpen;
  return true;
}

std::vector<std::string> AttemptFilter::OnChunk(const AnswerChunk& chunk) {
  const bool mine = this->state == StreamState::kOpen &&
                    chunk.attempt == this->attempt &&
                    chunk.request_id == this->request_id;
  if (!mine) {
    ++this->dropped;
    return {};
  }

  if (chunk.first_token > this->delivered) {
    this->state = StreamState::kCut;
    return {};
  }

  // Tokens that were passed on before are a repetition or a resumed overlap.
  const uint64_t known = this->delivered - chunk.first_token;
  std::vector<std::string> fresh;
  for (uint64_t i = known; i < chunk.tokens.size(); ++i) {
    fresh.push_back(chunk.tokens[i]);
  }
  if (fresh.empty() && !chunk.tokens.empty()) ++this->dropped;
  this->delivered += fresh.size();

  if (chunk.end && chunk.first_token + chunk.tokens.size() == this->delivered) {
    this->state = StreamState::kComplete;
  }
  return fresh;
}

void AttemptFilter::OnClosed(uint32_t closed) {
  if (closed != this->attempt || this->state != StreamState::kOpen) return;
  this->state = StreamState::kCut;
  FD_ASSERT(!this->IsComplete(), "request: a cut stream is not complete");
}

}  // namespace fuchsiadrum::request
