#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/core/rng.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "gateway/stream_follower.h"

namespace fuchsiadrum::gateway {

/// Options of TokenCallClient.
struct TokenCallClientOptions {
  /// Name of this gateway process among the holders: "<vm>/<incarnation>".
  std::string holder;
  std::string store_address;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// How long a read may wait in the store for a new call.
  Duration long_poll_wait = std::chrono::seconds(4);
  /// Delay between two reads, for each VM of the fleet: each call ends the
  /// pending read of every VM. With 113 VMs, a VM reads 1.8 times per second at
  /// most.
  Duration read_interval_per_vm = std::chrono::milliseconds(5);
  Duration min_read_interval = std::chrono::milliseconds(50);
  Duration max_read_interval = std::chrono::seconds(1);
  /// Age above which a call is ignored: the shortage has passed, or was called
  /// again. Clocks of VMs differ by less.
  Duration max_call_age = std::chrono::seconds(3);
  /// Maximum number of calls that wait to be written; further ones are dropped.
  size_t max_pending = 8;
};

/// Announces this gateway's calls for tokens in a stream that all gateways
/// follow, and tells the grant holder the calls of the others.
class TokenCallClient {
 public:
  /// `on_call` is called after a call of another gateway was taken over.
  TokenCallClient(const TokenCallClientOptions& opts,
                  asio::io_context& io_context, Watchdog& watchdog,
                  EventLog& log, budget::GrantHolder& grant_holder,
                  std::function<void()> on_call);

  /// Starts the background coroutines, which run until the process ends.
  void Start();
  void SetFleetSize(size_t size);
  /// Announces a call for `amount` tokens. It is made once, without a retry: a
  /// shortage that lasts is called again.
  void Announce(const std::string& organisation, Tokens amount);

  uint64_t Calls() const {
    return this->follower.Calls() + this->writer.Calls();
  }
  /// Calls for tokens that were written.
  uint64_t Announced() const { return this->writer.Calls(); }

 private:
  void OnRecord(const store::KeyedRecord& record);
  asio::awaitable<void> WriteLoop();

  TokenCallClientOptions options;
  asio::io_context& context;
  EventLog& event_log;
  budget::GrantHolder& holder;
  std::function<void()> on_call;
  StreamFollower follower;
  StoreClient writer;
  AsyncCondition write_due;
  /// Tokens to call for, by organisation.
  std::map<std::string, Tokens> pending;
  Rng rng;
};

}  // namespace fuchsiadrum::gateway
