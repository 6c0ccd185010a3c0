#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/log/mutation.h"
#include "schema/record.pb.h"
#include "schema/snapshot.pb.h"

namespace fuchsiadrum::log {

/// Assembles snapshots from chunks that arrive in any order, mixed with those
/// of other writers, doubled or cut off. Only a complete snapshot whose digest
/// matches is handed out.
class SnapshotReader {
 public:
  /// Unfinished snapshots that are kept; an older one is dropped for a newer.
  static constexpr size_t kMaxOpen = 4;
  /// Largest snapshot that is accepted, in chunks (1 GiB).
  static constexpr uint32_t kMaxChunks = 4096;

  explicit SnapshotReader(Mutation mutation = Mutation::kNone)
      : mutation(mutation) {}

  /// Adds a chunk; the snapshot if this chunk completes it.
  std::optional<pb::Snapshot> Add(const pb::SnapshotChunk& chunk);
  /// Like Add, for a state from a peer, whose base offset is only inside it.
  std::optional<pb::Snapshot> AddState(const pb::SnapshotChunk& chunk);
  /// Forgets all unfinished snapshots.
  void Clear() { this->open.clear(); }
  /// Why the last chunk or snapshot was refused.
  const Reason& LastReason() const { return this->last_reason; }

 private:
  struct Open {
    std::string id;
    uint64_t base_offset = 0;
    std::string digest;
    std::vector<std::optional<std::string>> chunks;
    uint32_t missing = 0;
  };
  Open* FindOrOpen(const pb::SnapshotChunk& chunk);
  std::optional<Open> Collect(const pb::SnapshotChunk& chunk);
  std::optional<pb::Snapshot> Finish(const Open& finished);

  Mutation mutation;
  std::deque<Open> open;
  Reason last_reason;
};

}  // namespace fuchsiadrum::log
