#include <gtest/gtest.h>

#include <algorithm>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/log/snapshot_reader.h"
#include "fuchsiadrum/log/snapshot_writer.h"
#include "tests/log/log_test_support.h"

namespace fuchsiadrum::log {
namespace {

class SnapshotTest : public ::testing::Test {
 protected:
  SnapshotTest() {
    std::vector<std::string> batches;
    for (uint64_t i = 1; i <= 10; ++i) {
      batches.push_back(
          Sealed(this->writer, i, {TopUpRecord("org" + std::to_string(i), 5)}));
    }
    this->source.OnBatches({}, 0, batches, this->out);
    this->chunks =
        SnapshotWriter::Chunks(this->source.MakeSnapshot(), this->writer, 20);
  }
  pb::Record ChunkRecord(size_t index) const {
    pb::Record record;
    *record.mutable_snapshot_chunk() = this->chunks[index];
    return record;
  }
  /// Batches with one chunk each, numbered from a sequence on.
  std::vector<std::string> ChunkBatches(const VmRef& by, uint64_t sequence,
                                        size_t count) const {
    std::vector<std::string> batches;
    for (size_t i = 0; i < count; ++i) {
      batches.push_back(Sealed(by, sequence + i, {this->ChunkRecord(i)}));
    }
    return batches;
  }

  const VmRef writer{.vm = "a1", .incarnation = 7};
  const VmRef other{.vm = "b1", .incarnation = 3};
  const ReplicaOptions options{.fleet_key = std::string(kTestKey),
                               .self = {.vm = "c1", .incarnation = 1}};
  Outbox out;
  SumPart source_part;
  Replica source{this->options, {&source_part}, {}};
  std::vector<pb::SnapshotChunk> chunks;

  SumPart part;
  NotingAgent agent;
  Replica replica{this->options, {&part}, {&agent}};
};

// Guards against a state that differs after a start from a snapshot.
TEST_F(SnapshotTest, OnBatches_LogAboveZeroWithSnapshot_LoadsAndFolds) {
  ASSERT_GT(this->chunks.size(), 3U);
  this->replica.OnBounds({}, 10, 10 + this->chunks.size());
  auto batches = this->ChunkBatches(this->writer, 11, this->chunks.size());
  this->replica.OnBatches({}, 10, batches, this->out);
  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kFolding);
  EXPECT_EQ(this->replica.NextOffset(), 10U);
  EXPECT_EQ(this->agent.loads, 1);
  EXPECT_FALSE(this->replica.IsReady());

  this->replica.OnBatches({}, 10, batches, this->out);
  this->source.OnBatches({}, 10, batches, this->out);
  EXPECT_TRUE(this->replica.IsReady());
  EXPECT_EQ(this->part.sums, this->source_part.sums);
  EXPECT_EQ(this->replica.Digest(), this->source.Digest());
  EXPECT_EQ(this->replica.SnapshotBase(), 10U);
}

// Guards against a start from a snapshot that was cut off.
TEST_F(SnapshotTest, OnBatches_SnapshotCutOff_StaysWithoutState) {
  this->replica.OnBounds({}, 10, 10 + this->chunks.size());
  this->replica.OnBatches(
      {}, 10, this->ChunkBatches(this->writer, 11, this->chunks.size() - 1),
      this->out);
  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kScanning);
  EXPECT_TRUE(this->part.sums.empty());
}

// Guards against a scan that reads only the first of several combined batches
// (the parsed batch was once overwritten while it was walked through).
TEST_F(SnapshotTest, OnBatches_SnapshotInCombinedBatches_IsFound) {
  pb::Record combined;
  for (const auto& batch :
       this->ChunkBatches(this->other, 1, this->chunks.size())) {
    combined.mutable_combined_batch()->add_batches(batch);
  }
  this->replica.OnBounds({}, 10, 11);
  this->replica.OnBatches({}, 10, {Sealed(this->writer, 11, {combined})},
                          this->out);
  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kFolding);
  EXPECT_EQ(this->part.sums, this->source_part.sums);
}

// Guards against two writers at once spoiling each other's snapshots.
TEST_F(SnapshotTest, Add_TwoWritersInterleaved_BothComplete) {
  const auto theirs =
      SnapshotWriter::Chunks(this->source.MakeSnapshot(), this->other, 20);
  SnapshotReader reader;
  int complete = 0;
  for (size_t i = 0; i < theirs.size(); ++i) {
    complete += reader.Add(theirs[i]) ? 1 : 0;
    complete += reader.Add(this->chunks[i]) ? 1 : 0;
  }
  EXPECT_EQ(complete, 2);
}

// Guards against chunks that are doubled, shuffled or forged.
TEST_F(SnapshotTest, Add_ShuffledChunks_CompleteOnlyIfTheDigestMatches) {
  Rng rng(5);
  for (int round = 0; round < 20; ++round) {
    auto shuffled = this->chunks;
    shuffled.push_back(shuffled[rng.Below(shuffled.size())]);
    for (size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[rng.Below(i)]);
    }
    const bool forged = round % 2 == 1;
    if (forged) {
      for (auto& chunk : shuffled) {
        if (chunk.index() == 1) chunk.set_data("other");
      }
    }

    SnapshotReader reader;
    bool complete = false;
    for (const auto& chunk : shuffled) {
      complete |= reader.Add(chunk).has_value();
    }
    EXPECT_EQ(complete, !forged);
  }
}

// Guards against a snapshot that is older than the log's first record: the
// records between them are gone.
TEST_F(SnapshotTest, OnBatches_SnapshotOlderThanRetention_IsNotLoaded) {
  this->replica.OnBounds({}, 12, 12 + this->chunks.size());
  this->replica.OnBatches(
      {}, 12, this->ChunkBatches(this->other, 1, this->chunks.size()),
      this->out);
  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kScanning);
}

// Guards against half a state when one part refuses a snapshot.
TEST_F(SnapshotTest, LoadState_PartRefuses_KeepsTheFormerState) {
  SumPart first;
  SumPart second;
  second.refuse = true;
  Replica both(this->options, {&first, &second}, {});
  EXPECT_FALSE(both.LoadState({}, this->source.MakeSnapshot(), this->out));
  EXPECT_TRUE(first.sums.empty());
  EXPECT_EQ(both.NextOffset(), 0U);
}

// Guards against a daemon that goes on folding after records it never read
// fell out of retention.
TEST_F(SnapshotTest, OnBounds_PositionFellOut_ReloadsAndKeepsAgents) {
  this->source.OnBounds({}, 12, 20);
  EXPECT_EQ(this->source.Phase(), ReplicaPhase::kScanning);
  EXPECT_FALSE(this->source.IsReady());
  EXPECT_EQ(this->source.NextOffset(), 12U);
  EXPECT_EQ(this->source.FoldedOffset(), 10U);

  // An older state does not help, one at the first record does.
  EXPECT_FALSE(
      this->source.LoadState({}, this->source.MakeSnapshot(), this->out));
  pb::Snapshot newer = this->source.MakeSnapshot();
  newer.set_base_offset(12);
  EXPECT_TRUE(this->source.LoadState({}, newer, this->out));
  EXPECT_EQ(this->source.NextOffset(), 12U);
}

}  // namespace
}  // namespace fuchsiadrum::log
