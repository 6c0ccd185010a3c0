#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/serving/attempt_history.h"
#include "fuchsiadrum/serving/attempt_policy.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/placement.h"
#include "gateway/active_request.h"
#include "gateway/answer_reader.h"
#include "gateway/answer_relay.h"
#include "gateway/caller_connection.h"
#include "gateway/gateway_answer.h"
#include "gateway/gateway_core.h"
#include "gateway/prompt_guard.h"
#include "gateway/request_log.h"
#include "gateway/stream_origin_guard.h"
#include "gateway/stream_relay.h"
#include "gateway/token_reservation.h"
#include "gateway/upstream_attempt.h"

namespace fuchsiadrum::gateway {

/// Serves one request of a caller: admits it, reserves its tokens, runs
/// attempts at upstreams until it is answered or given up, and sends the
/// answer. Placement, retry and stall decisions are made by
/// fuchsiadrum/serving.
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
  /// Ends the request because the process is about to end.
  void EndForStop();
  /// The attempt that is being run; nullptr if there is none.
  const UpstreamAttempt* CurrentAttempt() const {
    return this->current_attempt;
  }

 private:
  /// Returns the answer that refuses the request if its tokens are not within
  /// reach.
  asio::awaitable<std::optional<GatewayAnswer>> ReserveTokens();
  void SettleTokens();
  /// Runs attempts until the request is answered or given up. Returns the same
  /// as Run.
  asio::awaitable<bool> Serve();
  /// Waits before the request is sent again to an upstream that was full.
  asio::awaitable<void> PauseForFullUpstream();
  /// Upstreams of the service that may get the request and have not had it.
  std::vector<serving::FleetUpstreamPtr> UntriedUpstreams() const;
  /// Upstreams that may get the request and may go on with its stream, but for
  /// `excluded`.
  std::vector<serving::FleetUpstreamPtr> Candidates(
      std::span<const std::string> excluded) const;
  std::optional<serving::PlacementChoice> ChooseUpstream();
  serving::NextStep DecideNextStep(serving::AttemptOutcome outcome);
  /// Ends the request because no further attempt is made; `answer` is for a
  /// caller that has nothing yet. Returns the same as Run.
  asio::awaitable<bool> EndWithoutAttempt(GatewayAnswer answer);
  /// Ends the answer to a stream. Returns the same as Run.
  asio::awaitable<bool> FinishStream();
  /// Closes the caller's connection without completing the answer. Always
  /// returns false, which is then the result of Serve.
  bool AbortAnswer(std::string_view reason);
  /// Runs one attempt: opens a connection to the chosen upstream and calls
  /// Exchange.
  asio::awaitable<serving::AttemptOutcome> RunAttempt(UpstreamAttempt& attempt);
  /// Takes an idle connection from the pool or opens a new one. Returns nullptr
  /// if that fails, or if the caller left or the deadline passed meanwhile.
  asio::awaitable<std::shared_ptr<HttpConnection>> OpenConnection(
      const serving::FleetUpstream& upstream);
  /// False if the upstream, whose answer has ended with its connection, has
  /// ended too, although nothing says that it is leaving.
  asio::awaitable<bool> IsStillAlive(const serving::FleetUpstream& upstream);
  /// Sends the request on the connection and reads its answer. The events of a
  /// stream are relayed as they arrive; other answers are only buffered.
  asio::awaitable<serving::AttemptOutcome> Exchange(UpstreamAttempt& attempt,
                                                    HttpConnection& connection);
  /// Ends an exchange whose answer proves that the request did not run.
  asio::awaitable<void> FinishRefusal(UpstreamAttempt& attempt,
                                      HttpConnection& connection);
  /// Returns why the answer cannot be used; empty if it can.
  std::string_view UnusableReason() const;
  /// Keeps the connection for further requests, or closes it.
  void ReleaseConnection(const serving::FleetUpstream& upstream,
                         const std::shared_ptr<HttpConnection>& connection,
                         serving::AttemptOutcome outcome);
  /// Forwards the upstream's answer. Returns false if the caller is gone.
  asio::awaitable<bool> RelayWholeAnswer();
  /// Settles the tokens and sends the answer. Returns false if the caller is
  /// gone.
  asio::awaitable<bool> SendGatewayAnswer(GatewayAnswer gateway_answer);
  /// Ends the current attempt because the caller has disconnected (`gone`) or
  /// the deadline has passed.
  void OnInterrupt(bool gone);
  serving::AttemptOutcome BrokenOutcome() const {
    return this->active.BrokenOutcome(this->relay.HasBegun());
  }
  /// Remembers how long the answers of the route take.
  void RecordAnswerTime(const UpstreamAttempt& attempt,
                        serving::AttemptOutcome outcome);
  /// To be called when the first event of a stream has arrived, or the whole of
  /// another answer.
  void RecordFirstByte(UpstreamAttempt& attempt);
  void LogEnd(int status, std::string_view outcome, std::string_view reason);

  GatewayCore& core;
  CallerConnection& caller;
  ActiveRequest active;
  serving::AttemptHistory history;
  RequestLog log;
  RequestFigures figures;
  TokenReservation tokens;
  AnswerReader reader;
  AnswerRelay relay;
  StreamRelay stream;
  PromptGuard prompt;
  StreamOriginGuard origin;

  std::shared_ptr<HttpConnection> current_connection;
  /// The attempt that is being run; nullptr if there is none.
  UpstreamAttempt* current_attempt = nullptr;
  /// True if CheckStall has already taken the next retry from the fleet's retry
  /// allowance, so that it must not be taken again when the attempt ends.
  bool retry_granted = false;
  /// True if the next attempt may go to an upstream that has rejected the
  /// request.
  bool repeats_at_full = false;
};

}  // namespace fuchsiadrum::gateway
