#include "fuchsiadrum/routing/router.h"

#include <gtest/gtest.h>

#include <array>

#include "fuchsiadrum/routing/router_factory.h"

namespace fuchsiadrum::routing {
namespace {

constexpr TimePoint kStart{1'000'000};

class RouterTest : public ::testing::Test {
 protected:
  void AddRunners(int count) {
    for (int i = 0; i < count; ++i) {
      pb::Upstream entry;
      entry.set_address("10.0.0.1:" + std::to_string(i));
      entry.set_availability_zone(i % 2 == 0 ? "a" : "b");
      const std::string name = "r" + std::to_string(i);
      this->table.Put(kStart, name, entry);
      this->table.OnReport(kStart, name, {.reachable = true, .models = {"m"}});
    }
    this->request.model = "m";
    this->request.zone = "a";
    this->request.prompt_bound = Tokens(1024);
  }
  std::unique_ptr<Router> Make(std::string_view policy) {
    return MakeRouter(policy, this->table, {});
  }
  static void Fail(Router& router, TimePoint now, UpstreamIndex index,
                   const RequestFeatures& request, FailureKind kind) {
    const Dispatch dispatch = router.OnDispatch(now, index, request);
    router.OnFailed(now, dispatch, kind);
  }

  upstream::UpstreamTable table;
  RequestFeatures request;
};

// Guards against a policy that sends new work to a leaving or excluded
// upstream.
TEST_F(RouterTest, Choose_AllPolicies_SkipLeavingAndExcluded) {
  this->AddRunners(3);
  this->table.SetLeaving(kStart, "r0", upstream::LeavingSource::kVmList, true);
  const std::array<UpstreamIndex, 1> excluded = {1};
  this->request.excluded = excluded;
  for (const std::string_view policy : PolicyNames()) {
    const auto router = this->Make(policy);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(router->Choose(kStart, this->request), 2U) << policy;
    }
  }
}

// Guards against new work for an upstream that began to leave while this daemon
// was cut off from it (bench routing, darilni-zreb, mixed, seed 14: new work
// 8.3 s after the first indication, right after a zone cut had healed).
TEST_F(RouterTest, Choose_LastPollFailed_WaitsForPollThatSucceeds) {
  this->AddRunners(2);
  const auto router = this->Make("cost");
  this->table.OnReport(kStart, "r0", {.reachable = false});
  for (int i = 0; i < 50; ++i) {
    const auto choice = router->Choose(kStart, this->request);
    ASSERT_EQ(choice, 1U);
    router->OnDispatch(kStart, *choice, this->request);
  }
  this->table.OnReport(kStart, "r1", {.reachable = false});
  EXPECT_NE(router->Choose(kStart, this->request), std::nullopt);
}

// Guards against a refusal without a reason.
TEST_F(RouterTest, Choose_UnknownModel_TellsReason) {
  this->AddRunners(1);
  this->request.model = "other";
  const auto router = this->Make("cost");
  EXPECT_EQ(router->Choose(kStart, this->request), std::nullopt);
  EXPECT_EQ(router->LastReason().step, "route");
  EXPECT_EQ(router->LastReason().peer, "other");
}

// Guards against the ejection of more than half when all upstreams fail.
TEST_F(RouterTest, OnFailed_AllFail_HalfStaysInTheChoice) {
  this->AddRunners(5);
  const auto router = this->Make("cost");
  for (int round = 0; round < 10; ++round) {
    for (UpstreamIndex index = 0; index < 5; ++index) {
      Fail(*router, kStart, index, this->request, FailureKind::kBroken);
    }
  }
  int ejected = 0;
  for (UpstreamIndex index = 0; index < 5; ++index) {
    ejected += this->table.At(index).ejected ? 1 : 0;
  }
  EXPECT_EQ(ejected, 2);
}

// Guards against an ejection that never ends.
TEST_F(RouterTest, OnTick_EjectionTimeOver_UpstreamIsBack) {
  this->AddRunners(2);
  const auto router = this->Make("cost");
  for (int i = 0; i < 3; ++i) {
    Fail(*router, kStart, 0, this->request, FailureKind::kNotSent);
  }
  EXPECT_TRUE(this->table.At(0).ejected);
  router->OnTick(kStart + std::chrono::seconds(6));
  EXPECT_FALSE(this->table.At(0).ejected);
}

// Guards against blaming an upstream for callers that go away.
TEST_F(RouterTest, OnFailed_Cancelled_DoesNotEject) {
  this->AddRunners(2);
  const auto router = this->Make("cost");
  for (int i = 0; i < 20; ++i) {
    Fail(*router, kStart, 0, this->request, FailureKind::kCancelled);
  }
  EXPECT_FALSE(this->table.At(0).ejected);
}

// Guards against a refusing upstream keeping its full share.
TEST_F(RouterTest, OnFailed_Rejected_LowersLimit) {
  this->AddRunners(1);
  const auto router = this->Make("cost");
  for (int i = 0; i < 10; ++i) router->OnDispatch(kStart, 0, this->request);
  Fail(*router, kStart, 0, this->request, FailureKind::kRejected);
  EXPECT_EQ(this->table.At(0).learned_limit, 7);
  EXPECT_EQ(router->Choose(kStart, this->request), std::nullopt);
}

// Guards against an answer "leaving" that is counted as a failure only.
TEST_F(RouterTest, OnFailed_Leaving_MarksUpstream) {
  this->AddRunners(1);
  const auto router = this->Make("cost");
  Fail(*router, kStart, 0, this->request, FailureKind::kLeaving);
  EXPECT_EQ(router->Choose(kStart, this->request), std::nullopt);
}

// Guards against choosing a slow upstream as often as a fast one.
TEST_F(RouterTest, Cost_LearnedSpeed_PrefersFastUpstream) {
  this->AddRunners(2);
  const auto router = this->Make("cost");
  for (int i = 0; i < 20; ++i) {
    for (UpstreamIndex index = 0; index < 2; ++index) {
      Dispatch dispatch = router->OnDispatch(kStart, index, this->request);
      const Duration ttft = std::chrono::milliseconds(index == 0 ? 400 : 100);
      router->OnFirstToken(kStart + ttft, dispatch);
      router->OnFinished(kStart + ttft, dispatch, Tokens(1));
    }
  }
  EXPECT_EQ(router->Choose(kStart, this->request), 1U);
}

// Guards against losing the prefix cache of an idle upstream.
TEST_F(RouterTest, Cost_CachedPrefix_AttractsUntilLoaded) {
  this->AddRunners(4);
  const std::array<uint64_t, 3> hashes = {11, 12, 13};
  this->request.prefix_hashes = hashes;
  const auto router = this->Make("cost");
  const Dispatch first = router->OnDispatch(kStart, 3, this->request);
  router->OnFinished(kStart, first, Tokens(1));
  EXPECT_EQ(router->Choose(kStart, this->request), 3U);

  for (int i = 0; i < 100; ++i) {
    const auto choice = router->Choose(kStart, this->request);
    router->OnDispatch(kStart, *choice, this->request);
  }
  EXPECT_LT(this->table.At(3).in_flight, 60);
}

// Guards against feedback for an upstream that was removed meanwhile.
TEST_F(RouterTest, OnFinished_UpstreamRemoved_IsIgnored) {
  this->AddRunners(1);
  const auto router = this->Make("cost");
  const Dispatch dispatch = router->OnDispatch(kStart, 0, this->request);
  this->table.Remove("r0");
  router->OnFinished(kStart, dispatch, Tokens(1));
  EXPECT_EQ(this->table.At(0).in_flight, 0);
}

}  // namespace
}  // namespace fuchsiadrum::routing
