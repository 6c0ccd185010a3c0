#include <gtest/gtest.h>

#include <array>

#include "placement_fleet.h"

namespace fuchsiadrum::serving {
namespace {

/// Ten engines, of which the first starts while the other nine are nearly full.
class UpstreamRampFleetTest : public testing::Test {
 protected:
  static constexpr int kSeeds = 5;

  static double ValueOf(EngineKind kind, int vms,
                        std::optional<Duration> fixed_ramp) {
    double value = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      PlacementFleetOptions options = {
          .seed = static_cast<uint64_t>(seed),
          .vms = vms,
          .callers = 10,
          .warm_up = std::chrono::seconds(8),
          .start_of_first = std::chrono::seconds(8),
          .first_kind = kind,
          .fixed_ramp = fixed_ramp};
      options.requests_per_s = kRequestsPerS;
      options.length = std::chrono::seconds(28);
      PlacementFleet fleet(options);
      value += fleet.Run().Mean() / kSeeds;
    }
    return value;
  }

  /// The value with the best of several fixed ramps.
  static double BestFixed(EngineKind kind, int vms) {
    double best = 0;
    for (const int seconds : {0, 1, 2, 5, 10, 20, 1000}) {
      best = std::max(best, ValueOf(kind, vms, std::chrono::seconds(seconds)));
    }
    return best;
  }

  static void ExpectCloseToBestFixed(EngineKind kind) {
    for (const int vms : {1, 100}) {
      const double value = ValueOf(kind, vms, std::nullopt);
      const double best = BestFixed(kind, vms);
      EXPECT_GE(value, 0.9 * best) << vms << " VMs";
    }
  }

  /// As much as nine engines of eight slots complete in a second, so that it
  /// matters when the tenth one takes requests.
  static constexpr double kRequestsPerS = 165;
};

// Guards against a new upstream that is left idle while its peers are full.
TEST_F(UpstreamRampFleetTest, FastUpstream_IsAsGoodAsTheBestFixedRamp) {
  ExpectCloseToBestFixed(EngineKind::kFast);
}

// Guards against requests that wait at an upstream four times as slow.
TEST_F(UpstreamRampFleetTest, SlowUpstream_IsAsGoodAsTheBestFixedRamp) {
  ExpectCloseToBestFixed(EngineKind::kSlow);
}

// Guards against a burst at an upstream that is slow in its first seconds.
TEST_F(UpstreamRampFleetTest, ColdUpstream_IsAsGoodAsTheBestFixedRamp) {
  ExpectCloseToBestFixed(EngineKind::kCold);
}

// Guards against an upstream that crashes under load again and again.
TEST_F(UpstreamRampFleetTest, FlappingUpstream_IsAsGoodAsTheBestFixedRamp) {
  ExpectCloseToBestFixed(EngineKind::kFlapping);
}

// Guards against trust in the report of a slow upstream that says it is idle.
TEST_F(UpstreamRampFleetTest, LyingUpstream_IsAsGoodAsTheBestFixedRamp) {
  ExpectCloseToBestFixed(EngineKind::kLying);
}

}  // namespace
}  // namespace fuchsiadrum::serving
