#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "schema/peer.pb.h"

namespace fuchsiadrum::daemon {

/// Carries the answer of one request from the upstream thread to the front
/// thread without passing the control thread. Bytes of any attempt but the
/// current one are dropped. Memory is bounded: the writer pauses when more
/// than `limit` bytes wait, so at most one read above the limit is held.
class AnswerPipe {
 public:
  explicit AnswerPipe(size_t max_waiting) : limit(max_waiting) {}

  enum class PushResult {
    kAccepted,
    kFull,   // accepted, but the writer has to pause until WhenRoom
    kStale,  // dropped: another attempt is current, or the caller is gone
  };

  /// Control: makes this attempt the current one.
  void BeginAttempt(uint32_t new_attempt);

  /// Upstream: adds bytes of a streamed answer.
  PushResult Push(uint32_t from_attempt, std::string_view bytes);
  /// Upstream: sets the whole answer of a request that is not streamed.
  void SetWhole(uint32_t from_attempt, pb::StoredAnswer answer);
  /// Upstream: calls `resume` once, in any thread, when there is room again or
  /// the pipe was closed.
  void WhenRoom(std::function<void()> resume);
  /// True if bytes of a streamed answer may have reached the caller.
  bool HasDelivered() const;

  /// Front: called in the writer's thread when bytes wait after Take had
  /// returned none.
  void SetWake(std::function<void()> wake_reader);
  /// Front: takes at most `max_bytes` waiting bytes; empty if there are none.
  std::string Take(size_t max_bytes);
  /// Front: takes the whole answer of the current attempt, if there is one.
  std::optional<pb::StoredAnswer> TakeWhole();
  /// Front: attempt that is current now.
  uint32_t Attempt() const;
  /// Front: the caller is gone; nothing is kept any more.
  void Close();

 private:
  size_t limit;
  mutable std::mutex mutex;
  uint32_t attempt = 0;
  std::string waiting;
  std::optional<pb::StoredAnswer> whole;
  bool reader_idle = true;
  bool delivered = false;
  bool closed = false;
  std::function<void()> wake;
  std::function<void()> on_room;
};

}  // namespace fuchsiadrum::daemon
