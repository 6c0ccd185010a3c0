#include "fuchsiadrum/log/appender.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/log/batch_codec.h"
#include "tests/log/log_test_support.h"

namespace fuchsiadrum::log {
namespace {

class AppenderTest : public ::testing::Test {
 protected:
  static TimePoint Ms(int64_t ms) { return {ms * 1000}; }
  static pb::Batch Open(const std::string& bytes) {
    pb::Batch batch;
    EXPECT_EQ(OpenBatch(bytes, kTestKey, batch), BatchCheck::kValid);
    return batch;
  }

  Appender appender{{.self = {.vm = "a1", .incarnation = 2},
                     .fleet_key = std::string(kTestKey),
                     .max_queue_bytes = 1000}};
};

// Guards against one append for each record.
TEST_F(AppenderTest, Next_RecordsOfOneInterval_ShareABatch) {
  ASSERT_TRUE(this->appender.Add(Ms(0), {TopUpRecord("a", 1)}));
  ASSERT_TRUE(this->appender.Add(Ms(15), {TopUpRecord("b", 1)}));
  EXPECT_FALSE(this->appender.Next(Ms(19), 1));

  const auto bytes = this->appender.Next(Ms(20), 1);
  ASSERT_TRUE(bytes.has_value());
  EXPECT_EQ(Open(*bytes).records_size(), 2);
  EXPECT_EQ(Open(*bytes).sequence(), 1U);
}

// Guards against a second batch while the fate of the first is open, and
// against a repetition with other bytes.
TEST_F(AppenderTest, Next_AnswerLost_RepeatsTheSameBytes) {
  this->appender.Add(Ms(0), {TopUpRecord("a", 1)});
  const auto first = this->appender.Next(Ms(20), 1);
  this->appender.Add(Ms(21), {TopUpRecord("b", 1)});
  EXPECT_FALSE(this->appender.Next(Ms(500), 1));

  this->appender.OnAnswer(Ms(500), false);
  EXPECT_FALSE(this->appender.Next(Ms(501), 1));
  EXPECT_EQ(this->appender.Next(Ms(600), 1), first);

  // Stored, but not read back: still in flight.
  this->appender.OnAnswer(Ms(610), true);
  EXPECT_FALSE(this->appender.Next(Ms(700), 1));
  EXPECT_EQ(this->appender.Next(Ms(1610), 1), first);
}

// Guards against giving a batch up before it was read back.
TEST_F(AppenderTest, OnFolded_OwnSequence_ReleasesTheBatch) {
  this->appender.Add(Ms(0), {TopUpRecord("a", 1)});
  this->appender.Next(Ms(20), 1);
  this->appender.OnAnswer(Ms(25), true);
  this->appender.OnFolded(0);
  EXPECT_TRUE(this->appender.InFlight().has_value());

  this->appender.OnFolded(1);
  EXPECT_TRUE(this->appender.IsEmpty());
  this->appender.Add(Ms(30), {TopUpRecord("b", 1)});
  EXPECT_FALSE(this->appender.Next(Ms(119), 1));
  EXPECT_EQ(Open(this->appender.Next(Ms(120), 1).value()).sequence(), 2U);
}

// Guards against unbounded memory while the log is down.
TEST_F(AppenderTest, Add_QueueFull_TakesNothing) {
  const std::string name(400, 'x');
  EXPECT_TRUE(this->appender.Add(Ms(0), {TopUpRecord(name, 1)}));
  EXPECT_TRUE(this->appender.Add(Ms(0), {TopUpRecord(name, 1)}));
  EXPECT_FALSE(
      this->appender.Add(Ms(0), {TopUpRecord("a", 1), TopUpRecord(name, 1)}));
  EXPECT_EQ(Open(this->appender.Next(Ms(20), 1).value()).records_size(), 2);
}

// Guards against a batch that no reader can parse: it would be skipped by all
// daemons and repeated for ever, with the records behind it.
TEST_F(AppenderTest, Add_TextNotUtf8_IsDroppedAlone) {
  EXPECT_TRUE(this->appender.Add(
      Ms(0), {TopUpRecord("\xFF\xFE", 1), TopUpRecord("a", 1)}));
  EXPECT_EQ(this->appender.Unusable(), 1U);

  const pb::Batch batch = Open(this->appender.Next(Ms(20), 1).value());
  ASSERT_EQ(batch.records_size(), 1);
  EXPECT_EQ(batch.records(0).top_up().organisation(), "a");
}

// Guards against a batch that is relayed twice taking up the queue twice.
TEST_F(AppenderTest, AddRelayed_SameBatchTwice_IsCombinedOnce) {
  const VmRef peer{.vm = "b1", .incarnation = 1};
  const std::string inner = Sealed(peer, 4, {TopUpRecord("a", 1)});
  EXPECT_TRUE(this->appender.AddRelayed(Ms(0), peer, 4, inner));
  EXPECT_TRUE(this->appender.AddRelayed(Ms(1), peer, 4, inner));

  const pb::Batch batch = Open(this->appender.Next(Ms(20), 1).value());
  ASSERT_EQ(batch.records_size(), 1);
  EXPECT_EQ(batch.records(0).combined_batch().batches_size(), 1);
  EXPECT_TRUE(this->appender.AddRelayed(Ms(30), peer, 4, inner));
  this->appender.OnFolded(1);
  EXPECT_TRUE(this->appender.IsEmpty());
}

// Guards against a snapshot that holds up the other records.
TEST_F(AppenderTest, Next_SnapshotChunks_OneForEachBatch) {
  pb::Record chunk;
  chunk.mutable_snapshot_chunk()->set_data(std::string(200'000, 'x'));
  ASSERT_TRUE(this->appender.Add(Ms(0), {chunk, chunk}));
  ASSERT_TRUE(this->appender.Add(Ms(0), {TopUpRecord("a", 1)}));

  const pb::Batch batch = Open(this->appender.Next(Ms(20), 1).value());
  ASSERT_EQ(batch.records_size(), 2);
  EXPECT_TRUE(batch.records(0).has_top_up());
}

}  // namespace
}  // namespace fuchsiadrum::log
