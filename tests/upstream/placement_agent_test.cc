#include "fuchsiadrum/upstream/placement_agent.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::upstream {
namespace {

constexpr TimePoint kStart{1'000'000};

class FakePeers final : public PeerView {
 public:
  FakePeers() { this->self.ref = {.vm = "d1", .incarnation = 1}; }
  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint /*now*/,
                                    const VmRef& /*peer*/) const override {
    return this->silent;
  }
  bool IsLogReachable() const override { return true; }

  VmInfo self;
  std::vector<VmInfo> alive;
  Duration silent{};
};

class PlacementAgentTest : public ::testing::Test {
 protected:
  PlacementAgentTest() { this->SetUpEngine(true); }

  void SetUpEngine(bool checks_fencing) {
    pb::Upstream entry;
    entry.set_checks_fencing(checks_fencing);
    this->table.Put(kStart, "r1", entry);
    pb::Placement wanted;
    wanted.set_upstream("r1");
    wanted.add_models("m");
    this->agent.SetWanted({wanted});
  }
  Verdict Appoint(uint64_t offset, const std::string& vm,
                  LogPosition previous) {
    pb::Record record;
    pb::PlacementAppoint& appoint = *record.mutable_placement_appoint();
    appoint.set_upstream("r1");
    *appoint.mutable_owner() = VmRef{vm, 1}.ToProto();
    *appoint.mutable_previous() = previous.ToProto();
    return this->owners.Apply({offset, 0}, {}, record);
  }
  std::vector<PlacementOrder> Tick(int seconds) {
    this->agent.OnTick(kStart + std::chrono::seconds(seconds), this->out);
    return this->agent.TakeOrders();
  }
  void Observe(const std::string& model) {
    this->table.OnReport(kStart, "r1", {.reachable = true, .models = {model}});
  }

  FakePeers peers;
  PlacementOwners owners;
  UpstreamTable table;
  PlacementAgent agent{{}, peers, owners, table};
  Outbox out;
};

// Guards against two owners after concurrent appointments.
TEST_F(PlacementAgentTest, Apply_SecondOfConcurrentAppointments_IsRejected) {
  EXPECT_EQ(this->Appoint(5, "d1", {}), Verdict::kAccepted);
  EXPECT_EQ(this->Appoint(6, "d2", {}), Verdict::kRejected);
  EXPECT_EQ(this->owners.Find("r1")->owner.vm, "d1");
}

// Guards against a fencing number that does not grow with each owner.
TEST_F(PlacementAgentTest, Apply_SameOffsetAsPrevious_IsRejected) {
  this->Appoint(5, "d1", {});
  EXPECT_EQ(this->Appoint(5, "d2", {5, 0}), Verdict::kRejected);
}

// Guards against a state that differs after a snapshot.
TEST_F(PlacementAgentTest, Load_SavedState_HasSameDigest) {
  this->Appoint(5, "d1", {});
  pb::Snapshot snapshot;
  this->owners.Save(snapshot);
  PlacementOwners loaded;
  ASSERT_TRUE(loaded.Load(snapshot));
  EXPECT_EQ(loaded.Digest(), this->owners.Digest());
}

// Guards against an upstream that nobody orders.
TEST_F(PlacementAgentTest, OnTick_NoOwner_AppointsSelf) {
  this->Tick(0);
  ASSERT_EQ(this->out.records.size(), 1U);
  EXPECT_EQ(this->out.records[0].placement_appoint().owner().vm(), "d1");
}

// Guards against orders of a daemon that is not the owner.
TEST_F(PlacementAgentTest, OnTick_OtherOwnerAlive_OrdersNothing) {
  this->Appoint(5, "d2", {});
  EXPECT_TRUE(this->Tick(0).empty());
  EXPECT_TRUE(this->out.records.empty());
}

// Guards against a dead owner that blocks the upstream for ever.
TEST_F(PlacementAgentTest, OnTick_OwnerSilent_IsReplaced) {
  this->Appoint(5, "d2", {});
  this->peers.silent = std::chrono::seconds(11);
  this->Tick(0);
  ASSERT_EQ(this->out.records.size(), 1U);
  EXPECT_EQ(this->out.records[0].placement_appoint().previous().offset(), 5U);
}

// Guards against an order that is lost, and against repeating a reached one.
TEST_F(PlacementAgentTest, OnTick_UntilObserved_RepeatsWithFencing) {
  this->Appoint(5, "d1", {});
  EXPECT_EQ(this->Tick(0).at(0).fencing, 5U);
  EXPECT_TRUE(this->Tick(1).empty());
  EXPECT_EQ(this->Tick(6).size(), 1U);
  this->Observe("m");
  EXPECT_TRUE(this->Tick(12).empty());
}

// Guards against two owners' orders at an engine that ignores the number.
TEST_F(PlacementAgentTest, OnTick_NoFencing_WaitsForSettleAndFreshLog) {
  this->SetUpEngine(false);
  this->Appoint(5, "d1", {});
  this->agent.OnLogEndRead(kStart);
  EXPECT_TRUE(this->Tick(0).empty());
  EXPECT_TRUE(this->Tick(9).empty());
  this->agent.OnLogEndRead(kStart + std::chrono::seconds(9));
  EXPECT_EQ(this->Tick(9).size(), 1U);
}

// Guards against an endless exchange of orders with somebody else.
TEST_F(PlacementAgentTest, OnTick_StateRevertedOften_StopsAndReports) {
  this->Appoint(5, "d1", {});
  int orders = 0;
  for (int round = 0; round < 20; ++round) {
    orders += static_cast<int>(this->Tick(round * 30).size());
    this->Observe("m");
    this->Tick(round * 30 + 10);
    this->Observe("other");
  }
  EXPECT_EQ(orders, 3);
  EXPECT_TRUE(this->agent.Statuses().at(0).conflict);
}

// Guards against a planned stop that leaves upstreams without an owner.
TEST_F(PlacementAgentTest, BeginDrain_PeerAlive_HandsOver) {
  this->peers.alive = {{.ref = {.vm = "d2", .incarnation = 1}}};
  this->Appoint(5, "d1", {});
  this->agent.BeginDrain(kStart, this->out);
  ASSERT_EQ(this->out.records.size(), 1U);
  EXPECT_FALSE(this->agent.IsDrained());
  this->owners.Apply({6, 0}, {}, this->out.records[0]);
  EXPECT_TRUE(this->agent.IsDrained());
}

}  // namespace
}  // namespace fuchsiadrum::upstream
