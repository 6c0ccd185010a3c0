#include "fuchsiadrum/store/store_era.h"

#include <gtest/gtest.h>

#include <vector>

namespace fuchsiadrum::store {
namespace {

class StoreEraTest : public testing::Test {
 protected:
  StoreEraTest() {
    this->era.Subscribe([this](auto /*before*/, auto now) {
      this->rises.push_back(now.value_or(0));
    });
  }

  EraVerdict Answer(std::optional<uint64_t> named) {
    return this->era.OnAnswer(named, this->era.Generation());
  }

  StoreEra era;
  /// The eras of which the listener was told.
  std::vector<uint64_t> rises;
};

// A store that names no era must be served as one that loses nothing.
TEST_F(StoreEraTest, NoEra_IsNeverARise) {
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(this->Answer(std::nullopt), EraVerdict::kCurrent);
  }
  EXPECT_TRUE(this->rises.empty());
}

TEST_F(StoreEraTest, NextEra_IsToldOnceBeforeItsAnswerIsUsed) {
  this->Answer(4);
  EXPECT_EQ(this->Answer(5), EraVerdict::kRisen);
  EXPECT_EQ(this->Answer(5), EraVerdict::kCurrent);
  EXPECT_EQ(this->rises, std::vector<uint64_t>({5}));
}

// An acknowledgement that was under way when the store began anew may be of a
// record that is lost.
TEST_F(StoreEraTest, AnswerToACallOfTheEarlierEra_IsOutdated) {
  this->Answer(4);
  const uint64_t generation = this->era.Generation();
  this->Answer(5);

  EXPECT_EQ(this->era.OnAnswer(4, generation), EraVerdict::kOutdated);
  EXPECT_EQ(this->era.OnAnswer(5, generation), EraVerdict::kOutdated)
      << "the call named positions of the earlier copy";
  EXPECT_EQ(this->rises.size(), 1U);
}

// One corrupt answer must not make all readers begin anew, or the answers after
// it useless.
TEST_F(StoreEraTest, SingleOddEra_ChangesNothing) {
  this->Answer(4);
  EXPECT_EQ(this->Answer(900), EraVerdict::kDoubtful);
  EXPECT_EQ(this->Answer(4), EraVerdict::kCurrent);
  EXPECT_EQ(this->Answer(2), EraVerdict::kDoubtful);
  EXPECT_EQ(this->Answer(std::nullopt), EraVerdict::kDoubtful);
  EXPECT_EQ(this->Answer(4), EraVerdict::kCurrent);
  EXPECT_TRUE(this->rises.empty());
}

// A gateway that was cut off during two drills sees an era that is higher by
// two.
TEST_F(StoreEraTest, OddEraOfSeveralAnswers_IsBelieved) {
  this->Answer(4);
  EXPECT_EQ(this->Answer(6), EraVerdict::kDoubtful);
  EXPECT_EQ(this->Answer(6), EraVerdict::kDoubtful);
  EXPECT_EQ(this->Answer(6), EraVerdict::kRisen);
  EXPECT_EQ(this->rises, std::vector<uint64_t>({6}));
}

TEST_F(StoreEraTest, OddErasThatDiffer_AreNotBelieved) {
  this->Answer(4);
  for (const uint64_t odd : {9, 8, 9, 8, 9, 8}) {
    EXPECT_EQ(this->Answer(odd), EraVerdict::kDoubtful);
  }
  EXPECT_TRUE(this->rises.empty());
}

}  // namespace
}  // namespace fuchsiadrum::store
