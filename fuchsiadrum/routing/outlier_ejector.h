#pragma once

#include <cstdint>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/upstream/upstream_table.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// Options of the ejection.
struct OutlierEjectorOptions {
  /// Largest share of the candidates for a model or service that is ejected.
  double most_ejected = 0.5;
  /// Failures in a row that eject an upstream.
  int failures = 3;
  /// A slow upstream is ejected when its time to first token, measured against
  /// what was expected of it, is this many times that of the fleet.
  double slow_factor = 4.0;
  /// Length of the first ejection; each further one doubles it.
  Duration first_time = std::chrono::seconds(5);
  Duration longest_time = std::chrono::seconds(60);
  /// Time without a failure after which an upstream counts as new.
  Duration forget_after = std::chrono::seconds(120);
};

/// Removes failing upstreams from the choice for a time. It never ejects more
/// than half of the candidates for a model or service: failures that concern
/// most upstreams have another cause, and the rest would be overloaded.
class OutlierEjector {
 public:
  OutlierEjector(upstream::UpstreamTable& table, OutlierEjectorOptions options)
      : table(table), options(options) {}

  /// An attempt failed for a reason that lies with the upstream.
  void OnFailure(TimePoint now, UpstreamIndex index);
  /// An attempt was answered. `ratio` is observed / expected time to first
  /// token.
  void OnSuccess(TimePoint now, UpstreamIndex index, double ratio);
  /// Ends ejections whose time is over, and those that became too many because
  /// other candidates left.
  void OnTick(TimePoint now);

 private:
  struct Record {
    uint32_t epoch = 0;
    int failures = 0;
    int ejections = 0;
    double slowness = 1.0;
    TimePoint until;
    TimePoint last_failure;
  };

  Record& RecordOf(UpstreamIndex index);
  void Eject(TimePoint now, UpstreamIndex index, Record& record);
  void Reinstate(UpstreamIndex index);
  /// True if the groups of the upstream bear `more` further ejections.
  bool IsWithinFloor(UpstreamIndex index, size_t more) const;
  bool IsWithinFloor(const upstream::CandidateGroup* group, size_t more) const;

  upstream::UpstreamTable& table;
  OutlierEjectorOptions options;
  std::vector<Record> records;
  double fleet_slowness = 1.0;
};

}  // namespace fuchsiadrum::routing
