#include "fuchsiadrum/core/json_number.h"

#include <gtest/gtest.h>

#include <limits>

namespace fuchsiadrum {
namespace {

class JsonNumberTest : public testing::Test {
 protected:
  static nlohmann::json Parse(const char* text) {
    return nlohmann::json::parse(text, nullptr, false);
  }
  static constexpr WholeRange kSmall = {.min = 0, .max = 9};
};

TEST_F(JsonNumberTest, WholeNumber_InRange_IsReturned) {
  EXPECT_EQ(WholeNumber(Parse("7"), kSmall), 7);
  EXPECT_EQ(WholeNumber(Parse("7.0"), kSmall), 7);
  EXPECT_EQ(WholeNumber(Parse("9223372036854775807")),
            std::numeric_limits<int64_t>::max());
}

// Casting these is undefined and gave other values on other machines.
TEST_F(JsonNumberTest, WholeNumber_OutOfRangeOrNoWhole_IsEmpty) {
  for (const char* text :
       {"10", "-1", "1.5", "1e300", "-1e300", "9223372036854775808",
        "18446744073709551615", "\"7\"", "null", "[]", "1e400"}) {
    EXPECT_FALSE(WholeNumber(Parse(text), kSmall)) << text;
  }
  EXPECT_FALSE(WholeNumber(Parse("9223372036854775808")));
}

TEST_F(JsonNumberTest, ClampedNumber_OutOfRange_IsTheNearest) {
  EXPECT_EQ(ClampedNumber(Parse("4.7"), kSmall), 4);
  EXPECT_EQ(ClampedNumber(Parse("1e300"), kSmall), 9);
  EXPECT_EQ(ClampedNumber(Parse("18446744073709551615"), kSmall), 9);
  EXPECT_EQ(ClampedNumber(Parse("-1e300"), kSmall), 0);
  EXPECT_FALSE(ClampedNumber(Parse("\"4\""), kSmall));
}

}  // namespace
}  // namespace fuchsiadrum
