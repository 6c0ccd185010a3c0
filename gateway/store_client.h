#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/asio.h"
#include "gateway/http_connection.h"
#include "gateway/watchdog.h"
#include "platform/store_codec.h"

namespace fuchsiadrum::gateway {

/// Answer of the store; status 0: none came.
struct StoreReply {
  int status = 0;
  std::string body;
};

/// One connection to the platform's store, made again when it fails. One call
/// at a time.
class StoreClient {
 public:
  StoreClient(asio::io_context& io_context, Watchdog& timeouts,
              std::string store_address)
      : context(io_context),
        watchdog(timeouts),
        address(std::move(store_address)) {}

  /// Sends the call. `timeout`: until the answer begins, and between its parts.
  /// Without an answer the call may have been done, or may be done later.
  asio::awaitable<StoreReply> Call(std::string text, Duration timeout);
  const std::string& Address() const { return this->address; }
  /// Calls made, answered or not.
  uint64_t Calls() const { return this->calls; }

 private:
  asio::io_context& context;
  Watchdog& watchdog;
  std::string address;
  std::shared_ptr<HttpConnection> connection;
  uint64_t calls = 0;
};

/// Reads the newest record of every key of a partition, page by page; nullopt:
/// the store does not answer. The end is that of the last page.
asio::awaitable<std::optional<store::NewestPage>> ReadAllNewest(
    StoreClient& client, platform::StreamPartition part, Duration timeout);

}  // namespace fuchsiadrum::gateway
