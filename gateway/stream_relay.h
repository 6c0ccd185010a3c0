#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "fuchsiadrum/serving/answer_proof.h"
#include "fuchsiadrum/serving/event_splitter.h"
#include "fuchsiadrum/serving/stream_end.h"
#include "fuchsiadrum/serving/upstream_crash.h"
#include "gateway/active_request.h"
#include "gateway/answer_reader.h"
#include "gateway/answer_relay.h"
#include "gateway/request_log.h"
#include "gateway/upstream_attempt.h"

namespace fuchsiadrum::gateway {

/// What is called while an attempt's events are forwarded.
struct StreamHandlers {
  /// Before the first event of the stream is forwarded.
  std::function<void()> on_first;
  /// Awaited before the first event of the attempt is forwarded; false if none
  /// may be forwarded.
  std::function<asio::awaitable<bool>()> may_begin;
  /// When the attempt has gone on for so long, or has ended so, that the prompt
  /// is sound for its upstream. At most once.
  std::function<void()> on_sound;
};

/// Forwards the events of a stream from upstreams to the caller, and knows how
/// much of the stream the caller has.
class StreamRelay {
 public:
  StreamRelay(const ActiveRequest& active_request, RequestLog& request_log,
              AnswerRelay& answer_relay)
      : active(active_request),
        log(request_log),
        relay(answer_relay),
        last_event(active_request.request.last_event) {}

  /// True if the answer may be the rest of the stream, or if no part of it has
  /// been sent to the caller.
  bool Continues(const serving::UpstreamAnswer& answer) const;
  /// Reads the events from the upstream and forwards them. If the stream has
  /// begun in an earlier attempt, only events that follow the last one are
  /// forwarded.
  /// kUnprovenEnd: call Finish unless the rest can be had from another
  /// upstream.
  asio::awaitable<serving::AttemptOutcome> RelayEvents(
      UpstreamAttempt& attempt, HttpConnection& connection,
      const serving::UpstreamAnswer& answer, const StreamHandlers& handlers);
  /// True if the caller has waited for longer than `target_gap`, the pause that
  /// callers expect between events, since it has a stream that may be whole.
  bool IsRestOverdue(TimePoint now, Duration target_gap) const {
    return this->MayBeWhole() && now - this->unproven_since > target_gap;
  }
  /// The upstream whose answer ended last has died, which ended its answer.
  void OnUpstreamLost() { this->may_be_whole = false; }
  /// Ends a stream that may be whole as it was received. Returns false if the
  /// caller is gone.
  asio::awaitable<bool> Finish(const serving::UpstreamAnswer& answer);

  /// Number of the last event that the caller has. It is sent to the upstream,
  /// so that a retry resumes after it.
  std::optional<uint64_t> LastEvent() const { return this->last_event; }
  int EventsRelayed() const { return this->events_relayed; }
  /// True if an upstream can be told where to go on with the stream, or if the
  /// caller has no event of it.
  bool CanResume() const {
    return this->last_event.has_value() || this->events_relayed == 0;
  }
  /// True if the caller has a stream that may be whole, and its answer's
  /// framing says no more than that (serving::AttemptState).
  bool MayBeWhole() const {
    return this->may_be_whole && this->relay.EndsWithConnection();
  }

 private:
  /// Returns how the answer has ended after a read with this result, or nullopt
  /// if more of it may follow. `resumed_after`: the event after which the
  /// upstream was asked to resume.
  std::optional<serving::StreamEnd> EndAfter(
      BodyReadStatus read_status, const serving::EventSplitter& splitter,
      std::optional<uint64_t> resumed_after,
      const serving::UpstreamAnswer& answer);

  const ActiveRequest& active;
  RequestLog& log;
  AnswerRelay& relay;
  std::optional<uint64_t> last_event;
  int events_relayed = 0;
  /// True if the last attempt with events has ended at StreamEnd::kUnproven.
  bool may_be_whole = false;
  TimePoint unproven_since;
  /// What followed the last event of a stream that may be whole: part of a
  /// comment.
  std::string unproven_rest;
  /// Head with which the stream has begun.
  serving::StreamHead begun_head;
};

}  // namespace fuchsiadrum::gateway
