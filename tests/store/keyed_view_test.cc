#include "fuchsiadrum/store/keyed_view.h"

#include <gtest/gtest.h>

#include <map>

namespace fuchsiadrum::store {
namespace {

class KeyedViewTest : public testing::Test {
 protected:
  KeyedView view{[this](const KeyedRecord& record) {
    if (record.value) {
      this->values[record.key] = *record.value;
    } else {
      this->values.erase(record.key);
    }
  }};
  std::map<std::string, std::string> values;

  static KeyedRecord Put(std::string key, std::string value, uint64_t offset) {
    return {.key = std::move(key), .value = std::move(value), .offset = offset};
  }
};

// After eight configurations in quick succession only the last one matters, and
// the reader may skip to it by reading the newest records again.
TEST_F(KeyedViewTest, Lag_CountsUnreadRecordsOfTheTail) {
  this->view.OnNewest({.records = {Put("a", "1", 0)}, .end_offset = 1});
  this->view.OnTail(
      {.records = {Put("a", "2", 1)}, .next_offset = 2, .end_offset = 9});
  EXPECT_EQ(this->view.Lag(), 7U);

  this->view.OnExpired();
  this->view.OnNewest({.records = {Put("a", "9", 8)}, .end_offset = 9});
  EXPECT_EQ(this->values["a"], "9");
  EXPECT_EQ(this->view.Lag(), 0U);
}

TEST_F(KeyedViewTest, InconsistentPages_AreMadeConsistentByTheTail) {
  this->view.OnNewest(
      {.records = {Put("a", "old", 1)}, .more = true, .end_offset = 5});
  EXPECT_EQ(this->view.Next().after_key, "a");
  // Between the pages "a" was written again, at 5.
  this->view.OnNewest(
      {.records = {Put("b", "new", 6)}, .more = false, .end_offset = 7});
  EXPECT_FALSE(this->view.IsConsistent());
  ASSERT_TRUE(this->view.Next().tail);
  EXPECT_EQ(this->view.Next().from, 5U);

  this->view.OnTail(
      {.records = {Put("a", "new", 5), Put("b", "new", 6)}, .next_offset = 7});
  EXPECT_TRUE(this->view.IsConsistent());
  EXPECT_EQ(this->values["a"], "new");
}

TEST_F(KeyedViewTest, OlderRecord_AfterANewerOne_ChangesNothing) {
  this->view.OnNewest(
      {.records = {Put("a", "new", 4)}, .more = false, .end_offset = 3});
  this->view.OnTail({.records = {Put("a", "old", 3)}, .next_offset = 4});

  EXPECT_EQ(this->values["a"], "new");
}

// The tail expires for a gateway that was frozen for longer than the store
// retains it.
TEST_F(KeyedViewTest, ExpiredTail_RestartsTheView_AndDropsDeletedKeys) {
  this->view.OnNewest({.records = {Put("a", "1", 0), Put("b", "1", 1)},
                       .more = false,
                       .end_offset = 2});
  this->view.OnExpired();
  EXPECT_FALSE(this->view.Next().tail);
  EXPECT_EQ(this->values.size(), 2U)
      << "known values stay until the new pages are read";

  this->view.OnNewest(
      {.records = {Put("b", "2", 9)}, .more = false, .end_offset = 10});
  EXPECT_EQ(this->values.size(), 1U);
  EXPECT_EQ(this->values["b"], "2");
  EXPECT_TRUE(this->view.IsConsistent());
}

// After the store was restored from an older copy, offsets were given out
// again, and newer configurations were taken for older ones.
TEST_F(KeyedViewTest, NewEra_RecordAtALowerOffset_ReplacesTheValue) {
  this->view.OnNewest({.records = {Put("a", "7", 6)}, .end_offset = 7});
  this->view.OnNewEra();
  this->view.OnNewest({.records = {Put("a", "5", 4)}, .end_offset = 5});
  this->view.OnTail(
      {.records = {Put("a", "8", 5)}, .next_offset = 6, .end_offset = 6});

  EXPECT_EQ(this->values["a"], "8");
  EXPECT_TRUE(this->view.IsConsistent());
  EXPECT_FALSE(this->view.IsBehind());
}

// What a restored store lacks was deleted or is written again; until that is
// known, an evacuation must stay in force.
TEST_F(KeyedViewTest,
       NewEra_KeyThatTheCopyLacks_KeepsItsValueUntilItIsDropped) {
  this->view.OnNewest({.records = {Put("a", "1", 0), Put("b", "1", 1)},
                       .more = false,
                       .end_offset = 2});
  this->view.OnNewEra();
  this->view.OnNewest({.records = {Put("a", "1", 0)}, .end_offset = 1});
  EXPECT_EQ(this->values.count("b"), 1U);
  ASSERT_TRUE(this->view.HasUnconfirmed());

  this->view.DropUnconfirmed();
  EXPECT_EQ(this->values.count("b"), 0U);
  EXPECT_EQ(this->values.count("a"), 1U);
}

TEST_F(KeyedViewTest, DeletedKey_InTheTail_IsDropped) {
  this->view.OnNewest(
      {.records = {Put("a", "1", 0)}, .more = false, .end_offset = 1});
  this->view.OnTail(
      {.records = {{.key = "a", .value = std::nullopt, .offset = 1}},
       .next_offset = 2});

  EXPECT_TRUE(this->values.empty());
}

// Guards against a view that stays behind for minutes: after an outage more
// records were unread than one read returns, and the reader paused after each
// read.
TEST_F(KeyedViewTest, PageThatEndsEarly_LeavesTheViewBehind) {
  this->view.OnNewest({.records = {}, .more = false, .end_offset = 0});
  this->view.OnTail(
      {.records = {Put("a", "1", 0)}, .next_offset = 1, .end_offset = 3});
  EXPECT_TRUE(this->view.IsBehind());
  this->view.OnTail(
      {.records = {Put("b", "1", 2)}, .next_offset = 3, .end_offset = 3});
  EXPECT_FALSE(this->view.IsBehind());
}

TEST_F(KeyedViewTest, EmptyStream_IsConsistentAtOnce) {
  this->view.OnNewest({.records = {}, .more = false, .end_offset = 0});

  EXPECT_TRUE(this->view.IsConsistent());
  EXPECT_EQ(this->view.NextOffset(), 0U);
}

}  // namespace
}  // namespace fuchsiadrum::store
