#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/appender.h"
#include "fuchsiadrum/log/batch_cache.h"
#include "fuchsiadrum/log/replica.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::log {

/// Options of the serving side of the relay.
struct RelayServerOptions {
  std::string fleet_key;
  /// Batches kept for peers, in bytes.
  size_t cache_bytes = 8UL * 1024 * 1024;
  /// Largest answer to one read, in bytes and batches.
  size_t reply_bytes = 256UL * 1024;
  size_t reply_batches = 512;
  /// Chunks of a state, in bytes.
  size_t chunk_bytes = 256UL * 1024;
  /// Shortest time between two states for one peer.
  Duration state_spacing = Duration(500'000);
};

/// Serves peers that do not reach the log, or that lack the state.
class RelayServer {
 public:
  RelayServer(RelayServerOptions options, const Replica& replica,
              Appender& appender);

  /// Batches that this daemon obtained.
  void NoteBatches(uint64_t from, const std::vector<std::string>& batches) {
    this->cache.Add(from, batches);
  }
  /// Answers a read. `log_reachable` is about this daemon itself.
  void OnReadRelay(const VmRef& from, const pb::ReadRelay& ask,
                   bool log_reachable, Outbox& out) const;
  /// Takes a batch of a peer for the next append.
  void OnAppendRelay(TimePoint now, const VmRef& from,
                     const pb::AppendRelay& ask, bool log_reachable,
                     Outbox& out);
  /// Sends the present state in chunks, unless this daemon has none.
  void OnStateAsk(TimePoint now, const VmRef& from, const pb::StateAsk& ask,
                  Outbox& out);

 private:
  RelayServerOptions options;
  const Replica& replica;
  Appender& appender;
  BatchCache cache;
  std::map<VmRef, TimePoint> last_state;
};

}  // namespace fuchsiadrum::log
