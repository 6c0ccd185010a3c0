#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/answer_parser.h"
#include "fuchsiadrum/serving/answer_fault.h"
#include "fuchsiadrum/serving/answer_framing.h"
#include "fuchsiadrum/serving/link_load.h"
#include "gateway/answer_limit.h"
#include "gateway/asio.h"
#include "gateway/async_condition.h"
#include "gateway/watchdog.h"
#include "platform/http_fields.h"

namespace fuchsiadrum::gateway {

/// Result of reading part of an answer body.
enum class BodyReadStatus {
  kMore,    // more of the body may follow
  kEnd,     // the body is complete
  kBroken,  // the connection failed before the body was complete
};

/// Client side of an HTTP connection to an upstream or to the store. It carries
/// one request at a time. The request is sent while the answer is read, because
/// the server may answer before it has read the whole request. At the time set
/// by ExpireAt the connection closes and the pending operation fails.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>,
                       public Timed {
 public:
  /// Counts the bytes sent and received in `link_load` unless that is null.
  explicit HttpConnection(asio::io_context& context,
                          serving::LinkLoad* link_load = nullptr);

  /// Connects to "IP:port". Returns false if that fails.
  asio::awaitable<bool> Connect(const std::string& address);
  /// Starts to send head and body; does not wait for completion.
  void StartSend(std::string head, std::shared_ptr<const std::string> body);
  /// Reads the head of the answer. Returns nullptr if the connection fails
  /// before the head is complete.
  asio::awaitable<const platform::HttpAnswerHead*> ReadHead();
  /// Reads the next part of the body and appends it to `out`.
  asio::awaitable<BodyReadStatus> ReadBody(std::string& out);

  /// True until the whole request was handed to the network.
  bool IsSending() const { return this->sending; }
  /// Why the last read failed; empty if none has.
  const std::string& LastError() const { return this->last_error; }
  /// True if the other end has closed or reset the connection, so that the last
  /// read or the opening of the connection failed.
  bool WasEndedByPeer() const { return this->ended_by_peer; }
  /// What is wrong with the bytes of the current answer; kNone also if it was
  /// only cut off.
  serving::AnswerFault Fault() const {
    return this->parser ? this->parser->Fault() : serving::AnswerFault::kNone;
  }
  /// The bound that the current answer has exceeded.
  AnswerLimit ExceededLimit() const { return this->exceeded; }
  /// The answer has exceeded a bound of its reader; closes the connection, so
  /// that the other end sends no more.
  void OnLimitExceeded(AnswerLimit limit);
  /// What marks the end of the current answer; kLength before its head.
  serving::AnswerFraming Framing() const {
    return this->parser ? this->parser->Framing()
                        : serving::AnswerFraming::kLength;
  }
  /// True if another answer may follow the current one on the connection.
  bool KeepsAlive() const { return this->parser && this->parser->KeepsAlive(); }
  /// True if nothing tells where the next answer begins: the status of the
  /// current answer excludes a body, but its head announces one or says that
  /// the connection ends, or the upstream switches to another protocol.
  bool HasContradictoryFraming() const;
  /// True if another request can be sent: there was none, or the last answer
  /// was read whole and permits keep-alive, the whole request was sent, and
  /// since then neither bytes nor a close have arrived.
  bool IsReusable();
  /// True if nothing has arrived, neither bytes nor a close, since the last
  /// answer was read.
  bool IsQuiet();
  /// Remembers that the connection carries this request. Only the last
  /// kRememberedRequests are kept.
  void RememberRequest(std::string_view request_id);
  /// True if the connection is known to have carried a request with this id:
  /// an answer that names it could belong to either of the two.
  bool HasCarried(std::string_view request_id) const;
  /// Number of requests sent so far.
  uint64_t Exchanges() const { return this->exchanges; }
  /// Sets the maximum time that sent bytes may stay unacknowledged.
  void SetAckTimeout(Duration time);
  void Close();

 protected:
  void OnExpired() override;

 private:
  /// Reads some bytes for the parser. Returns the error.
  asio::awaitable<ErrorCode> ReadSome();
  /// Returns the result of a read after the connection has ended.
  asio::awaitable<BodyReadStatus> ReadEof();
  /// True if the peer has acknowledged the whole request. Waits as long as it
  /// may still do so: a server may answer early, end its side of the connection
  /// and read the rest of the request.
  asio::awaitable<bool> IsRequestDelivered();
  /// Bytes of the request that the peer has not acknowledged.
  size_t UnacknowledgedBytes();
  void OnIoError(ErrorCode error);
  /// The bytes that were read are no answer.
  void OnBrokenAnswer();

  static constexpr size_t kRememberedRequests = 16;

  Tcp::socket socket;
  serving::LinkLoad* link;
  boost::beast::flat_buffer buffer;
  std::optional<daemon::AnswerParser> parser;
  std::vector<char> read_buffer;
  std::string send_head;
  std::shared_ptr<const std::string> send_body;
  bool sending = false;
  /// Why the request could not be sent whole.
  ErrorCode send_error;
  /// Notified when the request was sent, or could not be.
  AsyncCondition send_ended;
  std::string last_error;
  bool ended_by_peer = false;
  AnswerLimit exceeded = AnswerLimit::kNone;
  uint64_t exchanges = 0;
  std::array<uint64_t, kRememberedRequests> carried{};
};

}  // namespace fuchsiadrum::gateway
