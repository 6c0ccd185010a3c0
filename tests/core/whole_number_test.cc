#include "fuchsiadrum/core/whole_number.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <string>

namespace fuchsiadrum {
namespace {

constexpr int64_t kMin = std::numeric_limits<int64_t>::min();
constexpr int64_t kMax = std::numeric_limits<int64_t>::max();

class WholeNumberTest : public testing::Test {
 protected:
  static constexpr WholeRange kRange = {.min = 5, .max = int64_t{1} << 53U};
};

TEST_F(WholeNumberTest, ParseWhole_OutOfRange_IsEmpty) {
  EXPECT_EQ(ParseWhole("5", kRange), 5);
  EXPECT_EQ(ParseWhole("0009007199254740992", kRange), int64_t{1} << 53U);
  for (const char* text : {"4", "9007199254740993", "9223372036854775808",
                           "18446744073709551616", "-5"}) {
    EXPECT_FALSE(ParseWhole(text, kRange)) << text;
  }
}

TEST_F(WholeNumberTest, ParseWhole_AnythingElse_IsEmpty) {
  for (const char* text :
       {"", "-", "+7", " 7", "7 ", "7.0", "7e1", "0x7", "7,", "seven"}) {
    EXPECT_FALSE(ParseWhole(text, {})) << text;
    EXPECT_FALSE(ParseWholeClamped(text, {})) << text;
    EXPECT_FALSE(ParseWholeClamped(text, {.min = kMin})) << text;
  }
}

// Guards against numbers whose sums wrap, and against one that is refused as no
// number because it has too many digits.
TEST_F(WholeNumberTest, ParseWholeClamped_OutOfRange_IsTheNearest) {
  for (const std::string& text :
       {std::string("9007199254740993"), std::string("9223372036854775807"),
        std::string("9223372036854775808"), std::string("18446744073709551616"),
        std::string(10000, '9')}) {
    EXPECT_EQ(ParseWholeClamped(text, kRange), kRange.max) << text;
  }
  EXPECT_EQ(ParseWholeClamped(std::string(10000, '0'), kRange), kRange.min);
  EXPECT_FALSE(ParseWholeClamped("-7", kRange));
  EXPECT_EQ(ParseWholeClamped("-" + std::string(30, '9'), {.min = -3}), -3);
}

TEST_F(WholeNumberTest, ParseDecimal_OutOfRange_IsTheNearestOrEmpty) {
  EXPECT_EQ(ParseDecimal("2.5", 10), 2.5);
  EXPECT_EQ(ParseDecimal("1e300", 10), 10);
  for (const char* text : {"", "-1", "nan", "inf", "1e999", "2 ", "2,5"}) {
    EXPECT_FALSE(ParseDecimal(text, 10)) << text;
  }
}

TEST_F(WholeNumberTest, CheckedSum_ThatDoesNotFit_IsEmpty) {
  EXPECT_EQ(CheckedSum(kMax - 1, 1), kMax);
  EXPECT_FALSE(CheckedSum(kMax, 1));
  EXPECT_FALSE(CheckedSum(kMin, -1));
}

// Casting these is undefined.
TEST_F(WholeNumberTest, SaturatedWhole_OutOfRange_IsTheNearest) {
  EXPECT_EQ(SaturatedWhole(-2.9), -2);
  EXPECT_EQ(SaturatedWhole(9223372036854775808.0), kMax);
  EXPECT_EQ(SaturatedWhole(1e300), kMax);
  EXPECT_EQ(SaturatedWhole(-1e300), kMin);
  EXPECT_EQ(SaturatedWhole(std::numeric_limits<double>::quiet_NaN()), 0);
}

RC_GTEST_FIXTURE_PROP(WholeNumberTest, ParsedNumber_IsTheOneThatWasSpelled,
                      (int64_t number)) {
  const WholeRange any = {.min = kMin};
  RC_ASSERT(ParseWhole(std::to_string(number), any) == number);
  RC_ASSERT(ParseWholeClamped(std::to_string(number), any) == number);
}

}  // namespace
}  // namespace fuchsiadrum
