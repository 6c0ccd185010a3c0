#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/report/indicator.h"
#include "fuchsiadrum/report/latency_histogram.h"
#include "fuchsiadrum/report/objective_table.h"
#include "schema/catalogue.pb.h"
#include "schema/report.pb.h"

namespace fuchsiadrum::report {

/// Options of the recorder.
struct ObjectiveRecorderOptions {
  /// Length of a slot, and slots kept. 360 slots of a minute cover the longest
  /// burn window of 6 h.
  Duration slot = std::chrono::minutes(1);
  uint32_t slots = 361;
  /// Time after which the distributions start anew; they cover one to two of
  /// these periods.
  Duration histogram_period = std::chrono::hours(1);
  /// Series (class of an organisation) kept; the requests of further
  /// organisations are counted under kOtherOrganisations.
  size_t most_series = 1024;
};

/// Result of one request.
struct RequestResult {
  /// Time to the first token; nullopt: none arrived.
  std::optional<Duration> first_token;
  /// Mean time between the tokens of the answer; nullopt: fewer than two.
  std::optional<Duration> between_tokens;
  /// Refused before it was dispatched; not counted for completeness.
  bool refused = false;
  /// Refused for budget although the fleet had the tokens.
  bool false_refusal = false;
  /// Answered completely.
  bool complete = false;
};

/// Records how one daemon keeps the service-level objectives: counts for each
/// slot of time and exact distributions, for each class and organisation.
class ObjectiveRecorder {
 public:
  static constexpr std::string_view kOtherOrganisations = "(others)";

  explicit ObjectiveRecorder(ObjectiveRecorderOptions options = {});

  /// Objectives for requests that are recorded from now on.
  void SetObjectives(const std::vector<pb::Objective>& objectives);
  /// A request ended.
  void Record(TimePoint now, std::string_view organisation,
              pb::WorkClass work_class, const RequestResult& result);
  /// All figures, to be merged with those of the other daemons.
  pb::ObjectiveFigures Export(TimePoint now, const VmInfo& self) const;

 private:
  struct Slot {
    int64_t number = 0;
    std::array<uint64_t, kIndicators> good{};
    std::array<uint64_t, kIndicators> bad{};
  };
  struct Distributions {
    LatencyHistogram first_token;
    LatencyHistogram between_tokens;
  };
  struct Series {
    /// Slots with requests, oldest first.
    std::deque<Slot> slots;
    Distributions present;
    Distributions previous;
    int64_t period = 0;
  };
  using Key = std::pair<std::string, int>;

  Series& SeriesOf(std::string_view organisation, pb::WorkClass work_class);
  Slot& SlotOf(Series& series, int64_t number) const;
  void RollDistributions(TimePoint now, Series& series) const;
  void ExportSlots(int64_t present, const Series& series,
                   pb::SeriesFigures& out) const;
  int64_t SlotNumber(TimePoint now) const;
  int64_t PeriodNumber(TimePoint now) const;

  ObjectiveRecorderOptions options;
  ObjectiveTable objectives;
  std::map<Key, Series> series;
  uint64_t folded = 0;
};

}  // namespace fuchsiadrum::report
