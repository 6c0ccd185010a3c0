#include <gtest/gtest.h>

#include "fuchsiadrum/core/rng.h"
#include "tests/budget/grant_fleet.h"

namespace fuchsiadrum::budget {
namespace {

/// Random runs in which the store is restored from an older copy several times.
/// Only copies that were taken after the last crash are used: nobody remembers
/// the lost grants of a dead gateway.
class RestoredAccountTest : public testing::TestWithParam<uint64_t> {
 protected:
  static constexpr int kSteps = 6000;

  Rng rng{GetParam()};
  GrantFleet fleet{4};
  Tokens limit{GetParam() % 2 == 0 ? 5'000 : 20'000};
  TimePoint now{1'000'000'000};

  void Spend(GrantFleet::Gateway& gateway) {
    const Tokens amount(this->rng.Between(1, 900));
    this->fleet.Spend(gateway, this->now, amount);
  }
  void Write(GrantFleet::Gateway& gateway) {
    if (gateway.restores) {
      this->fleet.Restore(gateway, this->now);
    } else {
      this->fleet.WriteIfDue(gateway, this->now);
    }
  }
  /// The store is restored; every gateway writes its grant again within the
  /// time that GrantHolderOptions allows.
  void RestoreStore() {
    this->fleet.RestoreCopy(this->now);
    this->restored_at = this->now;
  }
  void Step() {
    this->now = this->now + std::chrono::milliseconds(this->rng.Between(1, 60));
    GrantFleet::Gateway& gateway =
        *this->fleet.gateways[this->rng.Below(this->fleet.gateways.size())];
    const bool is_late =
        this->now - this->restored_at > GrantHolderOptions().restore_time / 2;
    for (const auto& other : this->fleet.gateways) {
      if (is_late && other->restores) this->Write(*other);
    }
    switch (this->rng.Below(5)) {
      case 0:
      case 1:
        this->Spend(gateway);
        break;
      case 2:
        this->Write(gateway);
        break;
      case 3:
        this->fleet.WriteHeartbeat(gateway, this->now);
        break;
      default:
        if (this->rng.Chance(0.05)) {
          this->limit += Tokens(4'000);
          this->fleet.SetLimit(this->limit);
        }
        if (this->rng.Chance(0.05)) this->fleet.TakeCopy();
        if (this->rng.Chance(0.02)) this->RestoreStore();
        break;
    }
  }

  TimePoint restored_at{0};
};

// Grants that a restored store had lost were granted again to other gateways,
// and an organisation got more tokens than it had paid for.
TEST_P(RestoredAccountTest, Spend_OverRestores_NeverExceedsTheBudget) {
  this->fleet.SetLimit(this->limit);
  this->fleet.TakeCopy();
  for (int step = 0; step < kSteps; ++step) {
    this->Step();
    ASSERT_LE(this->fleet.Used(), this->limit) << "step " << step;
  }
  // What is left can be used: nothing stays counted that nobody holds.
  Tokens held;
  for (const auto& gateway : this->fleet.gateways) {
    if (gateway->restores) this->fleet.Restore(*gateway, this->now);
    held += gateway->recorded.granted;
  }
  EXPECT_EQ(this->fleet.account.granted, held);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoredAccountTest,
                         testing::Range<uint64_t>(1, 201));

}  // namespace
}  // namespace fuchsiadrum::budget
