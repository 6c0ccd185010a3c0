#include "fuchsiadrum/request/attempt_filter.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::request {
namespace {

class AttemptFilterTest : public ::testing::Test {
 protected:
  AttemptFilterTest() : filter("r") {}

  std::vector<std::string> Chunk(uint32_t attempt, uint64_t first,
                                 std::vector<std::string> tokens,
                                 bool end = false) {
    return this->filter.OnChunk({.request_id = "r",
                                 .attempt = attempt,
                                 .first_token = first,
                                 .tokens = std::move(tokens),
                                 .end = end});
  }
  using Tokens = std::vector<std::string>;

  AttemptFilter filter;
};

// Guards against late bytes of an attempt that was given up.
TEST_F(AttemptFilterTest, OnChunk_OlderAttempt_IsDropped) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  ASSERT_TRUE(this->filter.Begin(2, false));
  EXPECT_EQ(this->Chunk(1, 0, {"old"}), Tokens{});
  EXPECT_EQ(this->Chunk(2, 0, {"new"}), Tokens{"new"});
  EXPECT_FALSE(this->filter.Begin(2, true));
}

// Guards against someone else's answer on a reused connection.
TEST_F(AttemptFilterTest, OnChunk_OtherRequest_IsDropped) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  EXPECT_EQ(
      this->filter.OnChunk(
          {.request_id = "s", .attempt = 1, .tokens = {"x"}, .end = true}),
      Tokens{});
  EXPECT_FALSE(this->filter.IsComplete());
}

// Guards against tokens that are passed on twice.
TEST_F(AttemptFilterTest, OnChunk_DoubledOrOverlapping_PassesNewTokensOnly) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  EXPECT_EQ(this->Chunk(1, 0, {"a", "b"}), (Tokens{"a", "b"}));
  EXPECT_EQ(this->Chunk(1, 0, {"a", "b"}), Tokens{});
  EXPECT_EQ(this->Chunk(1, 1, {"b", "c"}, true), Tokens{"c"});
  EXPECT_TRUE(this->filter.IsComplete());
}

// Guards against a missing piece that goes unnoticed.
TEST_F(AttemptFilterTest, OnChunk_Gap_CutsTheAttempt) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  EXPECT_EQ(this->Chunk(1, 1, {"b"}, true), Tokens{});
  EXPECT_EQ(this->filter.State(), StreamState::kCut);
}

// Guards against a cut stream that counts as a whole answer.
TEST_F(AttemptFilterTest, OnClosed_WithoutEndMark_IsNotComplete) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  this->Chunk(1, 0, {"a"});
  this->filter.OnClosed(1);
  EXPECT_EQ(this->filter.State(), StreamState::kCut);
  EXPECT_EQ(this->Chunk(1, 1, {"b"}, true), Tokens{});
  EXPECT_FALSE(this->filter.IsComplete());
}

// Guards against a resumed answer with a gap or a repetition, and against a
// second start after a part was delivered.
TEST_F(AttemptFilterTest, Begin_Resume_ContinuesAtDelivered) {
  ASSERT_TRUE(this->filter.Begin(1, false));
  this->Chunk(1, 0, {"a", "b"});
  this->filter.OnClosed(1);
  EXPECT_FALSE(this->filter.Begin(2, false));
  ASSERT_TRUE(this->filter.Begin(2, true));
  EXPECT_EQ(this->filter.Delivered(), 2U);
  EXPECT_EQ(this->Chunk(2, 1, {"b", "c"}, true), Tokens{"c"});
  EXPECT_TRUE(this->filter.IsComplete());
}

}  // namespace
}  // namespace fuchsiadrum::request
