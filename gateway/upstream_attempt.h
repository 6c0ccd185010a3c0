#pragma once

#include "fuchsiadrum/serving/attempt_policy.h"
#include "fuchsiadrum/serving/placement.h"
#include "gateway/active_request.h"
#include "gateway/gateway_core.h"
#include "gateway/http_connection.h"

namespace fuchsiadrum::gateway {

/// One attempt to run a request at a chosen upstream: what it holds of the
/// upstream (a permit, load that is on its way), whether and when the request
/// was sent, and when the upstream last made progress.
class UpstreamAttempt {
 public:
  /// Takes a permit if the upstream has a limit or is cold.
  UpstreamAttempt(GatewayCore& gateway_core,
                  const ActiveRequest& active_request,
                  const serving::PlacementChoice& placement_choice);
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Counts the request as load of the upstream, until End.
  void Begin();
  /// True if the request may be sent now. While the connection was being
  /// opened, the upstream may have announced that it is leaving or limited, its
  /// zone may have been evacuated, or the VM may have been suspended.
  bool MaySend() const;
  /// Starts to send the request on the connection. `last_event`: the event
  /// after which the upstream resumes a stream.
  void Send(HttpConnection& connection, std::optional<uint64_t> last_event);
  void OnBytesReceived();
  /// To be called when events of a stream have arrived.
  void OnEvents(int count);
  /// To be called when the first event of a stream has arrived, or the whole of
  /// another answer. `ratio` of observed and expected time is counted for the
  /// upstream.
  void OnFirstByte();
  /// The answer shows that another upstream has received the request.
  void OnMisdirected();
  /// Ends the attempt; puts back the permit unless the request was sent.
  void End();
  /// The gateway itself ends the attempt, for a reason that is not its
  /// upstream's.
  void Excuse() { this->is_excused = true; }
  /// Counts the outcome for the metrics and, unless the attempt is excused, the
  /// upstream's failure statistics.
  void RecordOutcome(serving::AttemptOutcome outcome);
  /// True if the attempt should be ended because its upstream is silent. `runs`
  /// is the number of earlier attempts that may have run the request.
  bool IsStalled(TimePoint now, int runs) const;

  serving::FleetUpstream& Upstream() const { return *this->choice.upstream; }
  const serving::PlacementChoice& Choice() const { return this->choice; }
  const std::string& RouteName() const { return this->active.route->name; }
  /// True once the attempt has begun to send the request, so that bytes of it
  /// may have reached the upstream.
  bool WasSent() const { return this->was_sent; }
  TimePoint SentAt() const { return this->sent_at; }
  /// Times of the answer up to now.
  serving::AnswerTime Time(TimePoint now) const;

 private:
  void EndPending();
  /// Counts a request that is not sent because of the upstream's state.
  void CountWithheld() const;

  GatewayCore& core;
  const ActiveRequest& active;
  serving::PlacementChoice choice;
  serving::SendPermit permit;
  bool was_begun = false;
  bool was_sent = false;
  /// True while the prompt's tokens count as pending at the upstream.
  bool prompt_pending = false;
  bool is_excused = false;
  TimePoint sent_at;
  /// When the request was sent or bytes of a stream were last received.
  TimePoint last_progress;
  /// When the first and the last events of a stream arrived; nullopt: none has.
  std::optional<TimePoint> first_event_at;
  TimePoint last_event_at;
  /// Number of events that arrived after the first ones.
  int later_events = 0;
};

}  // namespace fuchsiadrum::gateway
