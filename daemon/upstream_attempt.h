#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/connection_pool.h"
#include "daemon/http_call.h"
#include "daemon/http_message.h"
#include "daemon/messages.h"
#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/upstream/exchange_proof.h"

namespace fuchsiadrum::daemon {

/// Limits of an attempt.
struct AttemptLimits {
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration first_byte_timeout = std::chrono::seconds(20);
  Duration idle_timeout = std::chrono::seconds(3);
  /// Longest answer that is held in memory, and longest stored answer.
  size_t max_answer_bytes = 4U << 20U;
};

/// One request at one upstream.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  /// Called for kFirstToken and once for the end.
  using OnEvent = std::function<void(node::AttemptEvent)>;

  /// `answer_memory`: for the answers of all attempts that are held whole.
  UpstreamAttempt(DispatchOrder dispatch, const AttemptLimits& attempt_limits,
                  std::shared_ptr<ByteBudget> answer_memory,
                  ConnectionPool& connection_pool, OnEvent event_handler);
  virtual ~UpstreamAttempt() = default;
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Sends the request.
  void Start();
  /// Closes the connection; no event follows.
  void Cancel();

 protected:
  /// The request on the wire.
  virtual std::string Text() const = 0;
  /// False if a pooled connection must not be used, since a request that it
  /// loses may have run.
  virtual bool MayReuseConnection() const = 0;
  /// The head of the answer arrived and did not refuse the request.
  virtual void OnHead() = 0;

  /// Reads the whole body, then calls OnBody.
  void ReadWhole();
  /// Counts the answer as far as it is held. False, with a log line: it is
  /// longer than an answer may be, or than the memory for all answers allows.
  bool HoldAnswer(size_t bytes);
  virtual void OnBody() {}
  /// Tells the control thread and ends the attempt.
  void End(node::AttemptEventKind kind);
  /// Event with what is known of this attempt.
  node::AttemptEvent Event(node::AttemptEventKind kind) const;
  /// kSilent for a timeout, otherwise kBroken.
  static node::AttemptEventKind KindOf(ErrorCode error);
  /// Logs what is wrong with the answer of this upstream.
  void LogFault(std::string_view fault) const;
  /// Headers of each request.
  HttpHeaders CommonHeaders() const;
  /// Marks the first byte of the body.
  void OnFirstByte();
  /// Gives the connection back to the pool if its next answer can be told from
  /// this one, otherwise closes it.
  void GiveConnection();

  DispatchOrder order;
  AttemptLimits limits;
  ConnectionPool& pool;
  std::shared_ptr<HttpClientConnection> connection;
  HttpHead head;
  upstream::AnswerOrigin origin = upstream::AnswerOrigin::kUnknown;
  std::string body;
  /// Shared, since an attempt may end after the client of the upstreams.
  std::shared_ptr<ByteBudget> memory;
  ByteHold answer_bytes;
  bool first_byte = false;
  /// Filled by the subclass before End.
  node::AttemptEvent result;
  OnEvent on_event;

 private:
  void Send();
  void ReadHead();
  void TakeHead();
  /// Ends the attempt as one that may have run.
  void EndUnproven(const std::string& reason);
};

}  // namespace fuchsiadrum::daemon
