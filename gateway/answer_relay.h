#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/serving/caller_request.h"
#include "gateway/caller_connection.h"

namespace fuchsiadrum::gateway {

/// Writes the answer of one request to its caller.
class AnswerRelay {
 public:
  explicit AnswerRelay(CallerConnection& caller_connection)
      : caller(caller_connection) {}

  /// Passes events of a stream on; the first ones bring the head with them, and
  /// the last ones end the answer. False: the caller is gone.
  asio::awaitable<bool> PassEvents(const serving::UpstreamAnswer& answer,
                                   std::string_view events, bool last);
  /// Passes on an answer that was read whole.
  asio::awaitable<bool> PassWhole(const serving::UpstreamAnswer& answer,
                                  std::string_view body);
  /// Sends an answer of the gateway itself.
  asio::awaitable<bool> PassOwn(int status, const std::string& request_id,
                                std::optional<Duration> retry_after);
  /// Part of a stream has gone out: no other answer may follow.
  bool HasBegun() const { return this->begun; }

 private:
  std::string Head(const serving::UpstreamAnswer& answer) const;

  CallerConnection& caller;
  bool begun = false;
};

}  // namespace fuchsiadrum::gateway
