#include "daemon/chat_attempt.h"

#include <utility>

#include "daemon/logging.h"
#include "daemon/problem.h"

namespace fuchsiadrum::daemon {
namespace {

using node::AttemptEventKind;

constexpr size_t kMaxEventBytes = 1U << 20U;
// The last chunk normally comes with the end mark; the connection is kept
// only if it does within this time.
constexpr Duration kRestTimeout = std::chrono::milliseconds(100);

size_t KeepBytes(const DispatchOrder& order, const AttemptLimits& limits) {
  const bool keep = !order.request->stream || order.action.keep_answer;
  return keep ? limits.max_answer_bytes : 0;
}

/// Why the answer cannot go on after the event; empty if it can.
std::string_view FaultOf(ChatAnswer::Event event) {
  switch (event) {
    case ChatAnswer::Event::kMalformed:
      return "is malformed";
    case ChatAnswer::Event::kError:
      return "reports an error";
    case ChatAnswer::Event::kToken:
    case ChatAnswer::Event::kOther:
    case ChatAnswer::Event::kDone:
      return {};
  }
  return {};
}

}  // namespace

ChatAttempt::ChatAttempt(DispatchOrder dispatch,
                         const AttemptLimits& attempt_limits,
                         std::shared_ptr<ByteBudget> answer_memory,
                         ConnectionPool& connection_pool, OnEvent event_handler)
    : UpstreamAttempt(std::move(dispatch), attempt_limits,
                      std::move(answer_memory), connection_pool,
                      std::move(event_handler)),
      answer(*this->order.request, KeepBytes(this->order, this->limits)),
      parser(kMaxEventBytes) {}

std::string ChatAttempt::Text() const {
  const CallerRequest& request = *this->order.request;
  const Tokens ordered = this->order.action.max_output;
  const Tokens limit = ordered > Tokens(0) ? ordered : request.start.max_output;

  std::string json = request.body;
  if (limit > Tokens(0)) {
    json += ",\"max_tokens\":" + std::to_string(limit.count);
  }
  json += ",\"stream\":true,\"stream_options\":{\"include_usage\":true}}";

  HttpHeaders headers = this->CommonHeaders();
  headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("Accept", "text/event-stream");
  return RequestText("POST", "/v1/chat/completions", this->order.action.address,
                     headers, json);
}

void ChatAttempt::OnHead() {
  // A refusal of the request itself is relayed whole.
  if (this->head.status != 200) return this->ReadWhole();
  if (!this->head.content_type.starts_with("text/event-stream")) {
    return this->End(AttemptEventKind::kBroken);
  }
  this->ReadStream();
}

void ChatAttempt::OnBody() {
  pb::StoredAnswer whole;
  whole.set_status(static_cast<uint32_t>(this->head.status));
  whole.set_content_type(this->head.content_type);
  whole.set_body(this->body);
  whole.set_outcome(OutcomeText(node::Outcome::kComplete));
  this->order.request->pipe.SetWhole(this->order.action.attempt, whole);
  this->result.used = Tokens(0);
  if (this->order.action.keep_answer) this->result.answer = std::move(whole);
  this->End(AttemptEventKind::kCompleted);
}

void ChatAttempt::ReadStream() {
  const Duration timeout = this->first_byte ? this->limits.idle_timeout
                                            : this->limits.first_byte_timeout;
  this->connection->ReadSome(
      timeout,
      [self = std::static_pointer_cast<ChatAttempt>(this->shared_from_this())](
          ErrorCode error, std::string_view piece, bool last) {
        if (error) return self->End(KindOf(error));
        self->OnPiece(piece, last);
      });
}

void ChatAttempt::OnPiece(std::string_view piece, bool last) {
  // All events of one read are relayed together.
  std::string relay;
  const bool fits = this->parser.Feed(piece, [&](std::string_view data) {
    if (this->done || this->failed) return;
    const ChatAnswer::Event event = this->parser.IsError()
                                        ? ChatAnswer::Event::kError
                                        : this->answer.OnData(data, relay);
    if (event == ChatAnswer::Event::kToken) this->OnFirstByte();
    this->done = event == ChatAnswer::Event::kDone;
    const std::string_view fault = FaultOf(event);
    this->failed = !fault.empty();
    if (this->failed) this->LogFault(fault);
  });
  this->result.streamed = this->answer.Streamed();

  const bool go_on = this->Deliver(relay);
  if (!this->failed) this->failed = !this->HoldPiece();
  if (!fits) this->LogFault("has an event that is longer than it may be");
  if (this->failed || !fits) return this->End(AttemptEventKind::kBroken);
  if (this->done) return this->Complete(last);
  // The end of the connection is not the end mark.
  if (last) return this->End(AttemptEventKind::kBroken);
  if (go_on) this->ReadStream();
}

bool ChatAttempt::HoldPiece() {
  if (!this->order.request->stream) {
    return this->HoldAnswer(this->answer.HeldBytes());
  }
  if (!this->answer_bytes.Resize(this->answer.HeldBytes())) {
    this->answer.StopKeeping();
    this->answer_bytes.Resize(0);
  }
  return true;
}

bool ChatAttempt::Deliver(const std::string& relay) {
  if (relay.empty()) return true;
  AnswerPipe& pipe = this->order.request->pipe;
  const auto result = pipe.Push(this->order.action.attempt, relay);
  if (result != AnswerPipe::PushResult::kFull || this->done) return true;

  // The caller reads slowly: the upstream waits until there is room again.
  pipe.WhenRoom(
      [weak = this->weak_from_this(), executor = this->pool.Executor()] {
        asio::post(executor, [weak] {
          const auto self = std::static_pointer_cast<ChatAttempt>(weak.lock());
          if (self && self->on_event) self->ReadStream();
        });
      });
  return false;
}

void ChatAttempt::Complete(bool last) {
  this->result.used = this->answer.Used();
  const auto whole = this->answer.Whole();
  if (!this->order.request->stream) {
    // An answer that is too long to be held cannot be given whole.
    if (!whole) return this->End(AttemptEventKind::kBroken);
    this->order.request->pipe.SetWhole(this->order.action.attempt, *whole);
  }
  if (this->order.action.keep_answer && whole) this->result.answer = *whole;

  if (last) return this->End(AttemptEventKind::kCompleted);
  const OnEvent ended = std::exchange(this->on_event, nullptr);
  ended(this->Event(AttemptEventKind::kCompleted));
  this->ReadRest();
}

void ChatAttempt::ReadRest() {
  this->connection->ReadSome(
      kRestTimeout,
      [self = std::static_pointer_cast<ChatAttempt>(this->shared_from_this())](
          ErrorCode error, std::string_view piece, bool last) {
        if (error || !piece.empty() || !last) {
          return self->connection->Close();
        }
        self->GiveConnection();
      });
}

}  // namespace fuchsiadrum::daemon
