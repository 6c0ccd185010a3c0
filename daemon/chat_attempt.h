#pragma once

#include "daemon/chat_answer.h"
#include "daemon/sse_parser.h"
#include "daemon/upstream_attempt.h"

namespace fuchsiadrum::daemon {

/// A chat completion at a model engine, always read as a stream.
class ChatAttempt : public UpstreamAttempt {
 public:
  ChatAttempt(DispatchOrder dispatch, const AttemptLimits& attempt_limits,
              std::shared_ptr<ByteBudget> answer_memory,
              ConnectionPool& connection_pool, OnEvent event_handler);

 protected:
  std::string Text() const override;
  bool MayReuseConnection() const override { return true; }
  void OnHead() override;
  void OnBody() override;

 private:
  void ReadStream();
  void OnPiece(std::string_view piece, bool last);
  void Complete(bool last);
  void ReadRest();
  bool Deliver(const std::string& relay);
  /// Counts what is held of the answer. False: it cannot be held whole. A
  /// streamed answer goes on, but is no longer kept for a repeat.
  bool HoldPiece();

  ChatAnswer answer;
  SseParser parser;
  bool done = false;
  /// An event was malformed or reported an error.
  bool failed = false;
};

}  // namespace fuchsiadrum::daemon
