#include "daemon/upstream_attempt.h"

#include <utility>

#include "daemon/clock.h"
#include "daemon/logging.h"

namespace fuchsiadrum::daemon {

using node::AttemptEventKind;

UpstreamAttempt::UpstreamAttempt(DispatchOrder dispatch,
                                 const AttemptLimits& attempt_limits,
                                 std::shared_ptr<ByteBudget> answer_memory,
                                 ConnectionPool& connection_pool,
                                 OnEvent event_handler)
    : order(std::move(dispatch)),
      limits(attempt_limits),
      pool(connection_pool),
      memory(std::move(answer_memory)),
      answer_bytes(*this->memory),
      on_event(std::move(event_handler)) {}

void UpstreamAttempt::Start() {
  this->order.request->sent_us = Now().us;
  if (this->MayReuseConnection()) {
    this->connection = this->pool.Take(this->order.action.address);
    if (this->connection) return this->Send();
  }

  this->connection = this->pool.New();
  this->connection->Connect(this->order.action.address,
                            this->limits.connect_timeout,
                            [self = this->shared_from_this()](ErrorCode error) {
                              if (error) {
                                return self->End(AttemptEventKind::kNotSent);
                              }
                              self->Send();
                            });
}

void UpstreamAttempt::Send() {
  this->connection->Send(
      this->Text(), this->limits.first_byte_timeout,
      [self = this->shared_from_this()](ErrorCode error, size_t sent) {
        if (error && sent == 0) return self->End(AttemptEventKind::kNotSent);
        if (error) return self->End(KindOf(error));
        self->ReadHead();
      });
}

void UpstreamAttempt::ReadHead() {
  this->connection->ReadHead(this->limits.first_byte_timeout,
                             [self = this->shared_from_this()](
                                 ErrorCode error, const HttpHead& answer_head) {
                               if (error) return self->End(KindOf(error));
                               self->head = answer_head;
                               self->TakeHead();
                             });
}

void UpstreamAttempt::TakeHead() {
  const upstream::AnswerHead answer = this->head.ToAnswerHead();
  const std::string attempt = std::to_string(this->order.action.attempt);
  this->origin = upstream::OriginOf(
      answer, {.request_id = this->order.request->start.request_id,
               .attempt = attempt,
               .is_first_on_connection = this->connection->Exchanges() == 1});
  if (!upstream::IsOfExchange(this->origin)) {
    return this->EndUnproven(
        "names " + std::string(upstream::AnswerOriginName(this->origin)));
  }

  switch (upstream::ProofOf(answer)) {
    case upstream::AnswerProof::kNotRun:
      return this->End(AttemptEventKind::kRejected);
    case upstream::AnswerProof::kNothing:
      return this->EndUnproven("proves nothing");
    case upstream::AnswerProof::kAnswer:
      return this->OnHead();
  }
}

void UpstreamAttempt::EndUnproven(const std::string& reason) {
  LogLine("warning", "upstream: answer with status " +
                         std::to_string(this->head.status) + " from " +
                         this->order.action.address + " to request " +
                         this->order.request->start.request_id + " " + reason);
  this->End(AttemptEventKind::kBroken);
}

void UpstreamAttempt::LogFault(std::string_view fault) const {
  LogLine("warning",
          "upstream: answer of " + this->order.action.address + " to request " +
              this->order.request->start.request_id + " " + std::string(fault));
}

bool UpstreamAttempt::HoldAnswer(size_t bytes) {
  if (bytes > this->limits.max_answer_bytes) {
    this->LogFault("is longer than " +
                   std::to_string(this->limits.max_answer_bytes) + " bytes");
    return false;
  }
  if (this->answer_bytes.Resize(bytes)) return true;
  this->LogFault("does not fit into the memory for all answers");
  return false;
}

void UpstreamAttempt::ReadWhole() {
  const Duration timeout = this->first_byte ? this->limits.idle_timeout
                                            : this->limits.first_byte_timeout;
  this->connection->ReadSome(
      timeout, [self = this->shared_from_this()](
                   ErrorCode error, std::string_view piece, bool last) {
        if (error) return self->End(KindOf(error));
        if (!piece.empty()) self->OnFirstByte();
        self->body.append(piece);
        if (!self->HoldAnswer(self->body.size())) {
          return self->End(AttemptEventKind::kBroken);
        }
        if (!last) return self->ReadWhole();
        if (!serving::IsFramed(self->head.framing)) {
          return self->End(AttemptEventKind::kBroken);
        }
        self->OnBody();
      });
}

void UpstreamAttempt::OnFirstByte() {
  if (this->first_byte) return;
  this->first_byte = true;
  this->order.request->first_byte_us = Now().us;
  this->on_event(this->Event(AttemptEventKind::kFirstToken));
}

node::AttemptEvent UpstreamAttempt::Event(AttemptEventKind kind) const {
  node::AttemptEvent event = this->result;
  event.kind = kind;
  event.handle = this->order.request->start.handle;
  event.attempt = this->order.action.attempt;
  event.status = this->head.status;
  event.delivered = this->order.request->pipe.HasDelivered();
  event.upstream_leaving =
      this->head.leaving && upstream::IsOfExchange(this->origin);
  return event;
}

AttemptEventKind UpstreamAttempt::KindOf(ErrorCode error) {
  return error == asio::error::timed_out ? AttemptEventKind::kSilent
                                         : AttemptEventKind::kBroken;
}

void UpstreamAttempt::End(AttemptEventKind kind) {
  if (!this->on_event) return;
  if (kind == AttemptEventKind::kCompleted) {
    this->GiveConnection();
  } else {
    this->connection->Close();
  }
  if (kind == AttemptEventKind::kSilent) {
    this->pool.CloseAll(this->order.action.address);
  }
  const OnEvent ended = std::exchange(this->on_event, nullptr);
  ended(this->Event(kind));
}

void UpstreamAttempt::GiveConnection() {
  if (!upstream::MayKeepConnection(this->origin)) {
    return this->connection->Close();
  }
  this->pool.Give(this->order.action.address, this->connection);
}

void UpstreamAttempt::Cancel() {
  this->on_event = nullptr;
  if (this->connection) this->connection->Close();
}

HttpHeaders UpstreamAttempt::CommonHeaders() const {
  const node::RequestStart& start = this->order.request->start;
  return {{"X-Request-Id", start.request_id},
          {"X-Attempt", std::to_string(this->order.action.attempt)},
          {"X-Priority", std::to_string(static_cast<int>(start.work_class))}};
}

}  // namespace fuchsiadrum::daemon
