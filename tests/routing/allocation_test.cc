#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <new>

#include "fuchsiadrum/routing/router_factory.h"

namespace {
size_t allocations = 0;
}  // namespace

void* operator new(size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace fuchsiadrum::routing {
namespace {

class AllocationTest : public ::testing::Test {
 protected:
  void Request(Router& router, int i) {
    const TimePoint now{1'000'000 + i * 10'000};
    const std::array<uint64_t, 3> hashes = {
        1, 2 + static_cast<uint64_t>(i) % 50, 1000 + static_cast<uint64_t>(i)};
    const RequestFeatures request = {.model = "a-model-with-a-long-name",
                                     .prefix_hashes = hashes,
                                     .prompt_bound = Tokens(900),
                                     .zone = "zone-a"};
    const auto choice = router.Choose(now, request);
    Dispatch dispatch = router.OnDispatch(now, *choice, request);
    router.OnFirstToken(now + Duration(20'000), dispatch);
    router.OnFinished(now + Duration(40'000), dispatch, Tokens(10));
    router.OnTick(now);
  }
};

// Guards against allocations for each request, which cost more than the choice.
TEST_F(AllocationTest, Choose_SteadyState_DoesNotAllocate) {
  upstream::UpstreamTable table;
  for (int i = 0; i < 30; ++i) {
    const std::string name = "r" + std::to_string(i);
    pb::Upstream entry;
    entry.set_availability_zone("zone-a");
    table.Put({}, name, entry);
    table.OnReport({}, name,
                   {.reachable = true, .models = {"a-model-with-a-long-name"}});
  }
  CostRouter router(table, {.prefixes = {.capacity = 256}});
  for (int i = 0; i < 2000; ++i) this->Request(router, i);

  const size_t before = allocations;
  for (int i = 2000; i < 4000; ++i) this->Request(router, i);
  EXPECT_EQ(allocations, before);
}

}  // namespace
}  // namespace fuchsiadrum::routing
