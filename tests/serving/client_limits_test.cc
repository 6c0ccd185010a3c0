#include "fuchsiadrum/serving/client_limits.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class ClientLimitsTest : public testing::Test {
 protected:
  static constexpr size_t kSmallestMemory = 112000000;
  static constexpr size_t kLargestBody = 4194304;
};

// A limit that ordinary clients meet would be worse than none.
TEST_F(ClientLimitsTest, SmallestVm_TakesLargestRequestAndManyCallers) {
  const ClientLimits limits =
      ClientLimits::For({.memory_bytes = kSmallestMemory, .descriptors = 2870});
  EXPECT_GT(limits.large_request_bytes, 6 * kLargestBody);
  EXPECT_GT(limits.connections, 1000U);
  EXPECT_GT(limits.idle_upstreams, 500U);
  EXPECT_GE(limits.page_connections, 32U);
}

// Callers with an upstream connection each, files, store and pages together
// stay within the descriptors, also where there are few.
TEST_F(ClientLimitsTest, AnyDescriptors_SufficeForAll) {
  for (size_t descriptors = 40; descriptors < 20000; descriptors += 7) {
    const ClientLimits limits = ClientLimits::For({.descriptors = descriptors});
    EXPECT_LT(2 * limits.connections + limits.idle_upstreams +
                  2 * limits.page_connections,
              descriptors);
    EXPECT_GE(limits.connections, 8U) << descriptors;
  }
}

// Large requests leave room for ordinary ones, and both for answers.
TEST_F(ClientLimitsTest, Bounds_LeaveRoomForWhatMattersMore) {
  const ClientLimits limits =
      ClientLimits::For({.memory_bytes = kSmallestMemory});
  EXPECT_EQ(limits.BoundFor(ClientLimits::kLargeRequestBytes),
            limits.request_bytes);
  EXPECT_EQ(limits.BoundFor(ClientLimits::kLargeRequestBytes + 1),
            limits.large_request_bytes);
  EXPECT_LT(limits.large_request_bytes, limits.request_bytes);
  EXPECT_LT(limits.request_bytes, limits.total_bytes);
}

// Without known resources nothing is limited by them.
TEST_F(ClientLimitsTest, UnknownResources_LimitNothing) {
  const ClientLimits limits = ClientLimits::For({});
  EXPECT_EQ(limits.total_bytes, 0U);
  EXPECT_EQ(limits.BoundFor(1), 0U);
  EXPECT_EQ(limits.connections, 0U);
  EXPECT_EQ(limits.idle_upstreams, 0U);
  EXPECT_EQ(limits.page_connections, 0U);
}

}  // namespace
}  // namespace fuchsiadrum::serving
