#include "fuchsiadrum/serving/liveness_probe.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class LivenessProbeTest : public testing::Test {
 protected:
  LivenessProbe probe{LivenessProbeOptions()};
};

TEST_F(LivenessProbeTest, Add_KeptConnection_IsAlive) {
  EXPECT_EQ(this->probe.Add(ProbeResult::kKept), true);
}

TEST_F(LivenessProbeTest, Add_RefusedConnection_HasEnded) {
  EXPECT_EQ(this->probe.Add(ProbeResult::kFailed), false);
}

// Guards against a full upstream that counts as dead.
TEST_F(LivenessProbeTest, Add_ResetsInARow_AreAlive) {
  EXPECT_EQ(this->probe.Add(ProbeResult::kReset), std::nullopt);
  EXPECT_EQ(this->probe.Add(ProbeResult::kReset), true);
}

// Guards against a process that ends and has accepted one more connection.
TEST_F(LivenessProbeTest, Add_ResetBeforeARefusal_HasEnded) {
  EXPECT_EQ(this->probe.Add(ProbeResult::kReset), std::nullopt);
  EXPECT_EQ(this->probe.Add(ProbeResult::kFailed), false);
}

}  // namespace
}  // namespace fuchsiadrum::serving
