#include "fuchsiadrum/core/bounded_json.h"

#include <gtest/gtest.h>

namespace fuchsiadrum {
namespace {

class BoundedJsonTest : public ::testing::Test {
 protected:
  static std::string Nested(size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  }
};

// Guards against a document whose copy or text needs more stack than there is.
TEST_F(BoundedJsonTest, Parse_TooDeep_IsDiscarded) {
  EXPECT_TRUE(ParseBoundedJson(Nested(kMaxJsonDepth)).is_array());
  EXPECT_TRUE(ParseBoundedJson(Nested(kMaxJsonDepth + 1)).is_discarded());
  EXPECT_TRUE(ParseBoundedJson(Nested(1U << 20U)).is_discarded());
  EXPECT_TRUE(ParseBoundedJson(std::string(1U << 20U, '{')).is_discarded());
}

// Guards against brackets within texts, or many beside one another, that are
// taken for nesting.
TEST_F(BoundedJsonTest, Parse_BracketsInTexts_DoNotCount) {
  const std::string many(2 * kMaxJsonDepth, '[');
  EXPECT_TRUE(ParseBoundedJson("[\"" + many + "\"]").is_array());
  EXPECT_TRUE(ParseBoundedJson("[\"\\\"" + many + "\\\\\", []]").is_array());
  std::string flat = "[";
  for (size_t i = 0; i < 2 * kMaxJsonDepth; ++i) flat += "[],";
  EXPECT_TRUE(ParseBoundedJson(flat + "{}]").is_array());
}

// Guards against exceptions on malformed text.
TEST_F(BoundedJsonTest, Parse_Malformed_IsDiscarded) {
  for (const std::string text :
       {"", "{", "]", "\"", "\"\\", "1e999", "\"\xff\"", "[\"\\ud800\"]"}) {
    EXPECT_TRUE(ParseBoundedJson(text).is_discarded()) << text;
  }
}

}  // namespace
}  // namespace fuchsiadrum
