#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "tests/budget/test_fleet.h"

namespace {

size_t allocations = 0;

}  // namespace

// The whole test program counts its allocations.
void* operator new(size_t size) {
  ++allocations;
  if (void* const memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace fuchsiadrum::budget {
namespace {

class AllocationTest : public ::testing::Test {
 protected:
  TestFleet fleet;
};

// Guards against an allocation for each request in the path of a request.
TEST_F(AllocationTest, Reserve_SteadyState_AllocatesNothing) {
  fleet.TopUp(10'000'000);
  fleet.Spend(fleet[0], 1'000);
  EscrowAgent& agent = *fleet[0].agent;

  const size_t before = allocations;
  for (int i = 0; i < 200; ++i) {
    const ReserveResult result = agent.Reserve(
        fleet.now, "org", Tokens(10), Tokens(5), fleet.now, fleet[0].out);
    agent.Settle(fleet.now, result.id, Tokens(7));
    agent.Confirm(fleet.now, result.id, i % 2 == 0);
  }
  EXPECT_EQ(allocations, before);
}

}  // namespace
}  // namespace fuchsiadrum::budget
