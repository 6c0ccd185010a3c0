#include "fuchsiadrum/log/snapshot_writer.h"

#include <algorithm>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::log {

std::vector<pb::SnapshotChunk> SnapshotWriter::Chunks(
    const pb::Snapshot& snapshot, const VmRef& writer, size_t max_chunk_bytes) {
  FD_ASSERT(max_chunk_bytes > 0, "snapshot: empty chunks");

  const std::string bytes = snapshot.SerializeAsString();
  const std::string digest = Sha256(bytes);
  const std::string id = writer.ToString() + "@" +
                         std::to_string(snapshot.base_offset()) + "#" +
                         ToHex(digest.substr(0, 4));
  const size_t count = std::max<size_t>(
      1, (bytes.size() + max_chunk_bytes - 1) / max_chunk_bytes);

  std::vector<pb::SnapshotChunk> out(count);
  for (size_t i = 0; i < count; ++i) {
    pb::SnapshotChunk& chunk = out[i];
    chunk.set_snapshot_id(id);
    chunk.set_base_offset(snapshot.base_offset());
    chunk.set_index(static_cast<uint32_t>(i));
    chunk.set_count(static_cast<uint32_t>(count));
    chunk.set_digest(digest);
    chunk.set_data(bytes.substr(i * max_chunk_bytes, max_chunk_bytes));
  }
  return out;
}

}  // namespace fuchsiadrum::log
