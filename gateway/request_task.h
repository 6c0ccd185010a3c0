#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/serving/attempt_policy.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/event_splitter.h"
#include "fuchsiadrum/serving/placement.h"
#include "gateway/answer_relay.h"
#include "gateway/caller_connection.h"
#include "gateway/gateway_core.h"
#include "gateway/token_reservation.h"

namespace fuchsiadrum::gateway {

/// Serves one request of a caller: admits it, reserves its tokens, selects an
/// upstream, and relays the answer. Placement, retry and stall decisions are
/// made by fuchsiadrum/serving; this class does the I/O.
class RequestTask {
 public:
  RequestTask(GatewayCore& gateway_core, CallerConnection& caller_connection,
              serving::CallerRequest caller_request);

  ~RequestTask();
  RequestTask(const RequestTask&) = delete;
  RequestTask& operator=(const RequestTask&) = delete;

  /// Returns true if the caller got a complete answer.
  asio::awaitable<bool> Run();
  /// Ends the current attempt if its upstream has gone silent and a retry is
  /// allowed.
  void CheckStall(TimePoint now);

 private:
  /// An answer that the gateway makes itself, without an upstream.
  struct GatewayAnswer {
    int status = 0;
    std::string reason;
    std::optional<Duration> retry_after;
  };

  std::optional<GatewayAnswer> Admit();
  asio::awaitable<std::optional<GatewayAnswer>> ReserveTokens();
  static std::optional<GatewayAnswer> MakeBudgetRefusal(
      budget::ReserveOutcome result);
  void SettleTokens();
  asio::awaitable<bool> Serve();
  std::optional<serving::PlacementChoice> ChooseUpstream();
  serving::NextStep DecideNextStep(serving::AttemptOutcome outcome);
  GatewayAnswer MakeNoUpstreamAnswer() const;
  static GatewayAnswer MakeFailureAnswer(serving::NextStep step,
                                         std::string_view reason);
  bool AbortAnswer(std::string_view reason);
  void SendRequest(const serving::FleetUpstream& upstream,
                   HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> RunAttempt(
      const serving::PlacementChoice& choice);
  asio::awaitable<std::shared_ptr<HttpConnection>> OpenConnection(
      const serving::FleetUpstream& upstream);
  asio::awaitable<serving::AttemptOutcome> Exchange(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  asio::awaitable<const platform::HttpAnswerHead*> ReadMatchingHead(
      serving::FleetUpstream& upstream, HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> ReadWholeBody(
      HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> RelayEvents(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  asio::awaitable<bool> RelayWholeAnswer();
  asio::awaitable<bool> SendGatewayAnswer(GatewayAnswer gateway_answer);
  void OnInterrupt(bool caller_gone);
  serving::AttemptOutcome BrokenOutcome() const;
  /// Applies what the answer head says about the upstream: its load, a pause,
  /// or that it is leaving.
  void ApplyAnswerHead(serving::FleetUpstream& upstream);
  void RecordOutcome(const serving::PlacementChoice& choice,
                     serving::AttemptOutcome outcome);
  void RecordFirstByte(const serving::PlacementChoice& choice);
  Duration TimeLeft() const;
  void LogMismatchedAnswer();
  void LogEnd(int status, std::string_view outcome, std::string_view reason);

  GatewayCore& core;
  CallerConnection& caller;
  /// Shared with the connection, which sends the body from it.
  std::shared_ptr<const serving::CallerRequest> shared_request;
  const serving::CallerRequest& request;
  serving::ServingConfigPtr config;
  const serving::Route* route = nullptr;
  const serving::Organisation* organisation = nullptr;
  std::string service;
  std::optional<serving::EngineTraits> engine;
  TimePoint arrived;
  TimePoint deadline;

  TokenReservation tokens;

  std::shared_ptr<HttpConnection> current_connection;
  bool caller_gone = false;
  bool timed_out = false;

  /// Number of attempts that may have run the request.
  int runs = 0;
  /// Number of attempts that did not run it.
  int unexecuted = 0;
  std::vector<std::string> tried_upstreams;
  std::string tried_upstreams_text;
  TimePoint sent_at;
  /// True while the prompt's tokens count as pending at the upstream: from the
  /// dispatch until the first byte of the answer.
  bool prompt_pending = false;
  /// True if bytes of the current attempt may have been sent.
  bool was_sent = false;
  /// True if the fleet's retry budget has already granted the next retry.
  bool retry_granted = false;
  /// Upstream of the current attempt, and when that attempt last made progress.
  serving::FleetUpstreamPtr current_upstream;
  TimePoint last_progress;
  /// Inputs of the latest choice of an upstream, for the log. `expected_ms` is
  /// also used to detect a stall.
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidate_count = 0;
  /// Time from sending the attempt to its first byte.
  double attempt_first_byte_ms = 0;

  serving::UpstreamAnswer answer;
  std::string answer_body;
  /// Memory accounted for answer_body.
  ByteHold answer_bytes;
  AnswerRelay relay;
  /// ID of the last event that the caller has; a retry resumes after it.
  std::optional<uint64_t> last_event;
  int events_relayed = 0;
  /// Time from the arrival of the request to the first byte of its answer.
  double first_byte_ms = 0;
};

}  // namespace fuchsiadrum::gateway
