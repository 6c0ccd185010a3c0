#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/appender.h"
#include "fuchsiadrum/log/relay_client.h"
#include "fuchsiadrum/log/relay_server.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/log/snapshot_schedule.h"
#include "fuchsiadrum/log/snapshot_writer.h"

namespace fuchsiadrum::log {

/// Options of the log agent.
struct LogAgentOptions {
  AppenderOptions appender;
  RelayServerOptions server;
  RelayClientOptions client;
  SnapshotScheduleOptions schedule;
  /// Names of the other daemons in the settings. All of them have to agree
  /// before a gap that nobody folded is given up.
  std::vector<std::string> members;
  /// Time without an answer of the log after which peers are asked.
  Duration direct_timeout = Duration(2'000'000);
  /// Number of daemons above which one in each zone appends for the others.
  size_t combine_above = 32;
  /// Time after which a daemon that combines is bypassed for its silence.
  Duration combine_timeout = Duration(500'000);
  Duration combine_bypass = Duration(5'000'000);
  /// Chunks of snapshots on the log, in bytes.
  size_t snapshot_chunk_bytes = SnapshotWriter::kMaxChunkBytes;
  /// Time for which all members must agree that nobody folded a gap.
  Duration give_up_after = Duration(5'000'000);
};

/// The access of one daemon to the log: feeds the replica directly or through
/// peers, appends, serves peers, and writes snapshots.
class LogAgent : public Agent {
 public:
  /// Replica and peer view must outlive the agent. The agent is not one of the
  /// replica's own agents.
  LogAgent(LogAgentOptions options, Replica& replica, const PeerView& peers);

  /// Offset from which the daemon has to read next.
  uint64_t NextOffset() const { return this->replica.NextOffset(); }
  /// Consecutive batches that the log returned from offset `from`.
  void OnLogBatches(TimePoint now, uint64_t from,
                    const std::vector<std::string>& batches, Outbox& out);
  /// The log answered a read; it has records in [first_retained, end).
  void OnLogBounds(TimePoint now, uint64_t first_retained, uint64_t end);
  /// A read of the log failed.
  void OnLogUnreachable(TimePoint now);

  /// Queues records; false: the queue is full and nothing was taken.
  bool AddRecords(TimePoint now, const std::vector<pb::Record>& records) {
    return this->appender.Add(now, records);
  }
  /// Batch that the daemon has to append to the log now, once; nullopt: none.
  /// In a large fleet the batch goes to the zone's combining daemon instead.
  std::optional<std::string> NextAppend(TimePoint now, Outbox& out);
  /// The append was answered; false: refused, failed or no answer.
  void OnAppendAnswer(TimePoint now, bool stored);

  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  /// True when all records have been read back.
  bool IsDrained() const override { return this->appender.IsEmpty(); }

  /// True if the log answered this daemon lately.
  bool IsDirect(TimePoint now) const;
  /// True if a peer that reaches the log answered lately.
  bool IsRelayReachable(TimePoint now) const {
    return this->client.IsRelayReachable(now);
  }
  /// Alarms since the last call, for the log and the operators.
  std::vector<Reason> TakeAlarms();
  const Appender& GetAppender() const { return this->appender; }
  /// Goes on with the present state although records behind it fell out of
  /// retention before this daemon read them. An operators' order: accepted
  /// changes and grants among the lost records are undone. False: there is no
  /// such gap.
  bool GiveUpGap(TimePoint now);
  /// Offsets [first, second) that this daemon gave up last; nullopt: none.
  const std::optional<std::pair<uint64_t, uint64_t>>& GapGivenUp() const {
    return this->gap_given_up;
  }
  /// Snapshots that this daemon began to write.
  uint64_t SnapshotsWritten() const { return this->snapshots_written; }

 private:
  void Fold(TimePoint now, uint64_t from,
            const std::vector<std::string>& batches, Outbox& out);
  std::optional<VmRef> Combiner(TimePoint now) const;
  void WriteSnapshotIfDue(TimePoint now);
  void NoteMembers();
  bool HasGap() const;
  void GiveUpGapIfSafe(TimePoint now);
  bool HasNobodyFoldedGap() const;

  LogAgentOptions options;
  Replica& replica;
  const PeerView& peers;
  Appender appender;
  RelayServer server;
  RelayClient client;
  SnapshotSchedule schedule;

  std::optional<TimePoint> direct_at;
  /// When the batch in flight was given to the combining daemon.
  std::optional<TimePoint> combine_sent;
  std::optional<TimePoint> bypass_since;
  std::optional<TimePoint> gap_since;
  std::optional<std::pair<uint64_t, uint64_t>> gap_given_up;
  /// Incarnations that were alive when this daemon last read the log.
  std::map<std::string, uint64_t> incarnations;
  bool snapshot_at_once = false;
  uint64_t snapshots_written = 0;
  std::vector<Reason> alarms;
};

}  // namespace fuchsiadrum::log
