#include "fuchsiadrum/core/hash.h"

#include <gtest/gtest.h>

namespace fuchsiadrum {
namespace {

class HashTest : public ::testing::Test {};

// Guards against a wrong key or message order in the MAC.
TEST_F(HashTest, Hmac_Rfc4231Case2_MatchesVector) {
  EXPECT_EQ(ToHex(Hmac("Jefe", "what do ya want for nothing?")),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against accepting a signature of other bytes.
TEST_F(HashTest, VerifyEd25519_ChangedBytes_IsRefused) {
  const std::string key(32, 'k');
  const std::string signature = SignEd25519(key, "edit");
  EXPECT_TRUE(VerifyEd25519(PublicKeyEd25519(key), "edit", signature));
  EXPECT_FALSE(VerifyEd25519(PublicKeyEd25519(key), "edit2", signature));
}

// Guards against a hex text with a bad digit being read as bytes.
TEST_F(HashTest, FromHex_BadDigit_IsEmpty) {
  EXPECT_EQ(FromHex("0g"), "");
  EXPECT_EQ(FromHex(ToHex("\x01\xff")), "\x01\xff");
}

}  // namespace
}  // namespace fuchsiadrum
