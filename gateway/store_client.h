#pragma once

#include <memory>
#include <optional>
#include <string>

#include "fuchsiadrum/serving/answer_fault.h"
#include "fuchsiadrum/store/store_era.h"
#include "gateway/asio.h"
#include "gateway/event_log.h"
#include "gateway/http_connection.h"
#include "gateway/watchdog.h"
#include "platform/store_codec.h"

namespace fuchsiadrum::gateway {

/// Where the store is, and what is known of the copy of it that answers.
struct StoreEndpoint {
  /// IP:port.
  std::string address;
  store::StoreEra era;
};

/// Answer of the store; the status is 0 if the call failed without an answer,
/// or if its answer was made by an earlier or later copy of the store than the
/// call was made for.
struct StoreReply {
  int status = 0;
  std::string body;
  /// What was wrong with the bytes of the answer.
  serving::AnswerFault fault = serving::AnswerFault::kNone;
};

/// Answers of the store that do not fit a write after which the write gets
/// another epoch: the store may give its sequence number another answer for
/// ever.
constexpr int kMaxUnprovenAnswers = 3;

/// Client of the platform's store over one connection, which is opened again
/// after a failure. Only one call may be pending at a time. Tells the
/// endpoint's era of each answer.
class StoreClient {
 public:
  StoreClient(asio::io_context& io_context, Watchdog& timeouts,
              StoreEndpoint& store)
      : context(io_context), watchdog(timeouts), endpoint(store) {}

  /// Sends a request and reads the answer. `timeout` applies to the time until
  /// the answer begins, and then to the time between its parts. A call that
  /// fails without an answer may have been applied, or may be applied later.
  asio::awaitable<StoreReply> Call(std::string text, Duration timeout);
  /// Closes the connection: its last answer was none to the call that was made,
  /// so that the next one may be that answer.
  void Disconnect();
  /// Lets the pending call fail, if there is one.
  void Abort() {
    if (this->connection) this->connection->Close();
  }
  /// Disconnects and logs the reply, which does not fit the call.
  void DropUnproven(const StoreReply& reply, EventLog& log);
  const std::string& Address() const { return this->endpoint.address; }
  /// Calls made, answered or not.
  uint64_t Calls() const { return this->calls; }

 private:
  asio::io_context& context;
  Watchdog& watchdog;
  StoreEndpoint& endpoint;
  std::shared_ptr<HttpConnection> connection;
  uint64_t calls = 0;
};

/// Reads the newest record of every key of a partition, page by page; nullopt
/// if a read fails. The end offset is that of the last page.
asio::awaitable<std::optional<store::NewestPage>> ReadAllNewest(
    StoreClient& client, platform::StreamPartition partition, Duration timeout);

}  // namespace fuchsiadrum::gateway
