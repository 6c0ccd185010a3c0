#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "daemon/answer_pipe.h"
#include "fuchsiadrum/node/request_events.h"

namespace fuchsiadrum::daemon {

/// A caller's request as front, control and upstream thread share it. All but
/// the pipe and the time stamps is constant after the front has made it.
struct CallerRequest {
  explicit CallerRequest(size_t stream_buffer_bytes)
      : pipe(stream_buffer_bytes) {}

  node::RequestStart start;
  /// A chat completion; false: a call of a plain service.
  bool chat = false;
  /// The caller wants server-sent events.
  bool stream = false;
  /// The caller wants the usage at the end of the stream.
  bool include_usage = false;
  /// Service: the body. Chat: the caller's JSON object without its closing
  /// brace and without max_tokens, stream and stream_options, which the
  /// upstream client appends.
  std::string body;
  std::string content_type;

  AnswerPipe pipe;
  /// Time stamps for the added time to first token; 0: not yet.
  std::atomic<int64_t> accepted_us{0};
  std::atomic<int64_t> sent_us{0};
  std::atomic<int64_t> first_byte_us{0};
};

using CallerRequestPtr = std::shared_ptr<CallerRequest>;

}  // namespace fuchsiadrum::daemon
