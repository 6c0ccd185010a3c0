#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/fold_part.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/mutation.h"
#include "fuchsiadrum/log/snapshot_reader.h"
#include "fuchsiadrum/log/writer_table.h"

namespace fuchsiadrum::log {

/// Format version of the records that this build writes without RaiseFormat.
inline constexpr uint32_t kBaseFormat = 1;

/// Options of a replica.
struct ReplicaOptions {
  /// Key of the fleet, for the batches' MACs.
  std::string fleet_key;
  /// This daemon.
  VmRef self;
  /// Latest record format that this build can fold.
  uint32_t supported_format = kBaseFormat;
  /// The digest is kept for comparison at multiples of this many batches. At
  /// the target size a digest takes 16 ms and the log gets up to 300 batches/s;
  /// 512 keeps the comparison below 1% of a core.
  uint64_t digest_interval = 512;
  /// Kept digests.
  size_t digest_count = 64;
  /// Rule to break; only the bench sets it.
  Mutation mutation = Mutation::kNone;
};

/// What the replica does with the batches it is given.
enum class ReplicaPhase {
  kUnknown,   // no state yet, and the log's bounds are not known
  kScanning,  // no state, or one older than the log: looks for a snapshot
  kFolding,   // folds
  kStopped,   // met a format that it does not support
};

/// Name of a phase, for log lines.
std::string_view PhaseName(ReplicaPhase phase);

/// What was read from the log so far.
struct ReplicaCounters {
  uint64_t batches = 0;
  uint64_t records = 0;
  /// Batches that were folded before.
  uint64_t duplicates = 0;
  /// Batches whose sequence leaves a gap.
  uint64_t gaps = 0;
  uint64_t malformed = 0;
  uint64_t bad_macs = 0;
  /// Batches of a format that was not raised before.
  uint64_t early_formats = 0;
  /// Records without any content.
  uint64_t empty_records = 0;
  uint64_t snapshots_loaded = 0;
  uint64_t digest_alarms = 0;
};

/// Folds the log into the state of one daemon: reads batches in order, drops
/// repetitions, calls all fold parts and then all agents.
///
/// Bad batches are skipped by every daemon in the same way. A daemon that does
/// not know a record kind stops, because its state would differ from the
/// others' if it skipped the record.
class Replica {
 public:
  /// `parts` and `agents` must outlive the replica.
  Replica(ReplicaOptions options, std::vector<FoldPart*> parts,
          std::vector<Agent*> agents);

  /// Offset from which the daemon has to read next.
  uint64_t NextOffset() const;
  /// Consecutive serialised batches from offset `from`. Batches below
  /// NextOffset are ignored; a gap above it is refused.
  void OnBatches(TimePoint now, uint64_t from,
                 const std::vector<std::string>& batches, Outbox& out);
  /// The log has records in [first_retained, end).
  void OnBounds(TimePoint now, uint64_t first_retained, uint64_t end);
  /// Replaces the state by one that a peer sent. False if it is malformed or
  /// older than the present state or the log's first record.
  bool LoadState(TimePoint now, const pb::Snapshot& snapshot, Outbox& out);
  /// A peer that reaches the log has no further batches; stands for OnBounds on
  /// a daemon that does not reach it.
  void NoteCaughtUp();
  /// Takes the present state, which fell out of retention, for the state at
  /// `offset`. Only right when no daemon folded the records between them.
  void AdoptGap(TimePoint now, uint64_t offset);

  /// The present state, with NextOffset as its base.
  pb::Snapshot MakeSnapshot() const;
  ReplicaPhase Phase() const { return this->phase; }
  /// True while the state is current enough to act on: folding, and up to the
  /// end of the log that was known at the start.
  bool IsReady() const;
  /// True when a scan reached the end of the log without finding a snapshot.
  bool NeedsPeerState() const;
  /// Offset behind the last folded batch; not the scan position.
  uint64_t FoldedOffset() const { return this->next; }
  uint64_t FirstRetained() const { return this->first_retained; }
  uint64_t LogEnd() const { return this->log_end; }
  /// Format version that records may have at this offset.
  uint32_t Format() const { return this->format; }
  /// Base offset of the newest complete snapshot on the log; nullopt: none.
  std::optional<uint64_t> SnapshotBase() const { return this->snapshot_base; }
  /// Last folded sequence of a writer; 0: none.
  uint64_t LastSequence(const VmRef& writer) const {
    return this->writers.Last(writer);
  }

  /// Digest of the whole state at FoldedOffset.
  uint64_t Digest() const;
  /// Newest kept digest, for heartbeats: (offset, digest).
  std::optional<std::pair<uint64_t, uint64_t>> LatestDigest() const;
  /// Compares a peer's digest with the own one at the same offset. Returns an
  /// alarm that names both daemons, once for each peer and offset.
  std::optional<Reason> CompareDigest(const VmRef& peer, uint64_t offset,
                                      uint64_t peer_digest);

  const ReplicaCounters& Counters() const { return this->counters; }
  /// Why the replica is not ready, or the last fault that it met.
  const Reason& LastReason() const { return this->last_reason; }

 private:
  /// A valid batch with the validity of the batches that it combines.
  struct Opened {
    pb::Batch batch;
    /// Valid inner batches in order; a record without a combined batch has
    /// none.
    std::vector<std::vector<pb::Batch>> inner;
  };
  bool FoldOffset(TimePoint now, const std::string& bytes, Outbox& out);
  bool OpenCounted(const std::string& bytes, pb::Batch& batch);
  Opened OpenInner(pb::Batch batch);
  bool IsSupported(const pb::Batch& batch);
  void FoldBatch(TimePoint now, const pb::Batch& batch, uint32_t& index,
                 const std::vector<std::vector<pb::Batch>>* inner, Outbox& out);
  bool AdmitBatch(const pb::Batch& batch);
  void FoldRecord(TimePoint now, LogPosition at, const VmRef& writer,
                  const pb::Record& record, Outbox& out);
  Verdict FoldOwn(const pb::Record& record);
  void ScanBatch(TimePoint now, const std::string& bytes, Outbox& out);
  bool ScanRecords(TimePoint now, const pb::Batch& batch, Outbox& out);
  bool Install(TimePoint now, const pb::Snapshot& snapshot, Outbox& out);
  void KeepDigest();
  void BeginScan();

  ReplicaOptions options;
  std::vector<FoldPart*> parts;
  std::vector<Agent*> agents;

  ReplicaPhase phase = ReplicaPhase::kUnknown;
  uint64_t next = 0;
  uint64_t scan_next = 0;
  uint64_t first_retained = 0;
  uint64_t log_end = 0;
  bool bounds_known = false;
  /// End of the log when the state was obtained; readiness waits for it.
  std::optional<uint64_t> ready_at;
  uint32_t format = kBaseFormat;
  WriterTable writers;
  SnapshotReader snapshots;
  std::optional<uint64_t> snapshot_base;
  std::map<uint64_t, uint64_t> digests;
  std::map<VmRef, uint64_t> alarmed;
  ReplicaCounters counters;
  Reason last_reason;
};

}  // namespace fuchsiadrum::log
