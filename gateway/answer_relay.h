#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/caller_connection.h"

namespace fuchsiadrum::gateway {

/// Writes the answer to one request to its caller.
class AnswerRelay {
 public:
  explicit AnswerRelay(CallerConnection& caller_connection)
      : caller(caller_connection) {}

  /// Forwards events that were read from the upstream. The first call sends the
  /// answer head before them: in chunks, of which a call with `last` sends the
  /// last, or up to the end of the connection if the upstream's answer is
  /// framed so or the caller takes no chunks. Returns false if the caller is
  /// gone.
  asio::awaitable<bool> RelayEvents(const serving::UpstreamAnswer& answer,
                                    std::string_view events, bool last);
  /// Forwards an answer that was read whole. It names its length only if the
  /// upstream has marked its end. Returns false if the caller is gone.
  asio::awaitable<bool> RelayWhole(const serving::UpstreamAnswer& answer,
                                   std::string_view body);
  /// Sends an answer that the gateway makes itself. Returns false if the caller
  /// is gone.
  asio::awaitable<bool> SendGatewayAnswer(int status,
                                          const std::string& request_id,
                                          std::optional<Duration> retry_after);
  /// True once part of a stream has been sent: no other answer may follow.
  bool HasBegun() const { return this->begun; }
  /// True if a stream has begun that only the end of the connection ends.
  bool EndsWithConnection() const { return this->ends_with_connection; }

 private:
  std::string MakeHead(const serving::UpstreamAnswer& answer);
  void EndWithConnection();

  CallerConnection& caller;
  bool begun = false;
  bool ends_with_connection = false;
};

}  // namespace fuchsiadrum::gateway
