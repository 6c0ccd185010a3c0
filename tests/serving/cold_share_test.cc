#include "fuchsiadrum/serving/cold_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fuchsiadrum::serving {
namespace {

class ColdShareTest : public testing::Test {
 protected:
  static constexpr double kBound = 21.5;
  TimePoint now{1'000'000'000};

  static std::set<std::string> Names(size_t first, size_t last) {
    std::set<std::string> names;
    for (size_t i = first; i < last; ++i) {
      names.insert("vm-" + std::to_string(i));
    }
    return names;
  }
  static FleetView Complete(const std::set<std::string>& names) {
    return {.vms = names, .reads = 2, .was_listed = true};
  }
  /// Sum of what the VMs of `names` may send in a period, if they know `view`.
  int Sum(const std::set<std::string>& names, const std::set<std::string>& view,
          const std::string& upstream) const {
    int sum = 0;
    for (const std::string& vm : names) {
      ColdShare share({.vm = vm});
      share.SetFleet(Complete(view));
      sum += share.RequestsPerPeriod(this->now, upstream, kBound);
    }
    return sum;
  }
};

// FAILBACK: the shares of a fleet of some size exceed half of the bound, or are
// so small that a cold upstream gets nothing.
TEST_F(ColdShareTest, AllVms_TogetherHaveUpToHalfOfTheBound) {
  for (const size_t vms : {1U, 2U, 7U, 9U, 10U, 11U, 82U, 195U, 940U}) {
    const auto names = Names(0, vms);
    const int sum = this->Sum(names, names, "i-5");
    EXPECT_LE(sum, kBound / 2) << vms;
    EXPECT_GE(sum, kBound / 4) << vms;
  }
}

// FAILBACK: the VMs that were there before and those that were added since know
// different fleets, and send together more than the bound.
TEST_F(ColdShareTest, TwoViewsOfTheFleet_TogetherKeepTheBound) {
  const auto all = Names(0, 300);
  for (const size_t known : {1U, 7U, 82U, 299U}) {
    const auto first = Names(0, known);
    const auto rest = Names(known, 300);
    EXPECT_LE(this->Sum(first, first, "i-5") + this->Sum(rest, all, "i-5"),
              kBound)
        << known;
    EXPECT_LE(this->Sum(first, first, "i-5") + this->Sum(rest, rest, "i-5"),
              kBound)
        << known;
  }
}

// All cold upstreams would get their requests from the same few VMs.
TEST_F(ColdShareTest, Upstreams_HaveDifferentVms) {
  const auto names = Names(0, 82);
  ColdShare share({.vm = "vm-3"});
  share.SetFleet(Complete(names));
  int own = 0;
  constexpr int kUpstreams = 400;
  for (int i = 0; i < kUpstreams; ++i) {
    own += share.RequestsPerPeriod(this->now, "i-" + std::to_string(i), kBound);
  }
  // 10 of 82 VMs for each.
  EXPECT_GT(own, kUpstreams / 16);
  EXPECT_LT(own, kUpstreams / 4);
}

// FAILBACK: a VM that has just started knows only some of the VMs that start
// with it, and takes itself for one of few.
TEST_F(ColdShareTest, VmThatHasJustStarted_SendsNothing) {
  const auto names = Names(0, 7);
  const auto requests = [this](const FleetView& view) {
    ColdShare share({.vm = "vm-3"});
    share.SetFleet(view);
    return share.RequestsPerPeriod(this->now, "i-1", kBound);
  };
  EXPECT_EQ(requests({}), 0);
  EXPECT_EQ(requests({.vms = names, .reads = 1, .was_listed = true}), 0);
  EXPECT_EQ(requests({.vms = names, .reads = 2}), 0);
  EXPECT_EQ(requests({.vms = Names(4, 9), .reads = 2, .was_listed = true}), 0);
  EXPECT_EQ(
      requests({.vms = names,
                .reads = 2,
                .first_heartbeat_at = this->now - std::chrono::seconds(24)}),
      0);
  EXPECT_GT(
      requests({.vms = names,
                .reads = 3,
                .first_heartbeat_at = this->now - std::chrono::seconds(25)}),
      0);
  EXPECT_GT(requests(Complete(names)), 0);
}

TEST_F(ColdShareTest, OddBounds_AllowNothingOrMuch) {
  ColdShare share({.vm = "vm-3"});
  share.SetFleet(Complete(Names(0, 7)));
  for (const double bound : {-1.0, 0.0, 0.5, 1.9}) {
    EXPECT_EQ(share.RequestsPerPeriod(this->now, "i", bound), 0) << bound;
  }
  EXPECT_GT(share.RequestsPerPeriod(this->now, "i", 1e18), 1000);
}

}  // namespace
}  // namespace fuchsiadrum::serving
