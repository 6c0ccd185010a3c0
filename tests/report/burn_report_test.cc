#include "fuchsiadrum/report/burn_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fuchsiadrum/report/objective_recorder.h"

namespace fuchsiadrum::report {
namespace {

constexpr TimePoint kStart{int64_t{1000} * 3600 * 1000 * 1000};

VmInfo Vm(const std::string& name) {
  return {.ref = {.vm = name, .incarnation = 1}, .availability_zone = "a"};
}

std::vector<pb::Objective> Objectives() {
  pb::Objective objective;
  objective.set_work_class(pb::CONTRACT_DRAFT);
  objective.set_first_token_ms(500);
  objective.set_between_tokens_ms(50);
  objective.set_target_ratio(0.95);
  return {objective};
}

RequestResult Answered(int first_token_ms) {
  return {.first_token = std::chrono::milliseconds(first_token_ms),
          .between_tokens = std::chrono::milliseconds(20),
          .complete = true};
}

class BurnReportTest : public ::testing::Test {
 protected:
  BurnReportTest() {
    this->recorder.SetObjectives(Objectives());
    this->report.SetObjectives(Objectives());
  }

  void Record(TimePoint now, const RequestResult& result) {
    this->recorder.Record(now, "org", pb::CONTRACT_DRAFT, result);
  }
  pb::BurnIndicator FirstToken(TimePoint now) {
    EXPECT_TRUE(this->report.Add(this->recorder.Export(now, Vm("d1"))));
    return this->report.Figures().series(0).indicators(0);
  }

  ObjectiveRecorder recorder;
  BurnReport report;
};

// Guards against an alarm for a burst that is over: the short window must burn
// too.
TEST_F(BurnReportTest, Figures_OldBurst_DoesNotFire) {
  for (int i = 0; i < 100; ++i) this->Record(kStart, Answered(900));
  const TimePoint later = kStart + std::chrono::minutes(40);
  for (int i = 0; i < 10; ++i) this->Record(later, Answered(100));
  const pb::BurnIndicator indicator = this->FirstToken(later);
  EXPECT_GT(indicator.windows(0).long_burn(), 14.4);
  EXPECT_EQ(indicator.windows(0).short_burn(), 0);
  EXPECT_FALSE(indicator.windows(0).firing());
}

// Guards against a burn that goes on without an alarm.
TEST_F(BurnReportTest, Figures_LastingBurn_Fires) {
  for (int minute = 0; minute < 60; ++minute) {
    this->Record(kStart + std::chrono::minutes(minute), Answered(900));
  }
  const pb::BurnIndicator indicator =
      this->FirstToken(kStart + std::chrono::minutes(59));
  EXPECT_NEAR(indicator.windows(0).short_burn(), 20.0, 1e-9);
  EXPECT_TRUE(indicator.windows(0).firing());
}

// Guards against requests without a first token vanishing from the objective.
TEST_F(BurnReportTest, Record_NoFirstToken_CountsAsBad) {
  this->Record(kStart, {.complete = false});
  this->Record(kStart, {.refused = true, .false_refusal = true});
  const pb::BurnIndicator indicator = this->FirstToken(kStart);
  EXPECT_EQ(indicator.bad(), 1U);
  const pb::BurnSeries series = this->report.Figures().series(0);
  EXPECT_EQ(series.indicators(2).bad(), 1U);
  EXPECT_EQ(series.indicators(3).bad(), 1U);
  EXPECT_EQ(series.indicators(3).good(), 1U);
}

// Guards against a report that looks whole while daemons are missing.
TEST_F(BurnReportTest, Figures_DaemonMissing_IsNamedEverywhere) {
  this->report.Expect({"d2", "d1"});
  this->Record(kStart, Answered(100));
  this->FirstToken(kStart);
  EXPECT_EQ(this->report.Figures().missing(0), "d2");
  EXPECT_NE(this->report.ToText().find("missing figures of: d2"),
            std::string::npos);
  EXPECT_NE(this->report.ToJson().find("\"missing\":[\"d2\"]"),
            std::string::npos);
}

// Guards against counting one daemon twice and against half-merged figures.
TEST_F(BurnReportTest, Add_TwiceOrMalformed_ChangesNothing) {
  this->Record(kStart, Answered(100));
  this->FirstToken(kStart);
  pb::ObjectiveFigures again = this->recorder.Export(kStart, Vm("d1"));
  EXPECT_FALSE(this->report.Add(again));
  again.mutable_daemon()->set_vm("d2");
  again.mutable_series(0)->mutable_between_tokens()->add_bins(99999);
  again.mutable_series(0)->mutable_between_tokens()->add_counts(1);
  EXPECT_FALSE(this->report.Add(again));
  EXPECT_EQ(this->report.LastReason().peer, "d2");
  EXPECT_EQ(this->report.Figures().series(0).indicators(0).good(), 1U);
  EXPECT_EQ(this->report.Figures().refused(0), "d2");
}

// Guards against unbounded memory with many organisations.
TEST_F(BurnReportTest, Record_ManyOrganisations_AreFolded) {
  ObjectiveRecorder small({.most_series = 16});
  for (int i = 0; i < 100; ++i) {
    small.Record(kStart, "org" + std::to_string(i), pb::LETTER, Answered(1));
  }
  const pb::ObjectiveFigures figures = small.Export(kStart, Vm("d1"));
  EXPECT_LE(figures.series_size(), 16);
  EXPECT_GT(figures.folded_series(), 0U);
}

// Guards against distributions that depend on how requests were spread over
// daemons: a merge must give what one recorder would have given.
RC_GTEST_PROP(BurnReportProperty, Add_SpreadOverDaemons_EqualsOneDaemon, ()) {
  auto values =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2'000'000));
  // The minute follows from the value; a daemon's clock goes forward.
  std::sort(values.begin(), values.end(),
            [](int a, int b) { return a % 300 < b % 300; });
  ObjectiveRecorder one;
  std::array<ObjectiveRecorder, 3> many;
  BurnReport merged;
  BurnReport whole;
  for (ObjectiveRecorder* recorder : {&one, &many[0], &many[1], &many[2]}) {
    recorder->SetObjectives(Objectives());
  }
  for (size_t i = 0; i < values.size(); ++i) {
    const TimePoint now = kStart + std::chrono::minutes(values[i] % 300);
    const RequestResult result = {.first_token = Duration(values[i]),
                                  .complete = values[i] % 7 != 0};
    one.Record(now, "org", pb::CONTRACT_DRAFT, result);
    many[i % 3].Record(now, "org", pb::CONTRACT_DRAFT, result);
  }
  const TimePoint end = kStart + std::chrono::minutes(300);
  RC_ASSERT(whole.Add(one.Export(end, Vm("d"))));
  for (size_t i = 0; i < many.size(); ++i) {
    RC_ASSERT(merged.Add(many[i].Export(end, Vm("d" + std::to_string(i)))));
  }
  pb::BurnFigures expected = whole.Figures();
  pb::BurnFigures actual = merged.Figures();
  expected.clear_daemons();
  actual.clear_daemons();
  const bool equal = expected.SerializeAsString() == actual.SerializeAsString();
  RC_ASSERT(equal);
}

}  // namespace
}  // namespace fuchsiadrum::report
