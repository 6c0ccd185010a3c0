#include "fuchsiadrum/log/snapshot_reader.h"

#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::log {

std::optional<pb::Snapshot> SnapshotReader::Add(
    const pb::SnapshotChunk& chunk) {
  const std::optional<Open> done = this->Collect(chunk);
  if (!done) return std::nullopt;

  auto snapshot = this->Finish(*done);
  if (snapshot && snapshot->base_offset() != done->base_offset) {
    this->last_reason = {.step = "snapshot", .text = "wrong base offset"};
    return std::nullopt;
  }
  return snapshot;
}

std::optional<pb::Snapshot> SnapshotReader::AddState(
    const pb::SnapshotChunk& chunk) {
  const std::optional<Open> done = this->Collect(chunk);
  return done ? this->Finish(*done) : std::nullopt;
}

std::optional<SnapshotReader::Open> SnapshotReader::Collect(
    const pb::SnapshotChunk& chunk) {
  Open* const target = this->FindOrOpen(chunk);
  if (target == nullptr) return std::nullopt;

  std::optional<std::string>& slot = target->chunks[chunk.index()];
  if (!slot) {
    slot = chunk.data();
    --target->missing;
  }

  const bool is_finished =
      target->missing == 0 || this->mutation == Mutation::kTrustPartialSnapshot;
  if (!is_finished) return std::nullopt;

  Open done = std::move(*target);
  target->id.clear();
  std::erase_if(this->open, [](const Open& o) { return o.id.empty(); });
  return done;
}

SnapshotReader::Open* SnapshotReader::FindOrOpen(
    const pb::SnapshotChunk& chunk) {
  if (chunk.snapshot_id().empty() || chunk.count() == 0 ||
      chunk.count() > kMaxChunks || chunk.index() >= chunk.count()) {
    this->last_reason = {.step = "snapshot", .text = "malformed chunk"};
    return nullptr;
  }

  for (Open& candidate : this->open) {
    if (candidate.id != chunk.snapshot_id()) continue;
    if (candidate.base_offset == chunk.base_offset() &&
        candidate.digest == chunk.digest() &&
        candidate.chunks.size() == chunk.count()) {
      return &candidate;
    }
    this->last_reason = {.step = "snapshot",
                         .text = "chunk contradicts its snapshot"};
    return nullptr;
  }

  if (this->open.size() == kMaxOpen) this->open.pop_front();
  this->open.push_back({.id = chunk.snapshot_id(),
                        .base_offset = chunk.base_offset(),
                        .digest = chunk.digest(),
                        .chunks = {},
                        .missing = chunk.count()});
  this->open.back().chunks.resize(chunk.count());
  return &this->open.back();
}

std::optional<pb::Snapshot> SnapshotReader::Finish(const Open& finished) {
  std::string bytes;
  for (const auto& part : finished.chunks) bytes += part.value_or("");

  const bool trusted = this->mutation == Mutation::kTrustPartialSnapshot;
  if (!trusted && Sha256(bytes) != finished.digest) {
    this->last_reason = {.step = "snapshot", .text = "digest does not match"};
    return std::nullopt;
  }

  pb::Snapshot snapshot;
  const bool is_parsed = snapshot.ParseFromString(bytes);
  if (trusted) {
    snapshot.set_base_offset(finished.base_offset);
    return snapshot;
  }
  if (!is_parsed) {
    this->last_reason = {.step = "snapshot", .text = "malformed contents"};
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace fuchsiadrum::log
