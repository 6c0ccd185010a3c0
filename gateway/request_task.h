#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/serving/answer_proof.h"
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

  /// Serves the request. Returns true if the caller got a complete answer, be
  /// it the upstream's or one that the gateway makes itself; otherwise the
  /// caller's connection has to be closed.
  asio::awaitable<bool> Run();
  /// Ends the current attempt if it counts as stalled (serving::IsStalled) and
  /// the retry allowance grants a retry.
  void CheckStall(TimePoint now);

 private:
  /// An answer that the gateway makes itself, without an upstream.
  struct GatewayAnswer {
    int status = 0;
    std::string reason;
    std::optional<Duration> retry_after;
  };

  /// The next three functions return the answer that refuses the request, or
  /// nullopt if the request may go on.
  std::optional<GatewayAnswer> Admit();
  asio::awaitable<std::optional<GatewayAnswer>> ReserveTokens();
  static std::optional<GatewayAnswer> MakeBudgetRefusal(
      budget::ReserveOutcome result);
  void SettleTokens();
  /// Runs attempts until the request is answered or given up. Returns the same
  /// as Run.
  asio::awaitable<bool> Serve();
  std::optional<serving::PlacementChoice> ChooseUpstream();
  /// Takes a permit for the attempt if the chosen upstream has a limit.
  void TakePermit(TimePoint now, const serving::FleetUpstream& upstream);
  /// Puts back the attempt's permit unless its request was sent.
  void ReturnUnusedPermit(const serving::FleetUpstream& upstream);
  /// Priority of the request; 0 is the most urgent.
  int Priority() const;
  serving::NextStep DecideNextStep(serving::AttemptOutcome outcome);
  GatewayAnswer MakeNoUpstreamAnswer() const;
  static GatewayAnswer MakeFailureAnswer(serving::NextStep step,
                                         std::string_view reason);
  /// Closes the caller's connection without completing the answer. Always
  /// returns false, which is then the result of Serve.
  bool AbortAnswer(std::string_view reason);
  /// Starts to send the request of the current attempt.
  void SendRequest(const serving::FleetUpstream& upstream,
                   HttpConnection& connection);
  /// Runs one attempt: opens a connection to the chosen upstream and calls
  /// Exchange.
  asio::awaitable<serving::AttemptOutcome> RunAttempt(
      const serving::PlacementChoice& choice);
  /// Takes an idle connection from the pool or opens a new one. Returns nullptr
  /// if that fails, or if the caller left or the deadline passed meanwhile.
  asio::awaitable<std::shared_ptr<HttpConnection>> OpenConnection(
      const serving::FleetUpstream& upstream);
  /// Sends the request on the connection and reads its answer. The events of a
  /// stream are relayed as they arrive; other answers are only buffered.
  asio::awaitable<serving::AttemptOutcome> Exchange(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  /// Reads the head of the answer to this request; skips answers to earlier
  /// requests on the connection, and those that nothing proves to be of this
  /// exchange. Returns nullptr if the connection fails or too many answers were
  /// skipped.
  asio::awaitable<const platform::HttpAnswerHead*> ReadMatchingHead(
      serving::FleetUpstream& upstream, HttpConnection& connection);
  /// True if it is worth waiting for the answer to this request after one that
  /// does not belong to it.
  bool MayAnswerFollow(serving::AnswerOrigin origin,
                       const HttpConnection& connection) const;
  /// Reads the rest of the answer into `answer_body`.
  asio::awaitable<serving::AttemptOutcome> ReadWholeBody(
      HttpConnection& connection);
  /// Reads the events of a stream from the upstream and forwards them to the
  /// caller. If the stream has begun in an earlier attempt, only events that
  /// follow the last one are forwarded.
  asio::awaitable<serving::AttemptOutcome> RelayEvents(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  /// Forwards `answer` with `answer_body`. Returns false if the caller is gone.
  asio::awaitable<bool> RelayWholeAnswer();
  /// Settles the tokens and sends the answer. Returns false if the caller is
  /// gone.
  asio::awaitable<bool> SendGatewayAnswer(GatewayAnswer gateway_answer);
  /// Ends the current attempt because the caller has disconnected (`gone`) or
  /// the deadline has passed.
  void OnInterrupt(bool gone);
  /// Outcome of an attempt whose exchange broke off: kCallerGone if the caller
  /// has left, else kBrokenMidway if part of the answer has been sent to it,
  /// else kTimedOut if the deadline has passed, else kBroken.
  serving::AttemptOutcome BrokenOutcome() const;
  /// Applies what the head of an answer of this exchange says about the
  /// upstream: its load and its notices.
  void ApplyAnswerHead(serving::FleetUpstream& upstream);
  /// Counts the outcome for this request, the metrics and the upstream's
  /// failure statistics.
  void RecordOutcome(const serving::PlacementChoice& choice,
                     serving::AttemptOutcome outcome);
  /// To be called when the first event of a stream has arrived, or the whole of
  /// another answer.
  void RecordFirstByte(const serving::PlacementChoice& choice);
  /// Time until the caller's time limit or the route's timeout, whichever ends
  /// first. Unlike `deadline` it includes no slack for a late answer.
  Duration TimeLeft() const;
  void LogMismatchedAnswer();
  /// Logs and counts an answer which proves that the request did not run.
  void LogRefusal(const HttpConnection& connection);
  void LogUnprovenAnswer(std::string_view reason);
  /// Says which request the answer names, for the log.
  std::string_view NamesOfAnswer() const;
  /// Logs and counts the end of the request. `outcome` says what the caller got
  /// (for example "complete" or "own-answer"), `reason` why it is not a
  /// complete answer of an upstream.
  void LogEnd(int status, std::string_view outcome, std::string_view reason);

  GatewayCore& core;
  CallerConnection& caller;
  /// Shared with the upstream connection, which sends the body from it.
  std::shared_ptr<const serving::CallerRequest> shared_request;
  const serving::CallerRequest& request;
  serving::ServingConfigPtr config;
  const serving::Route* route = nullptr;
  const serving::Organisation* organisation = nullptr;
  /// Name of the chosen service, and the traits of its model engines; empty if
  /// its upstreams are not model engines.
  std::string service;
  std::optional<serving::EngineTraits> engine;
  TimePoint arrived;
  TimePoint deadline;

  TokenReservation tokens;

  std::shared_ptr<HttpConnection> current_connection;
  bool caller_gone = false;
  bool timed_out = false;

  /// Number of ended attempts in which an upstream may have run the request.
  int runs = 0;
  /// Number of ended attempts in which no upstream ran the request, for example
  /// because it was not sent.
  int unexecuted = 0;
  std::vector<std::string> tried_upstreams;
  std::string tried_upstreams_text;
  /// Outcomes of the ended attempts, in the order of tried_upstreams.
  std::string outcomes_text;
  /// When the current attempt began to send the request.
  TimePoint sent_at;
  /// True while the prompt's tokens count as pending at the upstream: from the
  /// start of the attempt, before a connection is opened, until RecordFirstByte
  /// or the end of the attempt.
  bool prompt_pending = false;
  /// True once the current attempt has begun to send the request, so that bytes
  /// of it may have reached the upstream.
  bool was_sent = false;
  /// True if the current attempt has taken a permit of a limited upstream.
  bool has_permit = false;
  /// True if CheckStall has already taken the next retry from the fleet's retry
  /// allowance, so that it must not be taken again when the attempt ends.
  bool retry_granted = false;
  /// Upstream of the current attempt, and when that attempt sent the request or
  /// last received bytes of a stream.
  serving::FleetUpstreamPtr current_upstream;
  TimePoint last_progress;
  /// The three inputs of the latest choice of an upstream, for the log.
  /// `expected_ms` is also used to detect a stall.
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidate_count = 0;
  /// Time from `sent_at` to RecordFirstByte, for the log.
  double attempt_first_byte_ms = 0;

  /// Head and body of the current attempt's answer. The body of a stream is not
  /// kept.
  serving::UpstreamAnswer answer;
  std::string answer_body;
  /// Memory accounted for answer_body.
  ByteHold answer_bytes;
  AnswerRelay relay;
  /// Number of the last event that the caller has. It is sent to the upstream,
  /// so that a retry resumes after it.
  std::optional<uint64_t> last_event;
  int events_relayed = 0;
  /// Head with which a stream has begun, and whether it can be resumed after
  /// `last_event`.
  serving::StreamHead begun_head;
  bool can_resume = true;
  /// Time from the arrival of the request to RecordFirstByte, for the log.
  double first_byte_ms = 0;
};

}  // namespace fuchsiadrum::gateway
