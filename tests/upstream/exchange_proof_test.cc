#include "fuchsiadrum/upstream/exchange_proof.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::upstream {
namespace {

class ExchangeProofTest : public ::testing::Test {
 protected:
  static AnswerOrigin Origin(const AnswerHead& answer, bool is_first) {
    return OriginOf(answer, {.request_id = "r2",
                             .attempt = "1",
                             .is_first_on_connection = is_first});
  }
};

// Guards against an answer that counts for a request that it does not name.
TEST_F(ExchangeProofTest, Origin_OtherName_IsOfOtherExchange) {
  for (const bool is_first : {false, true}) {
    EXPECT_EQ(Origin({.request_id = "r1", .attempt = "1"}, is_first),
              AnswerOrigin::kOtherExchange);
    EXPECT_EQ(Origin({.request_id = "r2", .attempt = "2"}, is_first),
              AnswerOrigin::kOtherExchange);
    EXPECT_EQ(Origin({.request_id = "r1"}, is_first),
              AnswerOrigin::kOtherExchange);
    EXPECT_EQ(Origin({.attempt = "2"}, is_first), AnswerOrigin::kOtherExchange);
    EXPECT_EQ(Origin({.request_id = "r2", .attempt = "1", .is_ambiguous = true},
                     is_first),
              AnswerOrigin::kOtherExchange);
    EXPECT_EQ(Origin({.request_id = "r2", .attempt = "1"}, is_first),
              AnswerOrigin::kNamed);
  }
}

// Guards against half a name that is taken for a whole one.
TEST_F(ExchangeProofTest, Origin_WithoutWholeName_NeedsAFreshConnection) {
  for (const AnswerHead& answer : {AnswerHead{}, AnswerHead{.request_id = "r2"},
                                   AnswerHead{.attempt = "1"}}) {
    EXPECT_EQ(Origin(answer, true), AnswerOrigin::kOnlyPossible);
    EXPECT_EQ(Origin(answer, false), AnswerOrigin::kUnknown);
  }
  EXPECT_TRUE(IsOfExchange(AnswerOrigin::kOnlyPossible));
  EXPECT_FALSE(IsOfExchange(AnswerOrigin::kUnknown));
  EXPECT_FALSE(MayKeepConnection(AnswerOrigin::kOnlyPossible));
  EXPECT_TRUE(MayKeepConnection(AnswerOrigin::kNamed));
}

// Guards against "not run" from an answer that does not say so plainly.
TEST_F(ExchangeProofTest, Proof_OfStatusAndRefusal_IsNeverTooMuch) {
  for (int status = 100; status < 600; ++status) {
    const bool may_refuse = status == 429 || status == 503;
    const bool is_answer = status >= 200 && status < 500;
    EXPECT_EQ(ProofOf({.status = status}),
              is_answer ? AnswerProof::kAnswer : AnswerProof::kNothing);
    const AnswerProof refused = ProofOf({.status = status, .not_run = true});
    EXPECT_EQ(refused == AnswerProof::kNotRun, may_refuse) << status;
    if (status < 400) {
      EXPECT_EQ(refused, AnswerProof::kNothing) << status;
    }
  }
}

}  // namespace
}  // namespace fuchsiadrum::upstream
