#include "gateway/answer_reader.h"

#include "gateway/answer_notices.h"
#include "gateway/clock.h"
#include "platform/request_codec.h"

namespace fuchsiadrum::gateway {
namespace {

/// Number of answers to other requests that are skipped on an upstream
/// connection before the connection is given up.
constexpr int kMaxMismatchedAnswers = 2;
/// Number of interim answers (1xx) that are skipped in one exchange. An
/// upstream may report progress a few times a second for as long as a route's
/// timeout.
constexpr int kMaxInterimAnswers = 200;
/// Number of interim answers that are logged in one exchange.
constexpr int kMaxLoggedInterimAnswers = 8;
/// Non-streaming answers are buffered whole up to this size, so that the
/// request can be repeated after a truncated answer before the caller has seen
/// any of it.
constexpr size_t kMaxBufferedAnswerBytes = 1048576;

}  // namespace

void AnswerReader::Reset() {
  this->has_head = false;
  this->is_framing_doubtful = false;
  this->answer = {};
  this->body.clear();
}

asio::awaitable<bool> AnswerReader::ReadMatchingHead(
    UpstreamAttempt& attempt, HttpConnection& connection) {
  int interim = 0;
  for (int skipped = 0; skipped <= kMaxMismatchedAnswers;) {
    const platform::HttpAnswerHead* head = co_await connection.ReadHead();
    if (head == nullptr) co_return false;
    this->answer = platform::DecodeAnswer(*head);
    this->answer.framing = connection.Framing();
    attempt.Upstream().OnBytesReceived(Now());
    // The framing of an answer bears on those that follow it.
    const serving::Exchange exchange = {
        .request_id = this->active.request.id,
        .is_framing_doubtful = this->is_framing_doubtful};
    const bool is_contradictory = connection.HasContradictoryFraming();
    this->is_framing_doubtful = this->is_framing_doubtful || is_contradictory;
    if (serving::IsInterim(this->answer)) {
      if (++interim > kMaxInterimAnswers) {
        connection.OnLimitExceeded(AnswerLimit::kAnswers);
        co_return false;
      }
      if (interim <= kMaxLoggedInterimAnswers) {
        this->log.OnInterimAnswer(this->answer, is_contradictory);
      }
      continue;
    }
    const serving::AnswerOrigin origin =
        serving::OriginOf(this->answer, exchange);
    if (origin == serving::AnswerOrigin::kThisExchange) {
      this->has_head = true;
      this->ApplyHead(attempt);
      co_return true;
    }
    this->log.OnMismatchedAnswer(this->answer);
    ++skipped;
    if (!this->MayAnswerFollow(origin, connection)) co_return false;
    if (!co_await this->ReadWholeBody(connection)) co_return false;
    this->body.clear();
  }
  co_return false;
}

bool AnswerReader::MayAnswerFollow(serving::AnswerOrigin origin,
                                   const HttpConnection& connection) const {
  if (!connection.KeepsAlive()) return false;
  // A request that may be repeated does not wait for what may never come.
  return origin != serving::AnswerOrigin::kUnknown ||
         !serving::ClaimsNotRun(this->answer) ||
         !this->active.route->IsIdempotent();
}

asio::awaitable<bool> AnswerReader::ReadWholeBody(HttpConnection& connection) {
  BodyReadStatus read_status = BodyReadStatus::kMore;
  while (read_status == BodyReadStatus::kMore) {
    read_status = co_await connection.ReadBody(this->body);
    const bool is_overlong = this->body.size() > kMaxBufferedAnswerBytes;
    if (is_overlong || !this->body_bytes.Resize(this->body.size())) {
      connection.OnLimitExceeded(is_overlong ? AnswerLimit::kBody
                                             : AnswerLimit::kMemory);
      co_return false;
    }
  }
  co_return read_status == BodyReadStatus::kEnd;
}

void AnswerReader::ApplyHead(UpstreamAttempt& attempt) {
  if (serving::IsFromOtherUpstream(this->answer)) return;
  serving::FleetUpstream& upstream = attempt.Upstream();
  ApplyNotices(this->core, upstream, this->answer,
               {.id = this->active.request.id, .sent_at = attempt.SentAt()});
}

}  // namespace fuchsiadrum::gateway
