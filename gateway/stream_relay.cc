#include "gateway/stream_relay.h"

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

using serving::AttemptOutcome;
using serving::kEventsOfSoundPrompt;

bool StreamRelay::Continues(const serving::UpstreamAnswer& answer) const {
  return !this->relay.HasBegun() ||
         serving::ContinuesStream(this->begun_head, answer);
}

asio::awaitable<AttemptOutcome> StreamRelay::RelayEvents(
    UpstreamAttempt& attempt, HttpConnection& connection,
    const serving::UpstreamAnswer& answer, const StreamHandlers& handlers) {
  const std::optional<uint64_t> resumed_after = this->last_event;
  serving::EventSplitter splitter(resumed_after);
  std::string bytes;
  std::string events;
  std::optional<serving::StreamEnd> end;
  int attempt_events = 0;
  bool is_sound = false;
  while (!end) {
    bytes.clear();
    events.clear();
    const BodyReadStatus read_status = co_await connection.ReadBody(bytes);
    if (!bytes.empty()) attempt.OnBytesReceived();
    const int count = splitter.Feed(bytes, events);
    if (splitter.IsOverlong()) {
      connection.OnLimitExceeded(AnswerLimit::kEvent);
      break;
    }
    if (splitter.HasGap() || splitter.HasUnnumbered()) {
      this->log.OnUnprovenAnswer(answer, "not the next event of the stream");
      break;
    }
    if (this->may_be_whole && (count > 0 || splitter.IsInsideEvent())) {
      this->may_be_whole = false;
    }
    end = this->EndAfter(read_status, splitter, resumed_after, answer);
    const bool is_complete = end == serving::StreamEnd::kComplete;
    if (is_complete) events.append(splitter.Rest());
    if (events.empty() && !is_complete) continue;

    if (attempt_events == 0 && count > 0) {
      const bool may_begin = co_await handlers.may_begin();
      if (!may_begin) {
        attempt.Excuse();
        // Also if the answer ended with these events, none was forwarded.
        end.reset();
        break;
      }
    }
    if (this->events_relayed == 0 && count > 0) handlers.on_first();
    if (count > 0) attempt.OnEvents(count);
    attempt_events += count;
    if (!is_sound && (is_complete || attempt_events >= kEventsOfSoundPrompt)) {
      is_sound = true;
      handlers.on_sound();
    }
    this->events_relayed += count;
    this->last_event = splitter.LastEvent();
    if (!this->relay.HasBegun()) {
      this->begun_head = {.status = answer.status,
                          .media_type = answer.media_type};
    }
    if (!co_await this->relay.RelayEvents(answer, events, is_complete)) {
      co_return this->active.timed_out ? AttemptOutcome::kTimedOut
                                       : AttemptOutcome::kCallerGone;
    }
  }
  if (end == serving::StreamEnd::kComplete) {
    co_return AttemptOutcome::kComplete;
  }
  if (end == serving::StreamEnd::kUnproven) {
    co_return AttemptOutcome::kUnprovenEnd;
  }
  co_return this->active.BrokenOutcome(this->relay.HasBegun());
}

std::optional<serving::StreamEnd> StreamRelay::EndAfter(
    BodyReadStatus read_status, const serving::EventSplitter& splitter,
    std::optional<uint64_t> resumed_after,
    const serving::UpstreamAnswer& answer) {
  if (read_status == BodyReadStatus::kMore) return std::nullopt;
  if (read_status == BodyReadStatus::kBroken) {
    return serving::StreamEnd::kCutOff;
  }
  const serving::StreamEnd end = serving::JudgeStreamEnd(
      {.framing = answer.framing,
       .is_inside_event = splitter.IsInsideEvent(),
       .has_new_events = splitter.LastEvent() != resumed_after,
       .is_resumed = resumed_after.has_value()});
  if (end == serving::StreamEnd::kCutOff) {
    this->log.OnUnprovenAnswer(answer, "not at the end of the stream");
  }
  if (end == serving::StreamEnd::kUnproven) {
    if (!this->may_be_whole) this->unproven_since = Now();
    this->may_be_whole = true;
    this->unproven_rest = splitter.Rest();
  }
  return end;
}

asio::awaitable<bool> StreamRelay::Finish(
    const serving::UpstreamAnswer& answer) {
  const std::string rest = std::move(this->unproven_rest);
  if (rest.empty()) co_return true;
  co_return co_await this->relay.RelayEvents(answer, rest, true);
}

}  // namespace fuchsiadrum::gateway
