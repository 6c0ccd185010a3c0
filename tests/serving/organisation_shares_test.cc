#include "fuchsiadrum/serving/organisation_shares.h"

#include <gtest/gtest.h>

#include <string>

namespace fuchsiadrum::serving {
namespace {

class OrganisationSharesTest : public testing::Test {
 protected:
  /// One request of 1 KB every 100 ms of each organisation, and `hot` of the
  /// first one.
  void Offer(int organisations, int hot, Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (Duration passed{}; passed < time; passed += kStep) {
      this->now = this->now + kStep;
      for (int i = 0; i < hot; ++i) this->shares.Add(this->now, "o0", 1000);
      for (int i = 1; i < organisations; ++i) {
        this->shares.Add(this->now, "o" + std::to_string(i), 1000);
      }
    }
  }

  OrganisationShares shares{OrganisationSharesOptions()};
  TimePoint now{1'000'000'000};
};

// Guards against a hot organisation that takes the link from all others.
TEST_F(OrganisationSharesTest, HotOrganisation_IsAboveItsFairShare) {
  this->Offer(6, 20, std::chrono::seconds(10));

  EXPECT_NEAR(this->shares.Share(this->now, "o0"), 0.8, 0.01);
  EXPECT_TRUE(this->shares.IsAboveFair(this->now, "o0"));
  EXPECT_FALSE(this->shares.IsAboveFair(this->now, "o1"));
  EXPECT_NEAR(this->shares.Concentration(this->now), 0.648, 0.01);
}

TEST_F(OrganisationSharesTest, EqualAndSingleOrganisations_AreNotAbove) {
  EXPECT_FALSE(this->shares.IsAboveFair(this->now, "o0"));
  EXPECT_EQ(this->shares.Concentration(this->now), 1);
  this->Offer(1, 5, std::chrono::seconds(2));
  EXPECT_FALSE(this->shares.IsAboveFair(this->now, "o0"));
  this->Offer(6, 1, std::chrono::seconds(20));
  for (int i = 0; i < 6; ++i) {
    EXPECT_FALSE(this->shares.IsAboveFair(this->now, "o" + std::to_string(i)));
  }
}

// Guards against organisations that lower the fair share of others after they
// have gone, and against memory that grows with their number.
TEST_F(OrganisationSharesTest, GoneOrganisations_AreForgotten) {
  this->Offer(50, 1, std::chrono::seconds(5));
  this->now = this->now + std::chrono::minutes(1);
  this->Offer(1, 3, std::chrono::seconds(2));

  EXPECT_EQ(this->shares.Share(this->now, "o0"), 1);
  EXPECT_FALSE(this->shares.IsAboveFair(this->now, "o0"));
}

}  // namespace
}  // namespace fuchsiadrum::serving
