#include "fuchsiadrum/log/replica.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/log/snapshot_writer.h"
#include "tests/log/log_test_support.h"

namespace fuchsiadrum::log {
namespace {

class ReplicaTest : public ::testing::Test {
 protected:
  void Feed(uint64_t from, const std::vector<std::string>& batches) {
    this->replica.OnBatches({}, from, batches, this->out);
  }

  const VmRef writer{.vm = "a1", .incarnation = 7};
  const VmRef other{.vm = "b1", .incarnation = 3};
  SumPart part;
  NotingAgent agent;
  Outbox out;
  Replica replica{{.fleet_key = std::string(kTestKey),
                   .self = {.vm = "c1", .incarnation = 1},
                   .digest_interval = 1},
                  {&part},
                  {&agent}};
};

// Guards against an append whose answer was lost being folded twice.
TEST_F(ReplicaTest, OnBatches_RepeatedSequence_IsFoldedOnce) {
  const std::string batch =
      Sealed(this->writer, 1, {TopUpRecord("acme", 5), TopUpRecord("acme", 1)});
  this->Feed(0, {batch, batch});

  EXPECT_EQ(this->part.sums["acme"], 6);
  EXPECT_EQ(this->replica.Counters().duplicates, 1U);
  EXPECT_EQ(this->replica.NextOffset(), 2U);
  EXPECT_EQ(this->agent.seen.size(), 2U);
}

// Guards against a lost batch of a writer being passed over.
TEST_F(ReplicaTest, OnBatches_SequenceWithGap_IsDropped) {
  this->Feed(0, {Sealed(this->writer, 2, {TopUpRecord("acme", 5)})});
  EXPECT_TRUE(this->part.sums.empty());
  EXPECT_EQ(this->replica.Counters().gaps, 1U);
}

// Guards against bytes of a stranger entering the state, or stopping it.
TEST_F(ReplicaTest, OnBatches_BadBatches_AreSkippedAndCounted) {
  std::string forged = Sealed(this->writer, 1, {TopUpRecord("acme", 5)});
  forged[3] = static_cast<char>(forged[3] ^ 1);
  this->Feed(0, {forged, "", "garbage that is long enough to have a trailer",
                 Sealed(this->writer, 1, {TopUpRecord("acme", 2)})});

  EXPECT_EQ(this->part.sums["acme"], 2);
  EXPECT_EQ(this->replica.Counters().bad_macs, 1U);
  EXPECT_EQ(this->replica.Counters().malformed, 2U);
  EXPECT_EQ(this->replica.NextOffset(), 4U);
}

// Guards against batches being folded out of order after a double read.
TEST_F(ReplicaTest, OnBatches_OverlapAndGap_FoldsEachOffsetOnce) {
  const std::string one = Sealed(this->writer, 1, {TopUpRecord("acme", 1)});
  const std::string two = Sealed(this->writer, 2, {TopUpRecord("acme", 2)});
  this->Feed(0, {one});
  this->Feed(2, {two});
  EXPECT_EQ(this->replica.NextOffset(), 1U);
  this->Feed(0, {one, two});
  EXPECT_EQ(this->part.sums["acme"], 3);
}

// Guards against a daemon of an older version skipping a record that the
// others fold.
TEST_F(ReplicaTest, OnBatches_UnknownRecordKind_StopsBeforeTheBatch) {
  pb::Record unknown;
  // Field 70, wire type 0: a kind of a later format.
  ASSERT_TRUE(unknown.ParseFromString(std::string("\xB0\x04\x01", 3)));
  this->Feed(0, {Sealed(this->writer, 1, {TopUpRecord("acme", 1), unknown})});

  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kStopped);
  EXPECT_EQ(this->replica.NextOffset(), 0U);
  EXPECT_TRUE(this->part.sums.empty());
  EXPECT_FALSE(this->replica.IsReady());
}

// Guards against an unsupported format that is raised inside a combined batch.
TEST_F(ReplicaTest, OnBatches_RaiseFormatAboveSupported_Stops) {
  pb::Record raise;
  raise.mutable_raise_format()->set_version(9);
  pb::Record combined;
  combined.mutable_combined_batch()->add_batches(
      Sealed(this->other, 1, {raise}));
  this->Feed(0, {Sealed(this->writer, 1, {TopUpRecord("x", 1), combined})});

  EXPECT_EQ(this->replica.Phase(), ReplicaPhase::kStopped);
  EXPECT_TRUE(this->part.sums.empty());
}

// Guards against daemons of two versions treating an early format differently.
TEST_F(ReplicaTest, OnBatches_FormatBeforeItIsRaised_IsSkipped) {
  Replica newer({.fleet_key = std::string(kTestKey), .supported_format = 2},
                {&this->part}, {});
  pb::Batch early = MakeBatch(this->writer, 1, {TopUpRecord("acme", 1)});
  early.set_format(2);
  pb::Record raise;
  raise.mutable_raise_format()->set_version(2);

  newer.OnBatches({}, 0,
                  {SealBatch(early, kTestKey), Sealed(this->other, 1, {raise}),
                   SealBatch(early, kTestKey)},
                  this->out);
  EXPECT_EQ(newer.Counters().early_formats, 1U);
  EXPECT_EQ(this->part.sums["acme"], 1);
  EXPECT_EQ(newer.Format(), 2U);
}

// Guards against a relayed batch being folded twice, or under its relay's name.
TEST_F(ReplicaTest, OnBatches_CombinedBatch_FoldsInnerBatchesOnce) {
  const std::string inner = Sealed(this->other, 1, {TopUpRecord("acme", 4)});
  pb::Record combined;
  combined.mutable_combined_batch()->add_batches(inner);
  combined.mutable_combined_batch()->add_batches("broken");
  combined.mutable_combined_batch()->add_batches(inner);

  this->Feed(
      0, {Sealed(this->writer, 1, {TopUpRecord("acme", 1), combined}), inner});
  EXPECT_EQ(this->part.sums["acme"], 5);
  EXPECT_EQ(this->replica.LastSequence(this->other), 1U);
  ASSERT_EQ(this->agent.seen.size(), 2U);
  EXPECT_EQ(this->agent.seen[1].first, (LogPosition{.offset = 0, .index = 1}));
}

// Guards against an empty log being taken for an empty state.
TEST_F(ReplicaTest, OnBounds_LogStartsAboveZero_IsNotReady) {
  this->replica.OnBounds({}, 10, 10);
  EXPECT_FALSE(this->replica.IsReady());
  EXPECT_TRUE(this->replica.NeedsPeerState());
  EXPECT_EQ(this->replica.NextOffset(), 10U);
}

// Guards against readiness before the log has been read to its end.
TEST_F(ReplicaTest, IsReady_StartFromOffsetZero_WaitsForTheEnd) {
  EXPECT_FALSE(this->replica.IsReady());
  this->replica.OnBounds({}, 0, 1);
  EXPECT_FALSE(this->replica.IsReady());
  this->Feed(0, {Sealed(this->writer, 1, {TopUpRecord("acme", 1)})});
  EXPECT_TRUE(this->replica.IsReady());
}

// Guards against a difference of states that no one is told about.
TEST_F(ReplicaTest, CompareDigest_Different_NamesBothOnce) {
  this->Feed(0, {Sealed(this->writer, 1, {TopUpRecord("acme", 1)})});
  const auto [offset, digest] = this->replica.LatestDigest().value();
  EXPECT_FALSE(this->replica.CompareDigest(this->other, offset, digest));
  EXPECT_FALSE(this->replica.CompareDigest(this->other, offset + 9, 1));

  const auto alarm =
      this->replica.CompareDigest(this->other, offset, digest + 1);
  ASSERT_TRUE(alarm.has_value());
  EXPECT_NE(alarm->ToString().find("b1/3"), std::string::npos);
  EXPECT_NE(alarm->ToString().find("c1/1"), std::string::npos);
  EXPECT_FALSE(this->replica.CompareDigest(this->other, offset, digest + 1));
}

}  // namespace
}  // namespace fuchsiadrum::log
