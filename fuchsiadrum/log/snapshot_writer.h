#pragma once

#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/record.pb.h"
#include "schema/snapshot.pb.h"

namespace fuchsiadrum::log {

/// Cuts a snapshot into chunk records.
class SnapshotWriter {
 public:
  /// Largest chunk. Batches stay small enough for any log service, and other
  /// records wait for one chunk at most.
  static constexpr size_t kMaxChunkBytes = 256UL * 1024;

  /// Chunks of the snapshot, in order. The id names writer and base offset, so
  /// that chunks of two writers are never mixed.
  static std::vector<pb::SnapshotChunk> Chunks(
      const pb::Snapshot& snapshot, const VmRef& writer,
      size_t max_chunk_bytes = kMaxChunkBytes);
};

}  // namespace fuchsiadrum::log
