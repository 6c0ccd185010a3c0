#include "fuchsiadrum/request/shard_table.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/request/issued_key.h"

namespace fuchsiadrum::request {
namespace {

class ShardTableTest : public ::testing::Test {
 protected:
  ShardTableTest() : table({.shards = 6, .zones = {"z2", "z1", "z3"}}) {}

  Verdict Apply(const pb::Record& record) {
    ++this->offset;
    return this->table.Apply({this->offset, 0}, {"writer", 1}, record);
  }
  static pb::VmRef Vm(const std::string& name) {
    return VmRef{name, 1}.ToProto();
  }
  Verdict Assign(uint32_t shard, const std::string& home,
                 const std::string& witness) {
    pb::Record record;
    pb::ShardAssign& assign = *record.mutable_shard_assign();
    assign.set_shard(shard);
    *assign.mutable_home() = Vm(home);
    *assign.mutable_witness() = Vm(witness);
    return this->Apply(record);
  }
  Verdict TakeOver(LogPosition term, const std::string& home,
                   const std::string& witness) {
    pb::Record record;
    pb::ShardTakeOver& take_over = *record.mutable_shard_take_over();
    *take_over.mutable_term() = term.ToProto();
    *take_over.mutable_home() = Vm(home);
    *take_over.mutable_witness() = Vm(witness);
    return this->Apply(record);
  }
  Verdict Replace(LogPosition term, const std::string& witness) {
    pb::Record record;
    pb::ShardReplaceWitness& replace = *record.mutable_shard_replace_witness();
    *replace.mutable_term() = term.ToProto();
    *replace.mutable_witness() = Vm(witness);
    return this->Apply(record);
  }
  Verdict Reset(LogPosition term, const std::string& home,
                const std::string& witness) {
    pb::Record record;
    pb::ShardReset& reset = *record.mutable_shard_reset();
    *reset.mutable_term() = term.ToProto();
    *reset.mutable_home() = Vm(home);
    *reset.mutable_witness() = Vm(witness);
    return this->Apply(record);
  }

  ShardTable table;
  uint64_t offset = 0;
};

// Guards against a takeover that races with the replacement of the witness:
// the former witness lacks intents that the new one acknowledged.
TEST_F(ShardTableTest, TakeOver_AfterReplacedWitness_IsRejected) {
  ASSERT_EQ(this->Assign(0, "a", "b"), Verdict::kAccepted);
  const LogPosition term = this->table.At(0).witness_term;
  ASSERT_EQ(this->Replace(term, "c"), Verdict::kAccepted);
  EXPECT_EQ(this->TakeOver(term, "b", "d"), Verdict::kRejected);
  EXPECT_EQ(this->table.At(0).home.vm, "a");
}

// Guards against a home that replaces its witness after it was taken over.
TEST_F(ShardTableTest, ReplaceWitness_AfterTakeOver_IsRejected) {
  ASSERT_EQ(this->Assign(0, "a", "b"), Verdict::kAccepted);
  const LogPosition term = this->table.At(0).witness_term;
  ASSERT_EQ(this->TakeOver(term, "b", "d"), Verdict::kAccepted);
  EXPECT_EQ(this->Replace(term, "c"), Verdict::kRejected);
  EXPECT_EQ(this->table.At(0).base_term, term);
}

// Guards against a witness that was replaced and appointed again: its old
// takeover must not count for the new appointment.
TEST_F(ShardTableTest, TakeOver_OfEarlierAppointment_IsRejected) {
  ASSERT_EQ(this->Assign(0, "a", "b"), Verdict::kAccepted);
  const LogPosition first = this->table.At(0).witness_term;
  ASSERT_EQ(this->Replace(first, "c"), Verdict::kAccepted);
  ASSERT_EQ(this->Replace(this->table.At(0).witness_term, "b"),
            Verdict::kAccepted);
  EXPECT_EQ(this->TakeOver(first, "b", "d"), Verdict::kRejected);
}

// Guards against a takeover by a daemon without a copy of the intents.
TEST_F(ShardTableTest, TakeOver_ByOther_IsRejected) {
  ASSERT_EQ(this->Assign(0, "a", "b"), Verdict::kAccepted);
  const LogPosition term = this->table.At(0).witness_term;
  EXPECT_EQ(this->TakeOver(term, "c", "d"), Verdict::kRejected);
  EXPECT_EQ(this->Assign(0, "c", "d"), Verdict::kRejected);
}

// Guards against a snapshot that forgets a lost term: a reader would let
// calls of the lost term run again.
TEST_F(ShardTableTest, Save_AfterReset_KeepsLostTermAndList) {
  ASSERT_EQ(this->Assign(3, "a", "b"), Verdict::kAccepted);
  ASSERT_EQ(this->Assign(0, "a", "b"), Verdict::kAccepted);
  const LogPosition term = this->table.At(0).witness_term;
  ASSERT_EQ(this->Reset(term, "c", "d"), Verdict::kAccepted);
  pb::Record lost;
  lost.mutable_lost_request()->set_organisation("o");
  lost.mutable_lost_request()->set_key_digest("k");
  ASSERT_EQ(this->Apply(lost), Verdict::kAccepted);
  ASSERT_EQ(this->Apply(lost), Verdict::kDuplicate);

  pb::Snapshot snapshot;
  this->table.Save(snapshot);
  ShardTable other({.shards = 6, .zones = {"z1", "z2", "z3"}});
  ASSERT_TRUE(other.Load(snapshot));
  EXPECT_TRUE(other.At(0).lost);
  EXPECT_EQ(other.At(0).lost_at, this->table.At(0).term);
  EXPECT_TRUE(other.IsListed("o", "k"));
  EXPECT_EQ(other.Digest(), this->table.Digest());
}

// Guards against two daemons that map one key to different homes because
// their settings name the zones in another order.
TEST_F(ShardTableTest, ShardOf_ZoneKey_IgnoresOrderOfZones) {
  const ShardTable other({.shards = 6, .zones = {"z3", "z1", "z2"}});
  for (int i = 0; i < 50; ++i) {
    const std::string key = "z2.order-" + std::to_string(i);
    EXPECT_EQ(this->table.ShardOf("o", key), other.ShardOf("o", key));
    EXPECT_EQ(this->table.ZoneOf(this->table.ShardOf("o", key)), "z2");
  }
}

// Guards against an issued key that loses its shard or term on the way.
TEST_F(ShardTableTest, IssueKey_Parsed_GivesShardAndTerm) {
  Rng rng(1);
  const std::string key = IssueKey(5, {123456789012, 7}, rng);
  const auto issued = ParseIssuedKey(key);
  ASSERT_TRUE(issued);
  EXPECT_EQ(issued->term, (LogPosition{123456789012, 7}));
  EXPECT_EQ(this->table.ShardOf("o", key), 5U);
  EXPECT_FALSE(ParseIssuedKey("fd1-5-1"));
  EXPECT_FALSE(ParseIssuedKey(key + "0"));
  EXPECT_FALSE(ParseIssuedKey("fd1-99999999999-1-1-" + key.substr(21)));
}

}  // namespace
}  // namespace fuchsiadrum::request
