#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/appender.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/log/snapshot_reader.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::log {

/// Options of the asking side of the relay.
struct RelayClientOptions {
  /// Time between two reads through a peer.
  Duration read_interval = Duration(100'000);
  /// Time without an answer after which another peer is asked.
  Duration read_timeout = Duration(500'000);
  /// Age of a batch that is not read back after which it is relayed too: a
  /// platform can be readable and refuse appends at the same time.
  Duration append_after = Duration(1'000'000);
  /// Time between two relays of one batch.
  Duration append_interval = Duration(500'000);
  /// Time after which another peer is asked for the state.
  Duration state_timeout = Duration(1'000'000);
};

/// Reaches the log through peers, and obtains the state from them when the log
/// cannot provide it.
class RelayClient {
 public:
  RelayClient(RelayClientOptions options, Replica& replica,
              const Appender& appender, const PeerView& peers);

  /// Sends what is due. `is_direct`: this daemon reads the log itself.
  void OnTick(TimePoint now, bool is_direct, Outbox& out);
  void OnHeartbeat(const VmRef& from, const pb::Heartbeat& heartbeat);
  /// Returns the batches of the reply that continue the log at the replica's
  /// next offset; the caller folds them.
  std::vector<std::string> OnReadReply(TimePoint now, const VmRef& from,
                                       const pb::ReadRelayReply& reply);
  /// True if the reply completed a state that was loaded.
  bool OnStateReply(TimePoint now, const VmRef& from,
                    const pb::StateReply& reply, Outbox& out);

  /// True if a peer that reaches the log answered lately.
  bool IsRelayReachable(TimePoint now) const;
  /// Latest heartbeat of a daemon; nullptr: none.
  const pb::Heartbeat* LastHeartbeat(const std::string& vm) const;

 private:
  /// Alive peers, those that reach the log and are furthest first.
  std::vector<VmRef> Candidates() const;
  void Read(TimePoint now, Outbox& out);
  void RelayAppend(TimePoint now, Outbox& out);
  void AskState(TimePoint now, Outbox& out);

  RelayClientOptions options;
  Replica& replica;
  const Appender& appender;
  const PeerView& peers;
  std::map<std::string, pb::Heartbeat> heartbeats;

  std::optional<TimePoint> read_at;
  std::optional<TimePoint> read_reply_at;
  size_t read_turn = 0;
  bool was_direct = true;
  std::optional<TimePoint> reachable_at;
  std::optional<TimePoint> appended_at;
  size_t append_turn = 0;

  /// A peer's cache begins above the next offset: only its state helps.
  bool wants_jump = false;
  std::optional<TimePoint> started_at;
  std::optional<TimePoint> state_asked_at;
  uint64_t ask_id = 0;
  SnapshotReader state_reader;
};

}  // namespace fuchsiadrum::log
