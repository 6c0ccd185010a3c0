#include "daemon/answer_pipe.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::daemon {

void AnswerPipe::BeginAttempt(uint32_t new_attempt) {
  const std::lock_guard lock(this->mutex);
  if (new_attempt <= this->attempt) return;
  this->attempt = new_attempt;
  this->whole.reset();
}

AnswerPipe::PushResult AnswerPipe::Push(uint32_t from_attempt,
                                        std::string_view bytes) {
  std::function<void()> wake_reader;
  PushResult result = PushResult::kAccepted;
  {
    const std::lock_guard lock(this->mutex);
    if (this->closed || from_attempt != this->attempt) {
      return PushResult::kStale;
    }
    this->waiting.append(bytes);
    this->delivered = true;
    if (this->waiting.size() >= this->limit) result = PushResult::kFull;
    if (this->reader_idle) {
      this->reader_idle = false;
      wake_reader = this->wake;
    }
  }
  if (wake_reader) wake_reader();
  return result;
}

void AnswerPipe::SetWhole(uint32_t from_attempt, pb::StoredAnswer answer) {
  const std::lock_guard lock(this->mutex);
  if (this->closed || from_attempt != this->attempt) return;
  this->whole = std::move(answer);
}

void AnswerPipe::WhenRoom(std::function<void()> resume) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->closed && this->waiting.size() >= this->limit) {
      this->on_room = std::move(resume);
      return;
    }
  }
  resume();
}

bool AnswerPipe::HasDelivered() const {
  const std::lock_guard lock(this->mutex);
  return this->delivered;
}

void AnswerPipe::SetWake(std::function<void()> wake_reader) {
  const std::lock_guard lock(this->mutex);
  this->wake = std::move(wake_reader);
}

std::string AnswerPipe::Take(size_t max_bytes) {
  std::string out;
  std::function<void()> resume;
  {
    const std::lock_guard lock(this->mutex);
    if (this->waiting.size() <= max_bytes) {
      out.swap(this->waiting);
    } else {
      out = this->waiting.substr(0, max_bytes);
      this->waiting.erase(0, max_bytes);
    }
    this->reader_idle = out.empty();
    if (this->waiting.size() < this->limit) {
      resume = std::exchange(this->on_room, nullptr);
    }
  }
  if (resume) resume();
  return out;
}

std::optional<pb::StoredAnswer> AnswerPipe::TakeWhole() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->whole, std::nullopt);
}

uint32_t AnswerPipe::Attempt() const {
  const std::lock_guard lock(this->mutex);
  return this->attempt;
}

void AnswerPipe::Close() {
  std::function<void()> resume;
  {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    this->waiting = std::string();
    this->whole.reset();
    this->wake = nullptr;
    resume = std::exchange(this->on_room, nullptr);
  }
  if (resume) resume();
}

}  // namespace fuchsiadrum::daemon
