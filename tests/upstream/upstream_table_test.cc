#include "fuchsiadrum/upstream/upstream_table.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::upstream {
namespace {

constexpr TimePoint kStart{1'000'000};

class UpstreamTableTest : public ::testing::Test {
 protected:
  UpstreamTableTest() {
    this->entry.set_address("10.0.0.1:80");
    this->entry.set_availability_zone("a");
    this->entry.add_models("m-ordered");
    this->index = this->table.Put(kStart, "r1", this->entry);
  }

  static LoadReport Serving(const std::string& model) {
    return {.reachable = true, .models = {model}};
  }
  static pb::UpstreamHint Hint(uint32_t hops) {
    pb::UpstreamHint hint;
    hint.set_upstream("r1");
    hint.set_leaving(true);
    hint.set_hops(hops);
    return hint;
  }
  bool IsCandidate() const { return this->table.ForModel("m") != nullptr; }

  UpstreamTable table;
  pb::Upstream entry;
  UpstreamIndex index = 0;
};

// Guards against sending work for a model that was only ordered.
TEST_F(UpstreamTableTest, ForModel_OrderedNotObserved_IsNoCandidate) {
  EXPECT_EQ(this->table.ForModel("m-ordered"), nullptr);
  this->table.OnReport(kStart, "r1", Serving("m"));
  EXPECT_EQ(this->table.ForModel("m-ordered"), nullptr);
  EXPECT_EQ(this->table.ForModel("m")->all.size(), 1U);
}

// Guards against new work for an upstream that any one source says is leaving.
TEST_F(UpstreamTableTest, SetLeaving_AnySource_RemovesCandidateAtOnce) {
  for (const LeavingSource source :
       {LeavingSource::kVmList, LeavingSource::kCatalogue,
        LeavingSource::kOwnAnswer, LeavingSource::kPeerHint}) {
    UpstreamTable fresh;
    fresh.Put(kStart, "r1", this->entry);
    fresh.OnReport(kStart, "r1", Serving("m"));
    fresh.SetLeaving(kStart, "r1", source, true);
    EXPECT_EQ(fresh.ForModel("m"), nullptr);
  }
}

// Guards against one source withdrawing the indication of another.
TEST_F(UpstreamTableTest, SetLeaving_OneSourceWithdraws_OtherStillCounts) {
  this->table.OnReport(kStart, "r1", Serving("m"));
  this->table.SetLeaving(kStart, "r1", LeavingSource::kVmList, true);
  this->table.SetLeaving(kStart, "r1", LeavingSource::kOwnAnswer, true);
  this->table.SetLeaving(kStart, "r1", LeavingSource::kVmList, false);
  EXPECT_FALSE(this->IsCandidate());
}

// Guards against a lagged report, made before the upstream began to leave,
// bringing it back.
TEST_F(UpstreamTableTest, OnReport_LaggedNotLeaving_DoesNotWithdraw) {
  this->table.OnReport(kStart, "r1", Serving("m"));
  this->table.SetLeaving(kStart, "r1", LeavingSource::kOwnAnswer, true);
  this->table.OnReport(kStart + std::chrono::seconds(2), "r1", Serving("m"));
  EXPECT_FALSE(this->IsCandidate());
  this->table.OnReport(kStart + std::chrono::seconds(7), "r1", Serving("m"));
  EXPECT_TRUE(this->IsCandidate());
}

// Guards against two daemons keeping a withdrawn hint alive between them.
TEST_F(UpstreamTableTest, OnHint_EchoOfOwnHint_Expires) {
  this->table.OnReport(kStart, "r1", Serving("m"));
  this->table.OnHint(kStart, Hint(0));
  EXPECT_FALSE(this->IsCandidate());
  ASSERT_EQ(this->table.Hints().at(0).hops(), 1U);

  for (int s = 1; s <= 10; ++s) {
    const TimePoint now = kStart + std::chrono::seconds(s);
    this->table.OnHint(now, Hint(1));
    this->table.OnTick(now);
  }
  EXPECT_TRUE(this->IsCandidate());
}

// Guards against counting own dispatches twice: those before the moment that a
// report describes are in the report.
TEST_F(UpstreamTableTest, OnReport_OwnDispatches_CountedAtMeasuredMoment) {
  for (int ms = 0; ms < 4000; ms += 500) {
    this->table.AddInFlight(kStart + std::chrono::milliseconds(ms),
                            this->index);
  }
  this->table.OnReport(kStart + std::chrono::milliseconds(3900), "r1",
                       Serving("m"));
  // Dispatches at 0, 0.5, 1 and 1.5 s lie before 1.9 s.
  EXPECT_EQ(this->table.At(this->index).in_flight_at_report, 4);
  EXPECT_EQ(this->table.At(this->index).in_flight, 8);
}

// Guards against new work right after a cut has healed, when the first reports
// still describe the time before the upstream began to leave.
TEST_F(UpstreamTableTest, OnReport_AfterFailedPoll_WaitsBeforeReachable) {
  const auto poll = [this](int ms, bool answered) {
    LoadReport report = Serving("m");
    report.reachable = answered;
    this->table.OnReport(kStart + std::chrono::milliseconds(ms), "r1", report);
    return this->table.At(this->index).reachable;
  };
  EXPECT_TRUE(poll(0, true));
  EXPECT_FALSE(poll(500, false));
  EXPECT_FALSE(poll(1000, true));
  EXPECT_FALSE(poll(1400, true));
  EXPECT_TRUE(poll(1500, true));
}

// Guards against feedback of a removed upstream reaching its successor.
TEST_F(UpstreamTableTest, Remove_SlotReused_HasAnotherEpoch) {
  const uint32_t epoch = this->table.At(this->index).epoch;
  this->table.Remove("r1");
  const UpstreamIndex next = this->table.Put(kStart, "r2", this->entry);
  EXPECT_EQ(next, this->index);
  EXPECT_NE(this->table.At(next).epoch, epoch);
}

}  // namespace
}  // namespace fuchsiadrum::upstream
