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

/// Serves one request of a caller: admits it, reserves its tokens, places it,
/// and passes the answer on. The decisions are the library's.
class RequestTask {
 public:
  RequestTask(GatewayCore& gateway_core, CallerConnection& caller_connection,
              serving::CallerRequest caller_request);

  ~RequestTask();
  RequestTask(const RequestTask&) = delete;
  RequestTask& operator=(const RequestTask&) = delete;

  /// True if the caller got an answer with an end.
  asio::awaitable<bool> Run();
  /// Ends an attempt whose upstream has gone silent.
  void CheckStall(TimePoint now);

 private:
  /// An answer of the gateway itself.
  struct OwnAnswer {
    int status = 0;
    std::string reason;
    std::optional<Duration> retry_after;
  };

  std::optional<OwnAnswer> Admit();
  asio::awaitable<std::optional<OwnAnswer>> ReserveTokens();
  static std::optional<OwnAnswer> BudgetRefusal(budget::ReserveOutcome result);
  void SettleTokens();
  asio::awaitable<bool> Serve();
  std::optional<serving::PlacementChoice> Choose();
  serving::NextStep Decide(serving::AttemptOutcome outcome);
  OwnAnswer NoUpstream() const;
  static OwnAnswer FinalAnswer(serving::NextStep step, std::string_view reason);
  bool AbortAnswer(std::string_view reason);
  void Send(const serving::FleetUpstream& upstream, HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> Attempt(
      const serving::PlacementChoice& choice);
  asio::awaitable<std::shared_ptr<HttpConnection>> Open(
      const serving::FleetUpstream& upstream);
  asio::awaitable<serving::AttemptOutcome> Exchange(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  asio::awaitable<const platform::HttpAnswerHead*> ReadMatchingHead(
      serving::FleetUpstream& upstream, HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> ReadWhole(
      HttpConnection& connection);
  asio::awaitable<serving::AttemptOutcome> PassEvents(
      const serving::PlacementChoice& choice, HttpConnection& connection);
  asio::awaitable<bool> Relay();
  asio::awaitable<bool> Answer(OwnAnswer own);
  void OnInterrupt(bool caller_gone);
  serving::AttemptOutcome Broken() const;
  /// Takes over what the head of an answer says of its upstream.
  void NoteHead(serving::FleetUpstream& upstream);
  void NoteOutcome(const serving::PlacementChoice& choice,
                   serving::AttemptOutcome outcome);
  void NoteFirstByte(const serving::PlacementChoice& choice);
  Duration TimeLeft() const;
  void LogForeignAnswer();
  void LogEnd(int status, std::string_view outcome, std::string_view reason);

  GatewayCore& core;
  CallerConnection& caller;
  /// Shared with the connection that sends its body.
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

  std::shared_ptr<HttpConnection> current;
  bool caller_gone = false;
  bool timed_out = false;

  /// Attempts that may have run the request, and those that did not.
  int runs = 0;
  int unexecuted = 0;
  std::vector<std::string> tried;
  std::string tried_text;
  TimePoint sent_at;
  bool prompt_pending = false;
  /// Bytes of the present attempt may have left.
  bool was_sent = false;
  /// The fleet's allowance has granted the next repeat.
  bool repeat_taken = false;
  /// Upstream of the present attempt, and when it last made progress.
  serving::FleetUpstreamPtr upstream_now;
  TimePoint progress_at;
  /// Inputs of the last choice of an upstream, for the log.
  double expected_ms = 0;
  int64_t uncached_tokens = 0;
  size_t candidates = 0;
  double attempt_first_ms = 0;

  serving::UpstreamAnswer answer;
  std::string answer_body;
  ByteHold answer_bytes;
  AnswerRelay relay;
  std::optional<uint64_t> last_event;
  int events_passed = 0;
  double first_byte_ms = 0;
};

}  // namespace fuchsiadrum::gateway
