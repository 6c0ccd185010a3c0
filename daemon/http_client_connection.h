#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/answer_fault_log.h"
#include "daemon/asio.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/answer_framing.h"
#include "fuchsiadrum/upstream/exchange_proof.h"

namespace fuchsiadrum::daemon {

/// Head of an answer.
struct HttpHead {
  int status = 0;
  std::string content_type;
  /// X-Not-Run: true, the request was not run.
  bool not_run = false;
  /// X-Leaving: true, the upstream is leaving.
  bool leaving = false;
  /// X-Request-Id and X-Attempt, by which it names its request.
  std::string request_id;
  std::string attempt;
  /// X-Not-Run or a part of the name came with two values.
  bool ambiguous = false;
  serving::AnswerFraming framing = serving::AnswerFraming::kConnection;
  bool keep_alive = false;

  /// What it says about its request; valid as long as this head.
  upstream::AnswerHead ToAnswerHead() const;
};

/// Client side of one HTTP connection. One operation at a time; each ends by
/// one call of its handler. An operation that passed its timeout ends with
/// asio::error::timed_out. No handler is called after Close.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using OnDone = std::function<void(ErrorCode)>;
  using OnSent = std::function<void(ErrorCode, size_t sent)>;
  using OnHead = std::function<void(ErrorCode, const HttpHead&)>;
  using OnPiece =
      std::function<void(ErrorCode, std::string_view piece, bool last)>;

  /// An operation that reads bytes which are no answer ends with
  /// errc::bad_message and is counted in `fault_log`.
  HttpClientConnection(asio::io_context& context,
                       const AnswerFaultLog& fault_log);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /// Connects to "IP:port".
  void Connect(const std::string& address, Duration timeout, OnDone handler);
  /// Sends a whole request.
  void Send(std::string text, Duration timeout, OnSent handler);
  /// Reads the head of its answer.
  void ReadHead(Duration timeout, OnHead handler);
  /// Reads some bytes of the body; `last` comes with its last bytes. The
  /// piece is valid during the call only.
  void ReadSome(Duration timeout, OnPiece handler);

  /// True if the connection is open, its last answer was read to the end and
  /// the other side has not closed it.
  bool IsReusable();
  /// Number of requests that it has carried.
  uint64_t Exchanges() const;
  void Close();

 private:
  struct Io;

  void ContinueHead(OnHead handler);
  void ContinueBody(OnPiece handler);
  /// Reads some bytes for the parser.
  void Fill(OnDone handler);
  /// Calls the handler from the event loop.
  void Post(std::function<void()> handler);
  /// Reports what is wrong with the answer. Returns the error.
  ErrorCode OnBroken();
  void Arm(Duration timeout);
  ErrorCode Disarm(ErrorCode error);

  std::unique_ptr<Io> io;
};

}  // namespace fuchsiadrum::daemon
