#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fuchsiadrum/serving/upstream_directory.h"

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A directory with upstreams in several zones, some of which are cold.
class UpstreamDirectoryColdTest : public testing::Test {
 protected:
  UpstreamDirectoryColdTest() {
    ServingConfig config;
    config.services = {
        {.name = "draft", .cold_time = seconds(3), .cold_requests_per_s = 11}};
    this->directory.Cold().OnConfig(config);
    this->directory.Cold().SetFleet(
        {.vms = {"vm-1"}, .reads = 2, .was_listed = true});
  }

  static UpstreamDirectoryOptions Options() {
    UpstreamDirectoryOptions options;
    options.cold.overage = 1.5;
    options.cold.slack = 5;
    options.cold.share.vm = "vm-1";
    return options;
  }
  FleetUpstreamPtr Put(const std::string& id, const std::string& zone,
                       int cold_left_ms = 0) {
    this->directory.Put(this->now, {.id = id,
                                    .service = "draft",
                                    .address = "10.0.0.1:80",
                                    .availability_zone = zone,
                                    .started_unix_ms = 7,
                                    .cold_left = milliseconds(cold_left_ms),
                                    .sequence = ++this->sequence});
    for (const auto& upstream :
         this->directory.Candidates(this->now, "draft")) {
      if (upstream->entry.id == id) return upstream;
    }
    return nullptr;
  }
  std::vector<std::string> Candidates() {
    std::vector<std::string> ids;
    for (const auto& upstream :
         this->directory.Candidates(this->now, "draft")) {
      ids.push_back(upstream->entry.id);
    }
    return ids;
  }
  void Pass(Duration time) { this->now = this->now + time; }

  UpstreamDirectory directory{Options()};
  TimePoint now{1'000'000'000};
  int64_t sequence = 0;
};

using Ids = std::vector<std::string>;

// EVAC: a request that was placed before reaches an upstream of the zone.
TEST_F(UpstreamDirectoryColdTest, EvacuatedZone_GetsNothingAlsoIfPlaced) {
  const FleetUpstreamPtr first = this->Put("a1", "a");
  this->Put("b1", "b");
  const auto permit = this->directory.TakePermit(this->now, *first, 0);
  ASSERT_TRUE(permit);
  EXPECT_TRUE(this->directory.MaySend(this->now, *first, *permit));
  EXPECT_TRUE(this->directory.BeginEvacuation(this->now, "a"));

  EXPECT_FALSE(this->directory.MaySend(this->now, *first, *permit));
  EXPECT_EQ(this->directory.EligibilityOf(this->now, *first),
            UpstreamEligibility::kIneligible);
  EXPECT_EQ(this->Candidates(), Ids{"b1"});
}

// EVAC: an upstream that appears in the zone, or whose entry is deleted there,
// is a last resort when no other is left.
TEST_F(UpstreamDirectoryColdTest, EvacuatedZone_IsNoLastResort) {
  this->directory.BeginEvacuation(this->now, "a");
  this->directory.BeginEvacuation(this->now, "of another site");
  this->Put("a1", "a");
  const FleetUpstreamPtr other = this->Put("b1", "b");
  other->OnUnreachable(this->now);
  EXPECT_EQ(this->Candidates(), Ids{"b1"});
  this->directory.Remove(this->now, "a1");
  this->directory.EraseMisdirected(*other);
  EXPECT_TRUE(this->Candidates().empty());
}

// EVAC: callers are told to come back as if the upstreams were just missing.
TEST_F(UpstreamDirectoryColdTest, EvacuationEnd_IsKnownIfAllZonesAre) {
  EXPECT_FALSE(this->directory.EvacuationEnd(this->now, "draft"));
  this->Put("a1", "a");
  this->Put("b1", "b");
  this->directory.BeginEvacuation(this->now, "a");
  EXPECT_FALSE(this->directory.EvacuationEnd(this->now, "draft"));
  this->Pass(seconds(6));
  this->directory.BeginEvacuation(this->now, "b");
  EXPECT_EQ(this->directory.EvacuationEnd(this->now, "draft"),
            this->now + milliseconds(500));
  EXPECT_FALSE(this->directory.EvacuationEnd(this->now, "book"));
}

// FAILBACK: upstreams of a zone that is taken back have cooled down meanwhile.
TEST_F(UpstreamDirectoryColdTest, LiftedEvacuation_LeavesUpstreamsInDoubt) {
  const FleetUpstreamPtr first = this->Put("a1", "a");
  this->Put("b1", "b");
  EXPECT_FALSE(this->directory.LiftEvacuation(this->now, "a"));
  EXPECT_EQ(this->Candidates(), (Ids{"a1", "b1"}));
  this->directory.BeginEvacuation(this->now, "a");
  this->Pass(seconds(20));
  EXPECT_TRUE(this->directory.LiftEvacuation(this->now, "a"));
  EXPECT_TRUE(this->directory.IsCold(this->now, *first));
  EXPECT_EQ(this->directory.ColdIds(this->now), std::set<std::string>{"a1"});

  this->Pass(seconds(1));
  this->Put("a1", "a");
  EXPECT_EQ(this->Candidates(), (Ids{"a1", "b1"}));
}

// FAILBACK: a cold upstream looks attractive because it is idle.
TEST_F(UpstreamDirectoryColdTest, ColdUpstreams_AreUsedIfFewAreWarm) {
  this->Put("a", "z", 3000);
  this->Put("b", "z");
  EXPECT_EQ(this->Candidates(), Ids{"b"});
  this->Put("c", "z", 3000);
  EXPECT_EQ(this->Candidates(), (Ids{"b", "a", "c"}));
  EXPECT_EQ(this->directory.Candidates(this->now, "draft", Ids{"b"}).size(),
            2U);
}

TEST_F(UpstreamDirectoryColdTest, ColdUpstreamWithoutAPermit_IsIneligible) {
  const FleetUpstreamPtr cold = this->Put("a", "z", 3000);
  ASSERT_TRUE(cold);
  const auto permit = this->directory.TakePermit(this->now, *cold, 0);
  ASSERT_TRUE(permit);
  EXPECT_TRUE(permit->of_cold);
  EXPECT_TRUE(this->Candidates().empty());
  EXPECT_FALSE(this->directory.TakePermit(this->now, *cold, 0));
  EXPECT_FALSE(this->directory.MaySend(this->now, *cold, SendPermit()));
  EXPECT_TRUE(this->directory.MaySend(this->now, *cold, *permit));
  const auto chance = this->directory.FirstColdChance(this->now, "draft");
  ASSERT_TRUE(chance);
  EXPECT_GT(*chance, this->now);
  EXPECT_LT(*chance, this->now + seconds(1));

  this->directory.ReturnPermit(this->now, *cold, *permit);
  EXPECT_EQ(this->Candidates(), Ids{"a"});
  EXPECT_EQ(this->directory.FirstColdChance(this->now, "draft"), this->now);
}

// FAILBACK: while the connection is opened, the upstream has become cold.
TEST_F(UpstreamDirectoryColdTest, PlacedRequest_IsCheckedWhenItIsSent) {
  const FleetUpstreamPtr upstream = this->Put("a", "z");
  const auto permit = this->directory.TakePermit(this->now, *upstream, 0);
  ASSERT_TRUE(permit);
  this->directory.OnLost(this->now, {.id = "a", .started_unix_ms = 7});
  EXPECT_FALSE(this->directory.MaySend(this->now, *upstream, *permit));

  this->directory.OnColdTime(this->now, *upstream, Duration::zero());
  EXPECT_TRUE(this->directory.MaySend(this->now, *upstream, *permit));
  this->directory.OnLost(this->now, {.id = "a", .started_unix_ms = 6});
  EXPECT_TRUE(this->directory.MaySend(this->now, *upstream, *permit));
}

// LIMIT: the permit for a cold upstream adds one to the share of its limit when
// it is put back, or is lost when there is no share.
TEST_F(UpstreamDirectoryColdTest, LimitedColdUpstream_NeedsBothPermits) {
  const FleetUpstreamPtr upstream = this->Put("a", "z", 3000);
  this->directory.OnLimit(this->now, *upstream, 4.0, this->now);
  EXPECT_FALSE(this->directory.TakePermit(this->now, *upstream, 0));

  this->directory.OnLimit(this->now, *upstream, std::nullopt,
                          this->now + milliseconds(1));
  EXPECT_TRUE(this->directory.TakePermit(this->now, *upstream, 0));
}

// Other deployments are served as before.
TEST_F(UpstreamDirectoryColdTest, WithoutSettings_EntriesMakeNoDifference) {
  UpstreamDirectory plain{UpstreamDirectoryOptions()};
  ServingConfig config;
  config.services = {
      {.name = "draft", .cold_time = seconds(3), .cold_requests_per_s = 11}};
  plain.Cold().OnConfig(config);
  plain.Cold().OnEntriesRead();
  plain.Put(this->now, {.id = "a",
                        .service = "draft",
                        .address = "10.0.0.1:80",
                        .cold_left = seconds(3)});
  const auto candidates = plain.Candidates(this->now, "draft");
  ASSERT_EQ(candidates.size(), 1U);
  const auto permit = plain.TakePermit(this->now, *candidates[0], 0);
  ASSERT_TRUE(permit);
  EXPECT_FALSE(permit->of_cold || permit->of_limit);
  EXPECT_TRUE(plain.MaySend(this->now, *candidates[0], *permit));
  EXPECT_FALSE(plain.FirstColdChance(this->now, "draft"));
}

}  // namespace
}  // namespace fuchsiadrum::serving
