#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/report/indicator.h"
#include "fuchsiadrum/report/latency_histogram.h"
#include "fuchsiadrum/report/objective_table.h"
#include "schema/report.pb.h"

namespace fuchsiadrum::report {

/// A pair of windows. A burn rate of 1 uses up the error budget exactly within
/// the period that the objective is set for.
struct BurnWindowOptions {
  Duration short_window;
  Duration long_window;
  /// Both windows must exceed this rate: the long one proves that it matters,
  /// the short one that it still goes on.
  double threshold = 0;
};

/// Options of the report.
struct BurnReportOptions {
  /// With a monthly objective, 14.4 spends 2% of the budget in 1 h and 6 spends
  /// 5% in 6 h.
  std::vector<BurnWindowOptions> windows = {
      {std::chrono::minutes(5), std::chrono::hours(1), 14.4},
      {std::chrono::minutes(30), std::chrono::hours(6), 6.0}};
  /// Part of the longest window that one point of the history covers.
  Duration history_part = std::chrono::minutes(10);
  /// Targets of the indicators that the catalogue has no field for.
  double completeness_target = 0.999;
  double false_refusal_target = 0.999;
};

/// Burn rates of the whole fleet: merges the figures of all daemons exactly and
/// names the daemons whose figures are missing.
class BurnReport {
 public:
  explicit BurnReport(BurnReportOptions options = {});

  /// Objectives of the catalogue; they give targets.
  void SetObjectives(const std::vector<pb::Objective>& objectives);
  /// Names of the VMs whose figures are expected.
  void Expect(std::vector<std::string> daemons);
  /// Adds the figures of one daemon; false (see LastReason) if they have
  /// another layout or are malformed. Later figures of a VM that was added
  /// already are refused.
  bool Add(const pb::ObjectiveFigures& figures);
  /// Why the last Add returned false.
  const Reason& LastReason() const { return this->reason; }

  /// The merged report.
  pb::BurnFigures Figures() const;
  /// The same as text for a terminal.
  std::string ToText() const;
  /// The same as JSON; keys are the field names of pb::BurnFigures.
  std::string ToJson() const;

 private:
  struct Counts {
    std::array<uint64_t, kIndicators> good{};
    std::array<uint64_t, kIndicators> bad{};
  };
  struct Series {
    std::map<uint32_t, Counts> slots;  // by age
    LatencyHistogram first_token;
    LatencyHistogram between_tokens;
  };
  using Key = std::pair<std::string, int>;

  bool Refuse(const std::string& daemon, const char* text);
  /// Checks a series and adds it to `out`.
  static bool Parse(const pb::SeriesFigures& figures, Series& out);
  static void MergeSeries(const Series& from, Series& into);
  uint32_t SlotsIn(Duration window) const;
  /// Bad and good counts of the slots with an age in [from, to).
  static std::pair<uint64_t, uint64_t> Sum(const Series& series, size_t i,
                                           uint32_t from, uint32_t to);
  double Target(Indicator indicator, const ObjectiveLimits& limits) const;
  Duration LongestWindow() const;
  void AddIndicator(const Series& series, Indicator indicator, double target,
                    pb::BurnSeries& out) const;

  BurnReportOptions options;
  ObjectiveTable objectives;
  std::vector<std::string> expected;
  std::vector<std::string> added;
  std::vector<std::string> refused;
  uint32_t slot_s = 0;
  std::map<Key, Series> series;
  Reason reason;
};

}  // namespace fuchsiadrum::report
