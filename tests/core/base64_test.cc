#include "fuchsiadrum/core/base64.h"

#include <gtest/gtest.h>

#include <string>

namespace fuchsiadrum {
namespace {

class Base64Test : public testing::Test {};

TEST_F(Base64Test, Bytes_OfAnyLength_ComeBack) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(FromBase64(ToBase64(bytes)), bytes);
    bytes += static_cast<char>(i * 7);
  }
}

TEST_F(Base64Test, Padding_FollowsTheLength) {
  EXPECT_EQ(ToBase64(""), "");
  EXPECT_EQ(ToBase64("a"), "YQ==");
  EXPECT_EQ(ToBase64("ab"), "YWI=");
  EXPECT_EQ(ToBase64("abc"), "YWJj");
}

}  // namespace
}  // namespace fuchsiadrum
